#include "haproxy/section.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "haproxy/keywords.hpp"
#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

// Reads one section. Each keyword whose verdict depends on its arguments has a handler, which gives
// the statement a verdict and keeps its setting; the other keywords have a fixed verdict.
class SectionReader {
 public:
    SectionReader(const Section& section, const Settings& inherited, Findings& findings)
        : findings_(findings) {
        draft_.section = &section;
        draft_.settings = inherited;
    }

    Draft read() {
        for (const Statement& statement : draft_.section->statements) {
            statement_ = &statement;
            const auto handler = handlers().find(statement.word(0));
            if (handler != handlers().end()) {
                (this->*handler->second)();
            } else if (const auto fixed = fixed_verdict(statement)) {
                add_verdict(fixed->verdict, fixed->message);
            } else {
                add_verdict(Verdict::refused, "unknown keyword in this section");
            }
        }
        return std::move(draft_);
    }

 private:
    using Handler = void (SectionReader::*)();
    static const std::map<std::string, Handler>& handlers() {
        static const std::map<std::string, Handler> kHandlers{
            {"mode", &SectionReader::mode},
            {"balance", &SectionReader::balance},
            {"hash-type", &SectionReader::hash_type},
            {"retries", &SectionReader::retries},
            {"retry-on", &SectionReader::retry_on},
            {"option", &SectionReader::option},
            {"timeout", &SectionReader::timeout},
            {"maxconn", &SectionReader::max_conn},
            {"fullconn", &SectionReader::full_conn},
            {"cookie", &SectionReader::cookie},
            {"http-check", &SectionReader::http_check},
            {"stick-table", &SectionReader::stick_table},
            {"stick", &SectionReader::stick},
            {"default_backend", &SectionReader::default_backend},
            {"default-server", &SectionReader::default_server},
            {"server", &SectionReader::server},
            {"server-template", &SectionReader::server},
            {"acl", &SectionReader::acl},
            {"bind", &SectionReader::bind},
            {"use_backend", &SectionReader::use_backend},
            {"use-server", &SectionReader::use_server},
            {"http-request", &SectionReader::rule},
            {"tcp-request", &SectionReader::rule},
            {"redirect", &SectionReader::rule},
            {"block", &SectionReader::rule},
            {"disabled", &SectionReader::disabled},
            {"enabled", &SectionReader::enabled},
            {"tcp-check", &SectionReader::tcp_check},
        };
        return kHandlers;
    }

    const std::string& word(std::size_t index) const { return statement_->word(index); }
    void add_verdict(Verdict verdict, const std::string& message = "") {
        findings_.add_verdict(statement_->number, verdict, message);
    }

    // Sets the verdict for the case that some section uses the line; otherwise the line has no
    // effect.
    void add_setting_verdict(Verdict verdict, const std::string& message = "") {
        add_verdict(verdict, message);
        findings_.set_unused_message(statement_->number,
                                     "not used by any section: overridden, or of no use there");
    }

    bool is_defaults() const { return draft_.section->kind == "defaults"; }
    // Parses a word as a number from `min` to `max`; refuses the line if it is invalid.
    std::optional<int> number(std::size_t index, std::int64_t min, std::int64_t max) {
        const auto value = parse_number(word(index), min, max);
        if (value) {
            return static_cast<int>(*value);
        }
        add_verdict(Verdict::refused, value.error);
        return std::nullopt;
    }

    static constexpr std::int64_t kMaxInt = 2'147'483'647;

    void mode() {
        if (word(1) == "http") {
            add_verdict(Verdict::translated);
        } else if (word(1) == "tcp") {
            add_verdict(Verdict::changed,
                        "each connection counts as one RPC; paths, hosts and headers are not seen");
        } else {
            add_verdict(Verdict::refused, fmt::format("mode '{}' is not supported", word(1)));
        }
        draft_.settings.mode.set(word(1), statement_->number);
    }

    void balance() {
        auto reading = read_balance(*statement_);
        if (!reading) {
            add_verdict(Verdict::refused, reading.error().message);
            return;
        }
        add_setting_verdict(reading->verdict, reading->message);
        draft_.settings.balance.set(std::move(reading->balance), statement_->number);
    }

    void hash_type() {
        add_setting_verdict(
            Verdict::changed,
            "keys are spread by weighted rendezvous hashing: when a server leaves, only its "
            "own keys move");
        draft_.settings.hash_type.set(word(1), statement_->number);
    }

