#include "haproxy/request_rules.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>
#include <tl/expected.hpp>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

using routing::AllOf;
using routing::Match;
using routing::Not;

constexpr int kDefaultDenyStatus = 403;      // HAProxy's default if the rule names none
constexpr int kDefaultTarpitStatus = 500;    // likewise
constexpr int kDefaultReturnStatus = 200;    // likewise
constexpr int kDefaultRedirectStatus = 302;  // likewise
constexpr int kMinErrorStatus = 400;

const std::set<std::string> kDenyingActions{"deny", "tarpit", "reject", "silent-drop", "return"};
/// Actions that change the addresses, method, path or query of the request.
const std::set<std::string> kRewritingActions{
    "set-path",     "set-pathq",     "set-uri",     "set-query",     "set-method",
    "replace-path", "replace-pathq", "replace-uri", "normalize-uri", "set-src",
    "set-src-port", "set-dst",       "set-dst-port"};
const std::set<std::string> kHeaderActions{"set-header", "add-header", "del-header",
                                           "replace-header", "replace-value"};
/// Actions that do not affect routing: they concern responses, logs, counters and the like.
const std::set<std::string> kActionsWithoutEffect{"capture",
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

/// HAProxy evaluates all rules of a phase before those of the next.
enum class Phase { connection, session, content, block, http_request, redirect };

enum class ActionKind {
    deny,
    allow,
    redirect,
    authenticate,
    rewrite,
    change_header,
    no_effect,
    unknown
};

struct Rule {
    const Statement* statement;
    Phase phase;
    std::string action;
    std::size_t arguments;  // index of the first word after the action
    std::size_t condition;  // index of "if" or "unless"; the line's size if there is none
};

/// Why the status of a denial can't be read.
struct StatusError {
    std::string reason;
};

Phase phase_of(const Statement& statement) {
    const std::string& keyword = statement.word(0);
    if (keyword == "block") {
        return Phase::block;
    }
    if (keyword == "http-request") {
        return Phase::http_request;
    }
    if (keyword != "tcp-request") {
        return Phase::redirect;
    }
    if (statement.word(1) == "connection") {
        return Phase::connection;
    }
    return statement.word(1) == "session" ? Phase::session : Phase::content;
}

std::size_t find_condition(const Statement& statement, std::size_t from) {
    for (std::size_t position = from; position < statement.size(); ++position) {
        if (statement.word(position) == "if" || statement.word(position) == "unless") {
            return position;
        }
    }
    return statement.size();
}

Rule read_rule(const Statement& statement) {
    Rule rule{&statement, phase_of(statement), "", 1, 0};
    const std::string& keyword = statement.word(0);
    if (keyword == "block") {
        rule.action = "deny";
    } else if (keyword == "redirect") {
        rule.action = "redirect";
    } else {
        const std::size_t action_position = keyword == "http-request" ? 1 : 2;
        rule.action = statement.word(action_position);
        rule.arguments = action_position + 1;
    }
    if (keyword == "tcp-request" && statement.word(1) == "inspect-delay") {
        rule.action = "inspect-delay";
    }
    rule.condition = find_condition(statement, rule.arguments);
    return rule;
}

std::vector<Rule> rules_by_phase(const std::vector<const Statement*>& statements) {
    std::vector<Rule> rules;
    rules.reserve(statements.size());
    for (const Statement* statement : statements) {
        rules.push_back(read_rule(*statement));
    }
    std::ranges::stable_sort(rules, {}, &Rule::phase);
    return rules;
}

bool has_no_effect(const std::string& action) {
    return kActionsWithoutEffect.contains(action) || action.starts_with("set-var(") ||
           action.starts_with("unset-var(") || action.starts_with("sc-") ||
           action.starts_with("set-map(");
}

ActionKind action_kind(const std::string& action) {
    if (kDenyingActions.contains(action)) {
        return ActionKind::deny;
    }
    if (action == "allow" || action == "accept") {
        return ActionKind::allow;
    }
    if (action == "redirect") {
        return ActionKind::redirect;
    }
    if (action == "auth") {
        return ActionKind::authenticate;
    }
    if (kRewritingActions.contains(action)) {
        return ActionKind::rewrite;
    }
    if (kHeaderActions.contains(action)) {
        return ActionKind::change_header;
    }
    return has_no_effect(action) ? ActionKind::no_effect : ActionKind::unknown;
}

int default_status(const std::string& action) {
    if (action == "tarpit") {
        return kDefaultTarpitStatus;
    }
    return action == "return" ? kDefaultReturnStatus : kDefaultDenyStatus;
}

tl::expected<int, StatusError> read_denial_status(const Rule& rule) {
    const Statement& statement = *rule.statement;
    int status = default_status(rule.action);
    std::optional<StatusError> error;
    for (std::size_t position = rule.arguments; position + 1 < rule.condition; ++position) {
        const std::string& word = statement.word(position);
        if (word != "deny_status" && word != "status") {
            continue;
        }
        const auto value = parse_number(statement.word(position + 1), 100, 599);
        if (value) {
            status = static_cast<int>(*value);
        } else {
            error = StatusError{value.error};
        }
    }
    if (error) {
        return tl::unexpected(*error);
    }
    return status;
}

routing::Redirect read_redirect(const Rule& rule) {
    const Statement& statement = *rule.statement;
    routing::Redirect redirect{"", kDefaultRedirectStatus};
    for (std::size_t position = rule.arguments; position + 1 < rule.condition; ++position) {
        const std::string& word = statement.word(position);
        const std::string& argument = statement.word(position + 1);
        if (word == "location") {
            redirect.location = argument;
        } else if (word == "code") {
            const auto status = parse_number(argument, 301, 308);
            redirect.status = status ? static_cast<int>(*status) : kDefaultRedirectStatus;
        }
    }
    return redirect;
}

/// Translates the rules of one section.
class RequestRuleTranslator {
 public:
    RequestRuleTranslator(const Draft& draft, Acls& acls, Findings& findings, RouteSink* sink)
        : draft_(draft), acls_(acls), findings_(findings), sink_(sink) {}

    std::vector<Denial> translate() {
        std::optional<Phase> phase;
        for (const Rule& rule : rules_by_phase(draft_.rules)) {
            if (phase != rule.phase) {
                // An `allow` ends only the evaluation of its own phase.
                not_allowed_ = Match{AllOf{}};
                allow_refused_ = false;
                phase = rule.phase;
            }
            translate_rule(rule);
        }
        return std::move(denials_);
    }

 private:
    void translate_rule(const Rule& rule) {
        switch (action_kind(rule.action)) {
            case ActionKind::deny:
                return translate_denial(rule);
            case ActionKind::allow:
                return translate_allow(rule);
            case ActionKind::redirect:
                return translate_redirect(rule);
            case ActionKind::authenticate:
                return report(
                    rule, Verdict::refused,
                    "clients are not authenticated here: RPCs that this rule kept out pass now");
            case ActionKind::rewrite:
                return report_rewrite(rule);
            case ActionKind::change_header:
                return report_header_change(rule);
            case ActionKind::no_effect:
                return report(rule, Verdict::no_effect, "it does not affect routing");
            case ActionKind::unknown:
                return report(rule, Verdict::refused,
                              fmt::format("'{}' is not supported", rule.action));
        }
    }

    void translate_denial(const Rule& rule) {
        const auto status = read_denial_status(rule);
        const TranslatedCondition condition =
            acls_.translate_condition(*rule.statement, rule.condition);
        if (!status) {
            return refuse_denial(rule, status.error().reason);
        }
        if (!condition) {
            return refuse_denial(rule, condition.error().reason);
        }
        if (*status < kMinErrorStatus) {
            return refuse_denial(
                rule, fmt::format("an answer of status {} has to come from the proxies", *status));
        }
        const Match match = match_both(not_allowed_, condition->match);
        denials_.push_back({match, *status});
        if (sink_ != nullptr) {
            sink_->routes.push_back({sink_->names.unique_name("deny", *rule.statement), match,
                                     routing::Reject{*status}});
        }
        report_denial(rule, *condition, *status);
    }

    void refuse_denial(const Rule& rule, const std::string& reason) {
        report(rule, Verdict::refused,
               fmt::format("{}; RPCs that this rule answered pass now: answer them at the proxies",
                           reason));
    }

    void report_denial(const Rule& rule, const TranslatedMatch& condition, int status) {
        Verdict verdict = verdict_after_allow(condition);
        std::string text = allow_refused_
                               ? "also rejects RPCs that a refused `allow` before it would let pass"
                               : condition.note;
        if (rule.action != "deny") {
            verdict = std::max(verdict, Verdict::changed);
            text = fmt::format(
                "rejected at once with status {}, without a delay or a dropped connection", status);
        } else if (sink_ == nullptr && text.empty()) {
            text = "added as a route before each route to this pool";
        }
        report(rule, verdict, text);
    }

    void translate_allow(const Rule& rule) {
        const TranslatedCondition condition =
            acls_.translate_condition(*rule.statement, rule.condition);
        if (!condition) {
            allow_refused_ = true;
            return report(
                rule, Verdict::refused,
                fmt::format("{}; the rules after it can reject RPCs that this rule let pass",
                            condition.error().reason));
        }
        not_allowed_ = match_both(not_allowed_, Match{Not{{condition->match}}});
        report(rule, condition->verdict, condition->note);
    }

    void translate_redirect(const Rule& rule) {
        const routing::Redirect target = read_redirect(rule);
        const TranslatedCondition condition =
            acls_.translate_condition(*rule.statement, rule.condition);
        if (!condition) {
            return refuse_redirect(rule, condition.error().reason);
        }
        if (sink_ == nullptr) {
            return refuse_redirect(rule, "a redirect in a backend is not supported");
        }
        if (target.location.empty() || target.location.find("%[") != std::string::npos) {
            return refuse_redirect(rule, "only `location` with a fixed text is supported");
        }
        sink_->routes.push_back({sink_->names.unique_name("redirect", *rule.statement),
                                 match_both(not_allowed_, condition->match), target});
        report(rule, verdict_after_allow(*condition), condition->note);
    }

    void refuse_redirect(const Rule& rule, const std::string& reason) {
        report(
            rule, Verdict::refused,
            fmt::format("{}; RPCs that this rule redirected pass now: redirect them at the proxies",
                        reason));
    }

    void report_rewrite(const Rule& rule) {
        const bool seen_by_rules =
            !draft_.use_backends.empty() || !draft_.acls.empty() || sink_ == nullptr;
        if (seen_by_rules) {
            return report(
                rule, Verdict::refused,
                "routes and hashes use the RPC as received: rewrite it before it is routed");
        }
        report(rule, Verdict::no_effect,
               "the proxies rewrite RPCs; no rule of this section depends on it");
    }

    void report_header_change(const Rule& rule) {
        const std::string call = "(" + rule.statement->word(rule.arguments);
        const bool seen_by_acl = std::ranges::any_of(draft_.acls, [&call](const Statement* acl) {
            return acl->word(2).find(call) != std::string::npos;
        });
        if (seen_by_acl) {
            return report(rule, Verdict::refused, "routes use the header as received");
        }
        report(rule, Verdict::no_effect, "the proxies set the headers that servers get");
    }

    [[nodiscard]] Verdict verdict_after_allow(const TranslatedMatch& condition) const {
        return std::max(condition.verdict, allow_refused_ ? Verdict::changed : Verdict::translated);
    }

    void report(const Rule& rule, Verdict verdict, const std::string& text) {
        findings_.add_verdict(rule.statement->number, verdict, text);
    }

    const Draft& draft_;
    Acls& acls_;
    Findings& findings_;
    RouteSink* sink_;
    std::vector<Denial> denials_;
    Match not_allowed_{AllOf{}};  // matches RPCs that no `allow` of the phase lets pass
    bool allow_refused_ = false;  // an `allow` of the phase could not be translated
};

}  // namespace

std::string RouteNames::unique_name(const std::string& purpose, const Statement& statement) {
    const std::string name = fmt::format("{}-{}", purpose, statement.line.number);
    const int earlier_uses = uses_[name]++;
    return earlier_uses == 0 ? name : fmt::format("{}.{}", name, earlier_uses + 1);
}

Match match_both(const Match& first, const Match& second) {
    const auto* all = std::get_if<AllOf>(&first.is);
    if (all != nullptr && all->conditions.empty()) {
        return second;
    }
    return {AllOf{{first, second}}};
}

std::vector<Denial> translate_request_rules(const Draft& draft, Acls& acls, Findings& findings,
                                            RouteSink* sink) {
    return RequestRuleTranslator(draft, acls, findings, sink).translate();
}

}  // namespace micaroad::haproxy
