#include "haproxy/routes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

using routing::AllOf;
using routing::Match;
using routing::Not;
using routing::Route;

// Of actions on the request: what rewrites it, what only the answer or a log sees, what has no
// equal.
const std::set<std::string> kRewrites{
    "set-path",     "set-pathq",     "set-uri",     "set-query",     "set-method",
    "replace-path", "replace-pathq", "replace-uri", "normalize-uri", "set-src",
    "set-src-port", "set-dst",       "set-dst-port"};
const std::set<std::string> kHeaders{"set-header", "add-header", "del-header", "replace-header",
                                     "replace-value"};
const std::set<std::string> kNothing{"capture",
                                     "set-log-level",
                                     "set-mark",
                                     "set-tos",
                                     "set-nice",
                                     "early-hint",
                                     "set-var",
                                     "set-var-fmt",
                                     "unset-var",
                                     "strict-mode",
                                     "set-map",
                                     "add-acl",
                                     "del-acl",
                                     "del-map",
                                     "set-fc-mark",
                                     "set-fc-tos",
                                     "set-bc-mark",
                                     "set-bc-tos",
                                     "sc-add-gpc",
                                     "sc-inc-gpc",
                                     "sc-inc-gpc0",
                                     "sc-inc-gpc1",
                                     "sc-set-gpt",
                                     "sc-set-gpt0",
                                     "track-sc0",
                                     "track-sc1",
                                     "track-sc2",
                                     "send-spoe-group",
                                     "disable-l7-retry",
                                     "wait-for-body",
                                     "wait-for-handshake",
                                     "set-timeout",
                                     "set-priority-class",
                                     "set-priority-offset",
                                     "inspect-delay",
                                     "expect-proxy",
                                     "expect-netscaler-cip"};

std::size_t condition_at(const Statement& statement, std::size_t from) {
    for (std::size_t at = from; at < statement.size(); ++at) {
        if (statement.word(at) == "if" || statement.word(at) == "unless") {
            return at;
        }
    }
    return statement.size();
}

// The order in which the original comes to them.
int phase_of(const Statement& statement) {
    const std::string& word = statement.word(0);
    if (word == "tcp-request") {
        return statement.word(1) == "connection" ? 0 : statement.word(1) == "session" ? 1 : 2;
    }
    return word == "block" ? 3 : word == "http-request" ? 4 : 5;
}

Match both(const Match& a, const Match& b) {
    const auto* all = std::get_if<AllOf>(&a.is);
    if (all != nullptr && all->of.empty()) {
        return b;
    }
    return {AllOf{{a, b}}};
}

}  // namespace

RouteMaker::RouteMaker(const std::vector<Draft>& drafts, Findings& findings) : findings_(findings) {
    for (const Draft& draft : drafts) {
        if (draft.has_servers()) {
            pools_.insert(draft.section->name);
        }
    }
    for (const Draft& draft : drafts) {
        if (draft.section->kind != "backend") {
            continue;
        }
        Acls acls(draft.acls, {pools_, draft.section->name}, findings_);
        denials_[draft.section->name] = denials_of(draft, acls, nullptr);
    }
}

std::string RouteMaker::name_of(const std::string& what, const Statement& statement) {
    const std::string name = fmt::format("{}-{}", what, statement.line.number);
    const int seen = names_[name]++;
    return seen == 0 ? name : fmt::format("{}.{}", name, seen + 1);
}