    void retries() {
        const auto value = number(1, 0, 100);
        if (!value) {
            return;
        }
        add_setting_verdict(
            Verdict::changed,
            "without HAProxy's wait of one second before a retry at the same server; "
            "the planner orders fewer retries while levels are cut");
        draft_.settings.retries.set(*value, statement_->number);
    }

    void retry_on() {
        static const std::set<std::string> kEvents{"none",
                                                   "conn-failure",
                                                   "empty-response",
                                                   "junk-response",
                                                   "response-timeout",
                                                   "0rtt-rejected",
                                                   "all-retryable-errors"};
        static const std::set<std::string> kStatuses{"401", "403", "404", "408", "421", "425",
                                                     "429", "500", "501", "502", "503", "504"};
        bool retries_any = false;
        bool retries_more = false;
        for (std::size_t index = 1; index < statement_->size(); ++index) {
            if (!kEvents.contains(word(index)) && !kStatuses.contains(word(index))) {
                return add_verdict(Verdict::refused,
                                   fmt::format("retry-on '{}' is not known", word(index)));
            }
            retries_any |= word(index) != "none";
            retries_more |= word(index) != "none" && word(index) != "conn-failure";
        }
        if (retries_more) {
            add_setting_verdict(
                Verdict::changed,
                "after any failure, but only if the RPC is idempotent, so that nothing takes "
                "effect twice");
        } else {
            add_setting_verdict(Verdict::translated);
        }
        draft_.settings.retry_on.set({retries_any, retries_more}, statement_->number);
    }

    void option() {
        const std::string& name = word(1);
        Settings& settings = draft_.settings;
        if (name == "allbackups") {
            settings.all_backups.set(!statement_->no, statement_->number);
            add_setting_verdict(Verdict::translated);
        } else if (name == "persist") {
            settings.persist.set(!statement_->no, statement_->number);
            add_setting_verdict(Verdict::translated);
        } else if (name == "redispatch") {
            option_redispatch();
        } else if (name == "httpchk") {
            option_httpchk();
        } else if (name == "tcp-check") {
            settings.check.set({}, statement_->number);
            add_setting_verdict(Verdict::translated, "a connection is a sign of health");
        } else if (const auto fixed = fixed_option(name)) {
            add_verdict(fixed->verdict, fixed->message);
        } else {
            add_verdict(Verdict::refused, fmt::format("option {} is not known here", name));
        }
    }

    void option_redispatch() {
        Redispatch redispatch{!statement_->no, -1};
        if (statement_->size() > 2) {
            const auto interval = number(2, -100, 100);
            if (!interval) {
                return;
            }
            redispatch.interval = *interval;
        }
        if (redispatch.interval == -1 || redispatch.interval == 1) {
            add_setting_verdict(Verdict::translated);
        } else {
            add_setting_verdict(Verdict::changed, "only the last attempt goes to another server");
        }
        draft_.settings.redispatch.set(redispatch, statement_->number);
    }

    void option_httpchk() {
        if (statement_->no) {
            draft_.settings.check.set({}, statement_->number);
            add_setting_verdict(Verdict::translated);
            return;
        }
        draft_.settings.check.set(read_option_httpchk(*statement_), statement_->number);
        add_setting_verdict(Verdict::translated, "probes speak HTTP/1.1");
    }

    void timeout() {
        const std::string& name = word(1);
        if (const auto fixed = fixed_timeout(name)) {
            return add_verdict(fixed->verdict, fixed->message);
        }
        if (name != "connect" && name != "server" && name != "queue" && name != "check") {
            return add_verdict(Verdict::refused, fmt::format("timeout {} is not known", name));
        }
        const auto value = parse_time(word(2));
        if (!value) {
            return add_verdict(Verdict::refused, value.error);
        }
        add_setting_verdict(
            name == "server" ? Verdict::changed : Verdict::translated,
            name == "server" ? "limits the whole answer, not each pause within it" : "");
        draft_.settings.timeouts[name].set(*value, statement_->number);
    }

    void max_conn() {
        const auto value = number(1, 0, kMaxInt);
        if (!value) {
            return;
        }
        add_setting_verdict(Verdict::translated);
        draft_.settings.max_conn.set(*value, statement_->number);
    }

    void full_conn() {
        const auto value = number(1, 1, kMaxInt);
        if (!value) {
            return;
        }
        add_setting_verdict(
            Verdict::changed,
            "server limits do not vary with the pool's load: each is always maxconn");
        draft_.settings.full_conn.set(*value, statement_->number);
    }

