#include "haproxy/translate.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "haproxy/keywords.hpp"
#include "haproxy/pools.hpp"
#include "haproxy/routes.hpp"
#include "haproxy/section.hpp"

namespace micaroad::haproxy {
namespace {

bool is_proxy(const Section& section) {
    return section.kind == "frontend" || section.kind == "backend" || section.kind == "listen";
}

class Translator {
 public:
    explicit Translator(Tree tree) : tree_(std::move(tree)) {}

    Import run() {
        Import import;
        for (const Section& section : tree_.sections) {
            if (is_proxy(section)) {
                proxy(section);
            } else if (section.kind == "defaults") {
                defaults(section);
            } else {
                other(section);
            }
        }
        import.troubles = std::move(tree_.troubles);
        if (import.troubles.empty()) {
            PoolBuilder pools(findings());
            add_pools(pools);
            make_listeners(import);
            import.plan.pools = pools.finish();
            import.balance = pools.balance();
        }
        import.findings = findings().all();
        return import;
    }

 private:
    void add_pools(PoolBuilder& pools) {
        for (const Draft& draft : drafts_) {
            if (draft.has_servers()) {
                pools.add(draft);
            }
        }
    }

    void make_listeners(Import& import) {
        ListenerBuilder routes(drafts_, findings());
        for (const Draft& draft : drafts_) {
            if (!draft.listens()) {
                continue;
            }
            // A disabled section has its verdicts too, but no listener.
            routing::Listener listener = routes.make_listener(draft);
            if (!draft.disabled) {
                import.plan.listeners.push_back(std::move(listener));
            }
        }
    }

    Findings& findings() { return tree_.findings; }
    void trouble(const Section& section, std::string says) {
        tree_.troubles.push_back(
            {section.header.line.file, section.header.line.number, 1, std::move(says)});
    }

    const Settings* taken_over(const Section& section) {
        if (section.from.empty()) {
            return section.kind == "defaults" ? nullptr : last_defaults_;
        }
        const auto at = named_defaults_.find(section.from);
        if (at != named_defaults_.end()) {
            return at->second;
        }
        trouble(section, fmt::format("there is no defaults section {} before it", section.from));
        return nullptr;
    }
    void defaults(const Section& section) {
        const Settings* from = taken_over(section);
        findings().say(section.header.number, Verdict::translated,
                       "its settings stand in the sections that take them over");
        all_defaults_.push_back(std::make_unique<Settings>(
            read_section(section, from ? *from : Settings{}, findings()).settings));
        last_defaults_ = all_defaults_.back().get();
        if (!section.name.empty()) {
            named_defaults_[section.name] = last_defaults_;
        }
    }
    void proxy(const Section& section) {
        const bool listens = section.kind != "backend";
        const bool serves = section.kind != "frontend";
        if ((listens && !listeners_.insert(section.name).second) ||
            (serves && !pools_.insert(section.name).second)) {
            trouble(section, fmt::format("a second {} {}", section.kind, section.name));
        }
        const Settings* from = taken_over(section);
        drafts_.push_back(read_section(section, from ? *from : Settings{}, findings()));
    }
    void other(const Section& section) {
        if (section.kind == "global") {
            findings().say(section.header.number, Verdict::no_effect,
                           "how the original's process runs");
            for (const Statement& statement : section.statements) {
                const FixedVerdict fixed = global_verdict(statement);
                findings().say(statement.number, fixed.verdict, fixed.says);
            }
            return;
        }
        const FixedVerdict fixed = other_section_verdict(section.kind);
        findings().say(section.header.number, fixed.verdict, fixed.says);
        for (const Statement& statement : section.statements) {
            findings().say(statement.number, fixed.verdict, fixed.says);
        }
    }

    Tree tree_;
    std::vector<std::unique_ptr<Settings>> all_defaults_;
    std::map<std::string, const Settings*> named_defaults_;
    const Settings* last_defaults_ = nullptr;
    std::set<std::string> listeners_, pools_;
    std::vector<Draft> drafts_;
};

}  // namespace

std::size_t Import::count(Verdict verdict) const {
    return static_cast<std::size_t>(
        std::count_if(findings.begin(), findings.end(),
                      [verdict](const Finding& f) { return f.verdict == verdict; }));
}

Import translate(Tree tree) {
    return Translator(std::move(tree)).run();
}

}  // namespace micaroad::haproxy
