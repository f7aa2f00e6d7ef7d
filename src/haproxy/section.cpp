#include "haproxy/section.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "haproxy/keywords.hpp"
#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

// Reads one section. Each keyword that has to be looked into has a function, which gives its
// statement a verdict and keeps its setting; the others have a fixed verdict.
class SectionReader {
 public:
    SectionReader(const Section& section, const Settings& taken_over, Findings& findings)
        : findings_(findings) {
        draft_.section = &section;
        draft_.settings = taken_over;
    }

    Draft read() {
        for (const Statement& statement : draft_.section->statements) {
            statement_ = &statement;
            const auto handler = handlers().find(statement.word(0));
            if (handler != handlers().end()) {
                (this->*handler->second)();
            } else if (const auto fixed = fixed_verdict(statement)) {
                say(fixed->verdict, fixed->says);
            } else {
                say(Verdict::refused, "no keyword of these sections that is known here");
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
    void say(Verdict verdict, const std::string& says = "") {
        findings_.say(statement_->number, verdict, says);
    }

    // The verdict holds if some section goes by the line; else it has no effect.
    void say_of_setting(Verdict verdict, const std::string& says = "") {
        say(verdict, says);
        findings_.set_aside(statement_->number,
                            "no section goes by it: overridden, or of no use there");
    }

    bool is_defaults() const { return draft_.section->kind == "defaults"; }
    std::optional<int> number(std::size_t index, std::int64_t least, std::int64_t most) {
        const auto value = number_of(word(index), least, most);
        if (value) {
            return static_cast<int>(*value);
        }
        say(Verdict::refused, value.wrong);
        return std::nullopt;
    }

    static constexpr std::int64_t kHighestInt = 2'147'483'647;

    void mode() {
        if (word(1) == "http") {
            say(Verdict::translated);
        } else if (word(1) == "tcp") {
            say(Verdict::changed,
                "each connection counts as one RPC; paths, hosts and headers are not seen");
        } else {
            say(Verdict::refused, fmt::format("mode '{}' has no equal here", word(1)));
        }
        draft_.settings.mode.set(word(1), statement_->number);
    }

    void balance() {
        auto reading = read_balance(*statement_);
        if (!reading) {
            say(Verdict::refused, reading.error().message);
            return;
        }
        say_of_setting(reading->verdict, reading->says);
        draft_.settings.balance.set(std::move(reading->balance), statement_->number);
    }

    void hash_type() {
        say_of_setting(
            Verdict::changed,
            "keys are spread by weighted rendezvous hashing: a server that leaves takes only "
            "its own keys along");
        draft_.settings.hash_type.set(word(1), statement_->number);
    }

    void retries() {
        const auto value = number(1, 0, 100);
        if (!value) {
            return;
        }
        say_of_setting(
            Verdict::changed,
            "without the original's wait of a second before the same server is tried again; "
            "the planner orders fewer while levels are cut");
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
        bool any = false;
        bool more = false;
        for (std::size_t index = 1; index < statement_->size(); ++index) {
            if (!kEvents.contains(word(index)) && !kStatuses.contains(word(index))) {
                return say(Verdict::refused,
                           fmt::format("retry-on '{}' is not known", word(index)));
            }
            any |= word(index) != "none";
            more |= word(index) != "none" && word(index) != "conn-failure";
        }
        if (more) {
            say_of_setting(
                Verdict::changed,
                "after any failure, and only where the RPC is idempotent: nothing that may "
                "have run takes effect twice");
        } else {
            say_of_setting(Verdict::translated);
        }
        draft_.settings.retry_on.set({any, more}, statement_->number);
    }

    void option() {
        const std::string& name = word(1);
        Settings& settings = draft_.settings;
        if (name == "allbackups") {
            settings.all_backups.set(!statement_->no, statement_->number);
            say_of_setting(Verdict::translated);
        } else if (name == "persist") {
            settings.persist.set(!statement_->no, statement_->number);
            say_of_setting(Verdict::translated);
        } else if (name == "redispatch") {
            option_redispatch();
        } else if (name == "httpchk") {
            option_httpchk();
        } else if (name == "tcp-check") {
            settings.check.set({}, statement_->number);
            say_of_setting(Verdict::translated, "a connection is a sign of health");
        } else if (const auto fixed = fixed_option(name)) {
            say(fixed->verdict, fixed->says);
        } else {
            say(Verdict::refused, fmt::format("option {} is not known here", name));
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
            say_of_setting(Verdict::translated);
        } else {
            say_of_setting(Verdict::changed, "only the last try goes to another server");
        }
        draft_.settings.redispatch.set(redispatch, statement_->number);
    }

    void option_httpchk() {
        if (statement_->no) {
            draft_.settings.check.set({}, statement_->number);
            say_of_setting(Verdict::translated);
            return;
        }
        draft_.settings.check.set(read_option_httpchk(*statement_), statement_->number);
        say_of_setting(Verdict::translated, "probes speak HTTP/1.1");
    }

    void timeout() {
        const std::string& name = word(1);
        if (const auto fixed = fixed_timeout(name)) {
            return say(fixed->verdict, fixed->says);
        }
        if (name != "connect" && name != "server" && name != "queue" && name != "check") {
            return say(Verdict::refused, fmt::format("timeout {} is not known", name));
        }
        const auto value = time_of(word(2));
        if (!value) {
            return say(Verdict::refused, value.wrong);
        }
        say_of_setting(
            name == "server" ? Verdict::changed : Verdict::translated,
            name == "server" ? "the whole answer is due within it, not each silence of it" : "");
        draft_.settings.timeouts[name].set(*value, statement_->number);
    }

    void max_conn() {
        const auto value = number(1, 0, kHighestInt);
        if (!value) {
            return;
        }
        say_of_setting(Verdict::translated);
        draft_.settings.max_conn.set(*value, statement_->number);
    }

    void full_conn() {
        const auto value = number(1, 1, kHighestInt);
        if (!value) {
            return;
        }
        say_of_setting(
            Verdict::changed,
            "limits of servers do not move with the pool's load: each is maxconn at any time");
        draft_.settings.full_conn.set(*value, statement_->number);
    }

    void cookie() {
        if (word(1).empty()) {
            return say(Verdict::refused, "cookie lacks its name");
        }
        bool makes = false;
        for (std::size_t index = 2; index < statement_->size(); ++index) {
            makes |= word(index) == "insert" || word(index) == "rewrite" || word(index) == "prefix";
        }
        if (makes) {
            say_of_setting(Verdict::changed,
                           "an RPC that bears the cookie stays with its server; the proxy, not the "
                           "planner, is to set it");
        } else {
            say_of_setting(Verdict::translated);
        }
        draft_.settings.cookie.set({word(1)}, statement_->number);
    }

    // On top of what is held, this section's own or taken over; the line that it was set by counts
    // as used wherever this one is.
    void http_check() {
        Setting<Check>& held = draft_.settings.check;
        auto check = read_http_check(*statement_, held ? held.get(findings_) : Check{});
        if (!check) {
            say(check.error().verdict, check.error().message);
            return;
        }
        say_of_setting(Verdict::translated);
        check->http = check->http || static_cast<bool>(held);
        held.set(std::move(*check), statement_->number);
    }

    void tcp_check() {
        if (word(1) == "connect" && statement_->size() == 2) {
            return say(Verdict::translated, "a connection is a sign of health");
        }
        say(Verdict::refused, "probes connect, or ask by HTTP; scripts have no equal here");
    }

    void stick_table() {
        if (word(1) != "type") {
            return say(Verdict::refused, "a table is read from its type on");
        }
        say_of_setting(
            Verdict::changed,
            "nothing is stored or counted: keys are spread by hash, so that they need no table "
            "and no peers");
        draft_.settings.stick_table.set(word(2), statement_->number);
    }

    void stick() {
        if (is_defaults()) {
            return say(Verdict::refused, "stick rules belong to a backend");
        }
        draft_.sticks.push_back(statement_);
    }

    void default_backend() {
        say_of_setting(Verdict::translated);
        draft_.settings.default_backend.set(word(1), statement_->number);
    }

    void default_server() {
        ServerParameters words = draft_.settings.default_server;
        read_server_parameters(*statement_, 1, words, findings_);
        if (words.left_out) {
            return;  // its line says so; servers go by what was set before
        }
        draft_.settings.default_server = words;
        draft_.settings.default_server_lines.push_back(statement_->number);
        findings_.set_aside(statement_->number, "no server goes by it");
    }

    // False, with the line refused: it is in a defaults section, or its section is not of a kind
    // that takes it, which `where` says.
    bool may_stand_here(bool takes_it, const char* where) {
        if (is_defaults()) {
            say(Verdict::refused,
                "in defaults it is not taken over here: put it into the sections");
            return false;
        }
        if (!takes_it) {
            say(Verdict::refused, where);
        }
        return takes_it;
    }

    void file_under(std::vector<const Statement*>& list, bool takes_it, const char* where) {
        if (may_stand_here(takes_it, where)) {
            list.push_back(statement_);
        }
    }

    void server() {
        if (!may_stand_here(draft_.has_servers(), "only a backend or listen section has servers")) {
            return;
        }
        draft_.servers.push_back(
            {statement_, draft_.settings.default_server, draft_.settings.default_server_lines});
    }

    void acl() { file_under(draft_.acls, true, ""); }
    void bind() {
        file_under(draft_.binds, draft_.listens(), "only a frontend or listen section listens");
    }

    void use_backend() {
        file_under(draft_.use_backends, draft_.listens(),
                   "only a frontend or listen section has routes");
    }

    void rule() { file_under(draft_.rules, true, ""); }
    void use_server() {
        say(Verdict::refused,
            "an RPC is not given to one server by a rule: make a pool of that server and a route "
            "to it");
    }

    void disabled() {
        draft_.disabled = true;
        say(Verdict::translated, "the whole section counts as disabled");
    }

    void enabled() {
        draft_.disabled = false;
        say(Verdict::translated);
    }

    Findings& findings_;
    Draft draft_;
    const Statement* statement_ = nullptr;
};

}  // namespace

Draft read_section(const Section& section, const Settings& taken_over, Findings& findings) {
    return SectionReader(section, taken_over, findings).read();
}

}  // namespace micaroad::haproxy