    void cookie() {
        if (word(1).empty()) {
            return add_verdict(Verdict::refused, "cookie lacks its name");
        }
        bool sets_cookie = false;
        for (std::size_t index = 2; index < statement_->size(); ++index) {
            sets_cookie |=
                word(index) == "insert" || word(index) == "rewrite" || word(index) == "prefix";
        }
        if (sets_cookie) {
            add_setting_verdict(
                Verdict::changed,
                "an RPC that carries the cookie stays with its server; the proxy, not the "
                "planner, has to set it");
        } else {
            add_setting_verdict(Verdict::translated);
        }
        draft_.settings.cookie.set({word(1)}, statement_->number);
    }

    // Modifies the current check, which the section set itself or inherited. The line that set the
    // current check is marked as used, as this line builds on it.
    void http_check() {
        Setting<Check>& current = draft_.settings.check;
        auto check = read_http_check(*statement_, current ? current.get(findings_) : Check{});
        if (!check) {
            add_verdict(check.error().verdict, check.error().message);
            return;
        }
        add_setting_verdict(Verdict::translated);
        check->http = check->http || static_cast<bool>(current);
        current.set(std::move(*check), statement_->number);
    }

    void tcp_check() {
        if (word(1) == "connect" && statement_->size() == 2) {
            return add_verdict(Verdict::translated, "a connection is a sign of health");
        }
        add_verdict(Verdict::refused,
                    "probes connect or send an HTTP request; scripts are not supported");
    }

    void stick_table() {
        if (word(1) != "type") {
            return add_verdict(Verdict::refused, "stick-table must begin with its type");
        }
        add_setting_verdict(
            Verdict::changed,
            "nothing is stored or counted: keys are spread by hash, so that they need no table "
            "and no peers");
        draft_.settings.stick_table.set(word(2), statement_->number);
    }

    void stick() {
        if (is_defaults()) {
            return add_verdict(Verdict::refused, "stick rules belong to a backend");
        }
        draft_.sticks.push_back(statement_);
    }

    void default_backend() {
        add_setting_verdict(Verdict::translated);
        draft_.settings.default_backend.set(word(1), statement_->number);
    }

    void default_server() {
        ServerParameters words = draft_.settings.default_server;
        read_server_parameters(*statement_, 1, words, findings_);
        if (words.left_out) {
            return;  // the finding of the line says so; the earlier defaults stay in effect
        }
        draft_.settings.default_server = words;
        draft_.settings.default_server_lines.push_back(statement_->number);
        findings_.set_unused_message(statement_->number, "not used by any server");
    }

    // Returns whether the statement is allowed in this section. Refuses the line if the section is
    // a defaults section, or if it does not take such statements (with `message`).
    bool check_allowed(bool is_allowed, const char* message) {
        if (is_defaults()) {
            add_verdict(Verdict::refused,
                        "not inherited from defaults here: put it into the sections");
            return false;
        }
        if (!is_allowed) {
            add_verdict(Verdict::refused, message);
        }
        return is_allowed;
    }

    // Keeps the statement for later translation if it is allowed in this section.
    void keep_in(std::vector<const Statement*>& list, bool is_allowed, const char* message) {
        if (check_allowed(is_allowed, message)) {
            list.push_back(statement_);
        }
    }

    void server() {
        if (!check_allowed(draft_.has_servers(), "only a backend or listen section has servers")) {
            return;
        }
        draft_.servers.push_back(
            {statement_, draft_.settings.default_server, draft_.settings.default_server_lines});
    }

    void acl() { keep_in(draft_.acls, true, ""); }
    void bind() {
        keep_in(draft_.binds, draft_.listens(), "only a frontend or listen section listens");
    }

    void use_backend() {
        keep_in(draft_.use_backends, draft_.listens(),
                "only a frontend or listen section has routes");
    }

    void rule() { keep_in(draft_.rules, true, ""); }
    void use_server() {
        add_verdict(Verdict::refused,
                    "rules can't choose a single server: make a pool of that server and a route "
                    "to it");
    }

    void disabled() {
        draft_.disabled = true;
        add_verdict(Verdict::translated, "the whole section is disabled");
    }

    void enabled() {
        draft_.disabled = false;
        add_verdict(Verdict::translated);
    }

    Findings& findings_;
    Draft draft_;
    const Statement* statement_ = nullptr;
};

}  // namespace

Draft read_section(const Section& section, const Settings& inherited, Findings& findings) {
    return SectionReader(section, inherited, findings).read();
}

}  // namespace micaroad::haproxy