std::vector<RouteMaker::Denial> RouteMaker::denials_of(const Draft& draft, Acls& acls,
                                                       std::vector<Route>* routes) {
    std::vector<Rule> rules;
    for (const Statement* statement : draft.rules) {
        rules.push_back({phase_of(*statement), statement});
    }
    std::stable_sort(rules.begin(), rules.end(),
                     [](const Rule& a, const Rule& b) { return a.phase < b.phase; });
    std::vector<Denial> denials;
    Match unless{AllOf{}};  // what an `allow` has let past the rules behind it, turned round
    bool loose = false;     // an `allow` that can't be told
    int phase = -1;
    for (const auto& [at_phase, statement] : rules) {
        if (std::exchange(phase, at_phase) != at_phase) {
            unless = Match{AllOf{}}, loose = false;
        }
        const Statement& line = *statement;
        const bool tcp = line.word(0) == "tcp-request";
        const std::size_t at =
            line.word(0) == "http-request" || line.word(0) == "block" || line.word(0) == "redirect"
                ? 1
                : 2;
        std::string action = line.word(0) == "block"      ? "deny"
                             : line.word(0) == "redirect" ? "redirect"
                                                          : line.word(at);
        if (tcp && line.word(1) == "inspect-delay") {
            action = "inspect-delay";
        }
        const std::size_t behind =
            line.word(0) == "block" || line.word(0) == "redirect" ? 1 : at + 1;
        const std::size_t condition = condition_at(line, behind);
        const auto when = [&] { return acls.condition(line, condition); };
        const bool turns_away = action == "deny" || action == "tarpit" || action == "reject" ||
                                action == "silent-drop" || action == "return";
        if (turns_away) {
            int status = action == "tarpit" ? 500 : action == "return" ? 200 : 403;
            std::string wrong;
            for (std::size_t i = behind; i + 1 < condition; ++i) {
                if (line.word(i) != "deny_status" && line.word(i) != "status") {
                    continue;
                }
                const auto value = number_of(line.word(i + 1), 100, 599);
                if (!value) {
                    wrong = value.wrong;
                } else {
                    status = static_cast<int>(*value);
                }
            }
            const Translated match = when();
            if (!wrong.empty() || !match.match || status < 400) {
                say(line, Verdict::refused,
                    fmt::format(
                        "{}; what it answered passes now: answer it at the proxies",
                        !wrong.empty() ? wrong
                        : !match.match
                            ? match.says
                            : fmt::format("an answer of status {} is the proxies' own", status)));
                continue;
            }
            const Match full = both(unless, *match.match);
            denials.push_back({full, status});
            if (routes != nullptr) {
                routes->push_back({name_of("deny", line), full, routing::TurnAway{status}});
            }
            Verdict verdict =
                std::max(match.verdict, loose ? Verdict::changed : Verdict::translated);
            std::string says = loose ? "also what an `allow` before it let past" : match.says;
            if (action != "deny") {
                verdict = std::max(verdict, Verdict::changed),
                says = fmt::format("turned away at once with {}: nobody is held back or cut off",
                                   status);
            } else if (routes == nullptr && says.empty()) {
                says = "as a route before each that leads to this pool";
            }
            say(line, verdict, says);
        } else if (action == "allow" || action == "accept") {
            const Translated match = when();
            if (!match.match) {
                loose = true;
                say(line, Verdict::refused,
                    fmt::format("{}; what it let past is turned away by the rules behind it",
                                match.says));
                continue;
            }
            unless = both(unless, Match{Not{{*match.match}}});
            say(line, match.verdict, match.says);
        } else if (action == "redirect") {
            std::string location;
            int status = 302;
            for (std::size_t i = behind; i + 1 < condition; ++i) {
                if (line.word(i) == "location") {
                    location = line.word(i + 1);
                }
                if (line.word(i) == "code") {
                    status =
                        static_cast<int>(number_of(line.word(i + 1), 301, 308).value.value_or(302));
                }
            }
            const Translated match = when();
            if (routes == nullptr || location.empty() || location.find("%[") != std::string::npos ||
                !match.match) {
                say(line, Verdict::refused,
                    fmt::format("{}; what it redirected passes now: redirect at the proxies",
                                !match.match ? match.says
                                : routes == nullptr
                                    ? "a backend's redirect has no equal here"
                                    : "only a location that stands in the line can be told"));
                continue;
            }
            routes->push_back({name_of("redirect", line), both(unless, *match.match),
                               routing::Redirect{location, status}});
            say(line, std::max(match.verdict, loose ? Verdict::changed : Verdict::translated),
                match.says);
        } else if (action == "auth") {
            say(line, Verdict::refused,
                "who a client is, is not asked here: what it kept out passes now");
        } else if (kRewrites.contains(action)) {
            const bool seen =
                !draft.use_backends.empty() || !draft.acls.empty() || routes == nullptr;
            if (seen) {
                say(line, Verdict::refused,
                    "routes and hashes go by the RPC as it came: rewrite it before it is routed");
            } else {
                say(line, Verdict::no_effect,
                    "how an RPC is rewritten is the proxies' own; nothing here routes by it");
            }
        } else if (kHeaders.contains(action)) {
            const std::string name = line.word(behind);
            const bool seen =
                std::any_of(draft.acls.begin(), draft.acls.end(), [&name](const Statement* acl) {
                    return acl->word(2).find("(" + name) != std::string::npos;
                });
            if (seen) {
                say(line, Verdict::refused, "routes go by the header as it came");
            } else {
                say(line, Verdict::no_effect, "headers for servers are the proxies' own");
            }
        } else if (kNothing.contains(action) || action.starts_with("set-var(") ||
                   action.starts_with("unset-var(") || action.starts_with("sc-") ||
                   action.starts_with("set-map(")) {
            say(line, Verdict::no_effect, "it does not route");
        } else {
            say(line, Verdict::refused, fmt::format("'{}' has no equal here", action));
        }
    }
    return denials;
}

