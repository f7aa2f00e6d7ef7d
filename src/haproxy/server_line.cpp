#include "haproxy/server_line.hpp"

#include <fmt/format.h>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

// Words with a fixed verdict, by how many words belong to each.
struct Fixed {
    int words;
    Verdict verdict;
    const char* says;
};
constexpr int kMostInARow = 1'000;
const char* const kTls =
    "TLS to servers is the proxies' own matter: tables name addresses alone; set it there";
const char* const kProxyLine =
    "the PROXY line has no equal here: proxies send RPCs as they are; let the servers take the "
    "address from "
    "a header";
const char* const kLookUp = "no names are looked up here";

const std::map<std::string, Fixed>& fixed() {
    static const std::map<std::string, Fixed> kFixed{
        {"send-proxy", {1, Verdict::refused, kProxyLine}},
        {"send-proxy-v2", {1, Verdict::refused, kProxyLine}},
        {"send-proxy-v2-ssl", {1, Verdict::refused, kProxyLine}},
        {"send-proxy-v2-ssl-cn", {1, Verdict::refused, kProxyLine}},
        {"proxy-v2-options", {2, Verdict::refused, kProxyLine}},
        {"set-proxy-v2-tlv-fmt", {2, Verdict::refused, kProxyLine}},
        {"check-send-proxy", {1, Verdict::refused, kProxyLine}},
        {"ssl", {1, Verdict::refused, kTls}},
        {"ca-file", {2, Verdict::refused, kTls}},
        {"crt", {2, Verdict::refused, kTls}},
        {"crl-file", {2, Verdict::refused, kTls}},
        {"verify", {2, Verdict::refused, kTls}},
        {"verifyhost", {2, Verdict::refused, kTls}},
        {"sni", {2, Verdict::refused, kTls}},
        {"alpn", {2, Verdict::refused, kTls}},
        {"npn", {2, Verdict::refused, kTls}},
        {"ciphers", {2, Verdict::refused, kTls}},
        {"ciphersuites", {2, Verdict::refused, kTls}},
        {"ssl-min-ver", {2, Verdict::refused, kTls}},
        {"ssl-max-ver", {2, Verdict::refused, kTls}},
        {"no-ssl-reuse", {1, Verdict::refused, kTls}},
        {"no-ssl", {1, Verdict::no_effect, ""}},
        {"no-verifyhost", {1, Verdict::no_effect, ""}},
        {"no-send-proxy", {1, Verdict::no_effect, ""}},
        {"no-send-proxy-v2", {1, Verdict::no_effect, ""}},
        {"no-check-ssl", {1, Verdict::no_effect, ""}},
        {"check-ssl", {1, Verdict::refused, kTls}},
        {"check-sni", {2, Verdict::refused, kTls}},
        {"check-alpn", {2, Verdict::refused, kTls}},
        {"check-proto", {2, Verdict::refused, "probes speak HTTP/1.1 or only connect"}},
        {"check-via-socks4", {1, Verdict::refused, "no SOCKS is spoken here"}},
        {"socks4", {2, Verdict::refused, "no SOCKS is spoken here"}},
        {"agent-check",
         {1, Verdict::refused,
          "agents are not asked: list the server as draining or with another weight instead"}},
        {"no-agent-check", {1, Verdict::no_effect, ""}},
        {"agent-inter", {2, Verdict::refused, "agents are not asked"}},
        {"agent-port", {2, Verdict::refused, "agents are not asked"}},
        {"agent-addr", {2, Verdict::refused, "agents are not asked"}},
        {"agent-send", {2, Verdict::refused, "agents are not asked"}},
        {"port", {2, Verdict::refused, "probes go to the server's own address"}},
        {"addr", {2, Verdict::refused, "probes go to the server's own address"}},
        {"resolvers", {2, Verdict::refused, kLookUp}},
        {"resolve-prefer", {2, Verdict::refused, kLookUp}},
        {"resolve-net", {2, Verdict::refused, kLookUp}},
        {"resolve-opts", {2, Verdict::refused, kLookUp}},
        {"init-addr", {2, Verdict::no_effect, "addresses stand in the file"}},
        {"redir", {2, Verdict::refused, "RPCs are sent, not redirected, to servers"}},
        {"source", {2, Verdict::refused, "the proxies' own addresses are used"}},
        {"interface", {2, Verdict::refused, "the proxies' own addresses are used"}},
        {"usesrc", {2, Verdict::refused, "the proxies' own addresses are used"}},
        {"namespace", {2, Verdict::refused, "proxies dial in their own namespace"}},
        {"on-marked-up", {2, Verdict::refused, "sessions are not shut down from here"}},
        {"on-marked-down",
         {2, Verdict::refused, "sessions are not shut down from here; proxies stop at once"}},
        {"proto", {2, Verdict::no_effect, "how proxies speak with servers is theirs"}},
        {"ws", {2, Verdict::no_effect, "how proxies speak with servers is theirs"}},
        {"tfo", {1, Verdict::no_effect, "how proxies dial is theirs"}},
        {"no-tfo", {1, Verdict::no_effect, ""}},
        {"tcp-ut", {2, Verdict::no_effect, "how proxies dial is theirs"}},
        {"pool-max-conn", {2, Verdict::no_effect, "how proxies keep connections is theirs"}},
        {"pool-low-conn", {2, Verdict::no_effect, "how proxies keep connections is theirs"}},
        {"pool-purge-delay", {2, Verdict::no_effect, "how proxies keep connections is theirs"}},
        {"max-reuse", {2, Verdict::no_effect, "how proxies keep connections is theirs"}},
        {"log-proto", {2, Verdict::no_effect, "for logs alone"}},
        {"log-bufsize", {2, Verdict::no_effect, "for logs alone"}},
        {"id", {2, Verdict::no_effect, "names alone count"}},
        {"guid", {2, Verdict::no_effect, "names alone count"}},
        {"hash-key", {2, Verdict::changed, "keys are hashed over the servers' names"}},
        {"stick", {1, Verdict::no_effect, "the usual"}},
        {"non-stick", {1, Verdict::refused, "stickiness is by pool"}},
        {"enabled", {1, Verdict::translated, ""}},
    };
    return kFixed;
}

}  // namespace

