#include "haproxy/section.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "haproxy/keywords.hpp"
#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

class Reader {
 public:
    Reader(const Section& section, const Settings& taken_over, Findings& findings)
        : findings_(findings) {
        draft_.section = &section;
        draft_.settings = taken_over;
    }

    Draft read() {
        for (const Statement& statement : draft_.section->statements) {
            at_ = &statement;
            const auto reader = readers().find(statement.word(0));
            if (reader != readers().end()) {
                (this->*reader->second)();
            } else if (const auto fixed = fixed_verdict(statement)) {
                say(fixed->verdict, fixed->says);
            } else {
                say(Verdict::refused, "no keyword of these sections that is known here");
            }
        }
        return std::move(draft_);
    }

 private:
    using Read = void (Reader::*)();
    static const std::map<std::string, Read>& readers() {
        static const std::map<std::string, Read> kReaders{
            {"mode", &Reader::mode},
            {"balance", &Reader::balance},
            {"hash-type", &Reader::hash_type},
            {"retries", &Reader::retries},
            {"retry-on", &Reader::retry_on},
            {"option", &Reader::option},
            {"timeout", &Reader::timeout},
            {"maxconn", &Reader::max_conn},
            {"fullconn", &Reader::full_conn},
            {"cookie", &Reader::cookie},
            {"http-check", &Reader::http_check},
            {"stick-table", &Reader::stick_table},
            {"stick", &Reader::stick},
            {"default_backend", &Reader::default_backend},
            {"default-server", &Reader::default_server},
            {"server", &Reader::server},
            {"server-template", &Reader::server},
            {"acl", &Reader::acl},
            {"bind", &Reader::bind},
            {"use_backend", &Reader::use_backend},
            {"use-server", &Reader::use_server},
            {"http-request", &Reader::rule},
            {"tcp-request", &Reader::rule},
            {"redirect", &Reader::rule},
            {"block", &Reader::rule},
            {"disabled", &Reader::disabled},
            {"enabled", &Reader::enabled},
            {"tcp-check", &Reader::tcp_check},
        };
        return kReaders;
    }

    const std::string& word(std::size_t i) const { return at_->word(i); }
    void say(Verdict verdict, const std::string& says = "") {
        findings_.say(at_->number, verdict, says);
    }
    // The verdict holds where some section goes by the line.
    void setting(Verdict verdict, const std::string& says = "") {
        say(verdict, says);
        findings_.set_aside(at_->number, "no section goes by it: overridden, or of no use there");
    }
    bool is_defaults() const { return draft_.section->kind == "defaults"; }
    std::optional<int> number(std::size_t i, std::int64_t least, std::int64_t most) {
        const auto value = number_of(word(i), least, most);
        if (value) {
            return static_cast<int>(*value);
        }
        say(Verdict::refused, value.wrong);
        return std::nullopt;
    }
    static constexpr std::int64_t kInt = 2'147'483'647;