void RouteMaker::to_pool(const std::string& pool, const Match& when, const Statement& statement,
                         std::vector<Route>& routes) {
    for (const Denial& denial : denials_[pool]) {
        routes.push_back({name_of("deny-" + pool, statement), both(when, denial.when),
                          routing::TurnAway{denial.status}});
    }
    routes.push_back({name_of("to-" + pool, statement), when, routing::ToPool{pool}});
}

void RouteMaker::bind(const Statement& statement, routing::Listener& listener) {
    const std::string& text = statement.word(1);
    bool any = false;
    std::string wrong;
    for (std::size_t from = 0; from <= text.size();) {
        const std::size_t end = std::min(text.find(',', from), text.size());
        const std::string one = text.substr(from, end - from);
        const auto endpoint = endpoint_of(one);
        const bool tcp = endpoint &&
                         (endpoint->kind == Endpoint::Kind::literal ||
                          endpoint->kind == Endpoint::Kind::any_host) &&
                         endpoint->port > 0 && !endpoint->relative_port;
        if (tcp) {
            listener.addresses.push_back(endpoint->text()), any = true;
        } else {
            wrong = endpoint ? fmt::format("'{}' is no address and one port", one) : endpoint.wrong;
        }
        from = end + 1;
    }
    if (!wrong.empty()) {
        return say(statement, Verdict::refused, wrong + (any ? "; the others stand" : ""));
    }
    for (std::size_t i = 2; i < statement.size(); ++i) {
        if (statement.word(i) == "maxconn") {
            return say(statement, Verdict::refused,
                       "maxconn is by section: `maxconn` on a line of its own; the address stands");
        }
    }
    say(statement, Verdict::translated,
        statement.size() > 2 ? "how proxies listen there (TLS, options) is theirs" : "");
}

routing::Listener RouteMaker::listener(const Draft& draft) {
    const Section& section = *draft.section;
    routing::Listener listener;
    listener.name = section.name;
    names_.clear();
    findings_.say(section.header.number, Verdict::translated,
                  fmt::format("listener {}", section.name));
    for (const Statement* bind_line : draft.binds) {
        bind(*bind_line, listener);
    }
    listener.connections_most = draft.settings.max_conn.get_or(0, findings_);
    Acls acls(draft.acls, {pools_, section.kind == "listen" ? section.name : ""}, findings_);
    denials_of(draft, acls, &listener.routes);
    for (const Statement* statement : draft.use_backends) {
        const std::string& pool = statement->word(1);
        if (pool.find("%[") != std::string::npos) {
            say(*statement, Verdict::refused,
                "a pool's name can't be made from the RPC: write a line for each pool; what it "
                "took goes on "
                "to the routes behind it");
            continue;
        }
        const Translated match = acls.condition(*statement, 2);
        if (!pools_.contains(pool)) {
            say(*statement, Verdict::refused, fmt::format("there is no backend {}", pool));
        } else if (!match.match) {
            say(*statement, Verdict::refused,
                fmt::format("{}; what it took goes on to the routes behind it", match.says));
        } else {
            to_pool(pool, *match.match, *statement, listener.routes);
            say(*statement, match.verdict, match.says);
        }
    }
    if (draft.settings.default_backend) {
        const std::string pool = draft.settings.default_backend.get(findings_);
        const std::size_t line = draft.settings.default_backend.line();
        if (!pools_.contains(pool)) {
            findings_.say(line, Verdict::refused, fmt::format("there is no backend {}", pool));
        } else {
            listener.default_pool = pool;
            for (const Denial& denial : denials_[pool]) {
                listener.routes.push_back({name_of("deny-" + pool, section.header), denial.when,
                                           routing::TurnAway{denial.status}});
            }
        }
    } else if (section.kind == "listen") {
        listener.default_pool = section.name;
    }
    return listener;
}

}  // namespace micaroad::haproxy
