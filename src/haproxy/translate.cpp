#include "haproxy/translate.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "haproxy/keywords.hpp"
#include "haproxy/pools.hpp"
#include "haproxy/routes.hpp"
#include "haproxy/section.hpp"

namespace micaroad::haproxy {
namespace {

// Returns whether the section is what HAProxy calls a proxy.
bool is_proxy(const Section& section) {
    return section.kind == "frontend" || section.kind == "backend" || section.kind == "listen";
}

class Translator {
 public:
    explicit Translator(Tree tree) : tree_(std::move(tree)) {}

    Import translate_sections() {
        Import import;
        for (const Section& section : tree_.sections) {
            if (is_proxy(section)) {
                read_proxy(section);
            } else if (section.kind == "defaults") {
                read_defaults(section);
            } else {
                read_other(section);
            }
        }
        import.faults = std::move(tree_.faults);
        if (import.faults.empty()) {
            PoolBuilder pools(findings());
            add_pools(pools);
            add_listeners(import);
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

    void add_listeners(Import& import) {
        ListenerBuilder routes(drafts_, findings());
        for (const Draft& draft : drafts_) {
            if (!draft.listens()) {
                continue;
            }
            // The lines of a disabled section get verdicts too, but the section gets no listener.
            routing::Listener listener = routes.make_listener(draft);
            if (!draft.disabled) {
                import.plan.listeners.push_back(std::move(listener));
            }
        }
    }

    Findings& findings() { return tree_.findings; }
    void add_fault(const Section& section, std::string message) {
        tree_.faults.push_back(
            {section.header.line.file, section.header.line.number, 1, std::move(message)});
    }

    // Returns the defaults that a section inherits, or null if there are none.
    const Settings* inherited(const Section& section) {
        if (section.from.empty()) {
            return section.kind == "defaults" ? nullptr : last_defaults_;
        }
        const auto found = named_defaults_.find(section.from);
        if (found != named_defaults_.end()) {
            return found->second;
        }
        add_fault(section, fmt::format("there is no defaults section {} before it", section.from));
        return nullptr;
    }
    void read_defaults(const Section& section) {
        const Settings* from = inherited(section);
        findings().add_verdict(section.header.number, Verdict::translated,
                               "its settings apply to the sections that inherit them");
        all_defaults_.push_back(std::make_unique<Settings>(
            read_section(section, from ? *from : Settings{}, findings()).settings));
        last_defaults_ = all_defaults_.back().get();
        if (!section.name.empty()) {
            named_defaults_[section.name] = last_defaults_;
        }
    }
    void read_proxy(const Section& section) {
        const bool listens = section.kind != "backend";
        const bool has_servers = section.kind != "frontend";
        if ((listens && !listeners_.insert(section.name).second) ||
            (has_servers && !pools_.insert(section.name).second)) {
            add_fault(section, fmt::format("a second {} {}", section.kind, section.name));
        }
        const Settings* from = inherited(section);
        drafts_.push_back(read_section(section, from ? *from : Settings{}, findings()));
    }
    void read_other(const Section& section) {
        if (section.kind == "global") {
            findings().add_verdict(section.header.number, Verdict::no_effect,
                                   "concerns the HAProxy process only");
            for (const Statement& statement : section.statements) {
                const FixedVerdict fixed = global_verdict(statement);
                findings().add_verdict(statement.number, fixed.verdict, fixed.message);
            }
            return;
        }
        const FixedVerdict fixed = other_section_verdict(section.kind);
        findings().add_verdict(section.header.number, fixed.verdict, fixed.message);
        for (const Statement& statement : section.statements) {
            findings().add_verdict(statement.number, fixed.verdict, fixed.message);
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
    return Translator(std::move(tree)).translate_sections();
}

}  // namespace micaroad::haproxy