    void mode() {
        if (word(1) == "http") {
            say(Verdict::translated);
        } else if (word(1) == "tcp") {
            say(Verdict::changed,
                "each connection counts as one RPC; paths, hosts and headers are not seen");
        } else {
            say(Verdict::refused, fmt::format("mode '{}' has no equal here", word(1)));
        }
        draft_.settings.mode.set(word(1), at_->number);
    }
    void balance() {
        auto reading = read_balance(*at_);
        if (!reading) {
            say(Verdict::refused, reading.error().message);
            return;
        }
        setting(reading->verdict, reading->says);
        draft_.settings.balance.set(std::move(reading->balance), at_->number);
    }
    void hash_type() {
        setting(Verdict::changed,
                "keys are spread by weighted rendezvous hashing: a server that leaves takes only "
                "its own "
                "keys along");
        draft_.settings.hash_type.set(word(1), at_->number);
    }
    void retries() {
        const auto value = number(1, 0, 100);
        if (!value) {
            return;
        }
        setting(Verdict::changed,
                "without the original's wait of a second before the same server is tried again; "
                "the planner "
                "orders fewer while levels are cut");
        draft_.settings.retries.set(*value, at_->number);
    }
    void retry_on() {
        static const std::set<std::string> kKnown{"none",
                                                  "conn-failure",
                                                  "empty-response",
                                                  "junk-response",
                                                  "response-timeout",
                                                  "0rtt-rejected",
                                                  "all-retryable-errors",
                                                  "401",
                                                  "403",
                                                  "404",
                                                  "408",
                                                  "421",
                                                  "425",
                                                  "429",
                                                  "500",
                                                  "501",
                                                  "502",
                                                  "503",
                                                  "504"};
        bool any = false, more = false;
        for (std::size_t i = 1; i < at_->size(); ++i) {
            if (!kKnown.contains(word(i))) {
                return say(Verdict::refused, fmt::format("retry-on '{}' is not known", word(i)));
            }
            any |= word(i) != "none", more |= word(i) != "none" && word(i) != "conn-failure";
        }
        if (more) {
            setting(Verdict::changed,
                    "after any failure, and only where the RPC is idempotent: nothing that may "
                    "have run "
                    "takes effect twice");
        } else {
            setting(Verdict::translated);
        }
        draft_.settings.retry_on.set({any, more}, at_->number);
    }
    void option() {
        const std::string& name = word(1);
        Settings& settings = draft_.settings;
        if (name == "allbackups") {
            settings.all_backups.set(!at_->no, at_->number), setting(Verdict::translated);
        } else if (name == "persist") {
            settings.persist.set(!at_->no, at_->number), setting(Verdict::translated);
        } else if (name == "redispatch") {
            Redispatch to{!at_->no, -1};
            if (at_->size() > 2) {
                const auto interval = number(2, -100, 100);
                if (!interval) {
                    return;
                }
                to.interval = *interval;
            }
            if (to.interval == -1 || to.interval == 1) {
                setting(Verdict::translated);
            } else {
                setting(Verdict::changed, "only the last try goes to another server");
            }
            settings.redispatch.set(to, at_->number);
        } else if (name == "httpchk") {
            if (at_->no) {
                return settings.check.set({}, at_->number), setting(Verdict::translated);
            }
            Check to;
            to.http = true;
            if (at_->size() == 3) {
                to.path = word(2);
            }
            if (at_->size() > 3) {
                to.method = word(2), to.path = word(3);
            }
            // "HTTP/1.1\r\nHost:\ www" behind the path is the old way to name a host.
            const std::string version = word(4);
            if (const auto host = version.find("Host:"); host != std::string::npos) {
                to.host = version.substr(host + 5);
                to.host.erase(0, std::min(to.host.find_first_not_of(" \t"), to.host.size()));
                to.host = to.host.substr(0, to.host.find_first_of("\r\n"));
            }
            settings.check.set(to, at_->number),
                setting(Verdict::translated, "probes speak HTTP/1.1");
        } else if (name == "tcp-check") {
            settings.check.set({}, at_->number),
                setting(Verdict::translated, "a connection is a sign of health");
        } else if (const auto fixed = fixed_option(name)) {
            say(fixed->verdict, fixed->says);
        } else {
            say(Verdict::refused, fmt::format("option {} is not known here", name));
        }
    }
    void timeout() {
        static const std::map<std::string, const char*> kOthers{
            {"client", "how long clients may be silent is the proxies' matter"},
            {"client-fin", "how connections end is the proxies' matter"},
            {"client-hs", "how connections begin is the proxies' matter"},
            {"server-fin", "how connections end is the proxies' matter"},
            {"http-request", "how long a request may take to come is the proxies' matter"},
            {"http-keep-alive", "how long idle connections stay is the proxies' matter"},
            {"tunnel", "tunnels are the proxies' matter"},
            {"tarpit", "nobody is held back: an answer that is final is given at once"}};
        const std::string& name = word(1);
        if (const auto other = kOthers.find(name); other != kOthers.end()) {
            return say(Verdict::no_effect, other->second);
        }
        if (name != "connect" && name != "server" && name != "queue" && name != "check") {
            return say(Verdict::refused, fmt::format("timeout {} is not known", name));
        }
        const auto value = time_of(word(2));
        if (!value) {
            return say(Verdict::refused, value.wrong);
        }
        setting(
            name == "server" ? Verdict::changed : Verdict::translated,
            name == "server" ? "the whole answer is due within it, not each silence of it" : "");
        draft_.settings.timeouts[name].set(*value, at_->number);
    }
    void max_conn() {
        const auto value = number(1, 0, kInt);
        if (!value) {
            return;
        }
        setting(Verdict::translated);
        draft_.settings.max_conn.set(*value, at_->number);
    }
    void full_conn() {
        const auto value = number(1, 1, kInt);
        if (!value) {
            return;
        }
        setting(Verdict::changed,
                "limits of servers do not move with the pool's load: each is maxconn at any time");
        draft_.settings.full_conn.set(*value, at_->number);
    }
    void cookie() {
        if (word(1).empty()) {
            return say(Verdict::refused, "cookie lacks its name");
        }
        bool makes = false;
        for (std::size_t i = 2; i < at_->size(); ++i) {
            makes |= word(i) == "insert" || word(i) == "rewrite" || word(i) == "prefix";
        }
        if (makes) {
            setting(Verdict::changed,
                    "an RPC that bears the cookie stays with its server; the proxy, not the "
                    "planner, is to "
                    "set it");
        } else {
            setting(Verdict::translated);
        }
        draft_.settings.cookie.set({word(1)}, at_->number);
    }
    void http_check() {
        // On top of what is held, this section's own or taken over.
        Check check = draft_.settings.check ? draft_.settings.check.get(findings_) : Check{};
        const std::string& what = word(1);
        if (what == "expect") {
            std::size_t at = 2;
            while (word(at) == "min-recv" || word(at) == "comment" || word(at) == "ok-status" ||
                   word(at) == "error-status" || word(at) == "tout-status" ||
                   word(at) == "on-success" || word(at) == "on-error" ||
                   word(at) == "status-code") {
                at += 2;
            }
            if (word(at) != "status") {
                return say(
                    Verdict::refused,
                    fmt::format("http-check expect {}: only 'status' is looked at", word(at)));
            }
            std::string text = word(at + 1);
            const auto dash = text.find('-');
            const auto low = number_of(text.substr(0, dash), 100, 599);
            const auto high =
                dash == std::string::npos ? low : number_of(text.substr(dash + 1), 100, 599);
            if (!low || !high || *low > *high) {
                return say(Verdict::refused,
                           fmt::format("'{}' is no status or range of them that is looked for here",
                                       text));
            }
            check.status_least = static_cast<int>(*low),
            check.status_most = static_cast<int>(*high);
        } else if (what == "send") {
            std::string also;
            for (std::size_t i = 2; i < at_->size(); ++i) {
                if (word(i) == "meth") {
                    check.method = word(++i);
                } else if (word(i) == "uri") {
                    check.path = word(++i);
                } else if (word(i) == "hdr" && (word(i + 1) == "Host" || word(i + 1) == "host")) {
                    check.host = word(i + 2), i += 2;
                } else if (word(i) == "ver") {
                    ++i;
                } else {
                    return say(
                        Verdict::refused,
                        fmt::format("http-check send {}: probes have a method, a path and a host",
                                    word(i)));
                }
            }
        } else if (what == "disable-on-404") {
            return say(Verdict::refused,
                       "a server is drained by the list, not by the answer to a probe");
        } else if (what == "send-state") {
            return say(Verdict::no_effect, "probes do not tell servers their state");
        } else {
            return say(Verdict::refused,
                       fmt::format("http-check {}: probes are one request and one status", what));
        }
        setting(Verdict::translated);
        const bool http = check.http || draft_.settings.check;
        check.http = http;
        draft_.settings.check.set(check, at_->number);
        // The line that was built on counts as gone by wherever this one is.
    }
    void tcp_check() {
        if (word(1) == "connect" && at_->size() == 2) {
            return say(Verdict::translated, "a connection is a sign of health");
        }
        say(Verdict::refused, "probes connect, or ask by HTTP; scripts have no equal here");
    }
    void stick_table() {
        if (word(1) != "type") {
            return say(Verdict::refused, "a table is read from its type on");
        }
        setting(Verdict::changed,
                "nothing is stored or counted: keys are spread by hash, so that they need no table "
                "and no peers");
        draft_.settings.stick_table.set(word(2), at_->number);
    }
    void stick() {
        if (is_defaults()) {
            return say(Verdict::refused, "stick rules belong to a backend");
        }
        draft_.sticks.push_back(at_);
    }
    void default_backend() {
        setting(Verdict::translated);
        draft_.settings.default_backend.set(word(1), at_->number);
    }
    void default_server() {
        ServerWords words = draft_.settings.default_server;
        read_server_words(*at_, 1, words, findings_);
        if (words.left_out) {
            return;  // its line says so; servers go by what was set before
        }
        draft_.settings.default_server = words;
        draft_.settings.default_server_lines.push_back(at_->number);
        findings_.set_aside(at_->number, "no server goes by it");
    }
    bool belongs(bool sound, const char* where) {
        if (is_defaults()) {
            return say(Verdict::refused,
                       "in defaults it is not taken over here: put it into the sections"),
                   false;
        }
        if (!sound) {
            say(Verdict::refused, where);
        }
        return sound;
    }
    void own(std::vector<const Statement*>& list, bool sound, const char* where) {
        if (belongs(sound, where)) {
            list.push_back(at_);
        }
    }
    void server() {
        if (!belongs(draft_.has_servers(), "only a backend or listen section has servers")) {
            return;
        }
        draft_.servers.push_back(
            {at_, draft_.settings.default_server, draft_.settings.default_server_lines});
    }
    void acl() { own(draft_.acls, true, ""); }
    void bind() {
        own(draft_.binds, draft_.listens(), "only a frontend or listen section listens");
    }
    void use_backend() {
        own(draft_.use_backends, draft_.listens(), "only a frontend or listen section has routes");
    }
    void rule() { own(draft_.rules, true, ""); }
    void use_server() {
        say(Verdict::refused,
            "an RPC is not given to one server by a rule: make a pool of that server and a route "
            "to it");
    }
    void disabled() {
        draft_.disabled = true, say(Verdict::translated, "the whole section counts as disabled");
    }
    void enabled() { draft_.disabled = false, say(Verdict::translated); }

    Findings& findings_;
    Draft draft_;
    const Statement* at_ = nullptr;
};

}  // namespace

Draft read_section(const Section& section, const Settings& taken_over, Findings& findings) {
    return Reader(section, taken_over, findings).read();
}

}  // namespace micaroad::haproxy