void read_server_words(const Statement& statement, std::size_t from, ServerWords& words,
                       Findings& findings) {
    const auto say = [&](Verdict verdict, std::string says) {
        findings.say(statement.number, verdict, says);
    };
    const auto leave_out = [&](std::string why) {
        words.left_out = true;
        say(Verdict::refused, fmt::format("{}: the server is left out", why));
    };
    std::size_t at = from;
    const auto number = [&](const char* word, std::int64_t least,
                            std::int64_t most) -> std::optional<int> {
        const auto value = number_of(statement.word(++at), least, most);
        if (!value) {
            return leave_out(fmt::format("{} {}", word, value.wrong)), std::nullopt;
        }
        return static_cast<int>(*value);
    };
    const auto time = [&](const char* word, bool zero_may = false) -> std::optional<Duration> {
        const auto value = time_of(statement.word(++at));
        if (!value) {
            return leave_out(fmt::format("{} {}", word, value.wrong)), std::nullopt;
        }
        if (*value == Duration{} && !zero_may) {
            return leave_out(fmt::format("{} is no time at all", word)), std::nullopt;
        }
        return *value;
    };
    // Probes in a row: more than the operator's file takes are as good as never.
    const auto in_a_row = [&](const char* word) {
        const auto value = number(word, 1, 2'147'483'647);
        if (value && *value > kMostInARow) {
            say(Verdict::changed,
                fmt::format("{} probes in a row are enough, not {}", kMostInARow, *value));
        }
        return value ? std::optional(std::min(*value, kMostInARow)) : value;
    };
    constexpr std::int64_t kInt = 2'147'483'647;
    say(Verdict::translated, "");
    for (; at < statement.size(); ++at) {
        const std::string& word = statement.word(at);
        if (word == "weight") {
            words.weight = number("weight", 0, 256).value_or(0);
        } else if (word == "backup") {
            words.backup = true;
        } else if (word == "no-backup") {
            words.backup = false;
        } else if (word == "disabled") {
            words.disabled = true;
        } else if (word == "enabled") {
            words.disabled = false;
        } else if (word == "check") {
            words.check = true;
        } else if (word == "no-check") {
            words.check = false;
        } else if (word == "inter") {
            words.inter = time("inter");
        } else if (word == "fastinter") {
            words.fast_inter = time("fastinter");
        } else if (word == "downinter") {
            words.down_inter = time("downinter");
        } else if (word == "rise") {
            words.rise = in_a_row("rise");
        } else if (word == "fall") {
            words.fall = in_a_row("fall");
        } else if (word == "slowstart") {
            // The original counts it in whole seconds, rounded up.
            const Duration given = time("slowstart", true).value_or(Duration{});
            words.slow_start = std::chrono::ceil<std::chrono::seconds>(given);
        } else if (word == "maxconn") {
            words.max_conn = number("maxconn", 0, kInt).value_or(0);
        } else if (word == "minconn") {
            words.min_conn = number("minconn", 0, kInt).value_or(0);
            say(Verdict::changed,
                "its limit is maxconn (or minconn alone) whatever the load: it does not shrink to "
                "minconn "
                "while the pool is idle");
        } else if (word == "maxqueue") {
            words.max_queue = number("maxqueue", 0, kInt).value_or(0);
        } else if (word == "track") {
            words.track = statement.word(++at);
        } else if (word == "cookie") {
            words.cookie = statement.word(++at);
        } else if (word == "error-limit") {
            words.error_limit = number("error-limit", 1, kInt);
        } else if (word == "observe") {
            const std::string& layer = statement.word(++at);
            words.observes = layer == "layer4" || layer == "layer7";
            if (!words.observes) {
                leave_out(fmt::format("observe '{}' is neither layer4 nor layer7", layer));
            } else {
                say(Verdict::changed,
                    "RPCs that failed count, whatever the layer; the limit is the pool's");
            }
        } else if (word == "on-error") {
            words.on_error = statement.word(++at);
            if (words.on_error != "mark-down") {
                say(Verdict::changed,
                    "errors in a row put the server down at once; probes bring it back");
            }
        } else if (const auto at_fixed = fixed().find(word); at_fixed != fixed().end()) {
            const Fixed& known = at_fixed->second;
            const bool refused = known.verdict == Verdict::refused;
            say(known.verdict == Verdict::no_effect ? Verdict::translated : known.verdict,
                refused ? fmt::format("{}: {}; the server stands without it", word, known.says)
                        : "");
            at += static_cast<std::size_t>(known.words - 1);
            if (at >= statement.size()) {
                leave_out(fmt::format("{} lacks its value", word));
            }
            if (word == "source" && statement.word(at + 1) == "usesrc") {
                at += 2;
            }
        } else {
            leave_out(fmt::format("'{}' is not known", word));
        }
    }
}

}  // namespace micaroad::haproxy
