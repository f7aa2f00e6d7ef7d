#include "haproxy/server_line.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

/// What the importer makes of a keyword that it does not translate into a setting.
struct KeywordEffect {
    int word_count;  // the keyword itself and its values
    Verdict verdict;
    const char* reason;
};

struct FixedKeyword {
    std::string_view keyword;
    KeywordEffect effect;
};

constexpr int kMaxProbesInARow = 1'000;
constexpr int kMaxWeight = 256;
constexpr std::int64_t kMaxInt = std::numeric_limits<std::int32_t>::max();

constexpr const char* kTls =
    "TLS to servers is the proxies' own matter: tables name addresses alone; set it there";
constexpr const char* kProxyLine =
    "the PROXY line has no equal here: proxies send RPCs as they are; let the servers take the "
    "address from "
    "a header";
constexpr const char* kLookUp = "no names are looked up here";

constexpr auto kFixedKeywords = std::to_array<FixedKeyword>({
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
});

const KeywordEffect* find_fixed_keyword(std::string_view keyword) {
    const auto* const found = std::ranges::find(kFixedKeywords, keyword, &FixedKeyword::keyword);
    return found == kFixedKeywords.end() ? nullptr : &found->effect;
}

/// Reads the words of one line from left to right. Each `read_...` function that returns a bool
/// tells whether the keyword belongs to its group, and consumes the keyword's values if so.
class ServerLineReader {
 public:
    ServerLineReader(const Statement& statement, std::size_t first, ServerParameters& words,
                     Findings& findings)
        : statement_(statement), position_(first), words_(words), findings_(findings) {}

    void read() {
        report(Verdict::translated, "");
        for (; position_ < statement_.size(); ++position_) {
            read_keyword(statement_.word(position_));
        }
    }

 private:
    void read_keyword(const std::string& keyword) {
        const bool known = read_switch(keyword) || read_probe_setting(keyword) ||
                           read_limit(keyword) || read_name(keyword) ||
                           read_error_setting(keyword) || read_fixed_keyword(keyword);
        if (!known) {
            leave_out(fmt::format("'{}' is not known", keyword));
        }
    }

    bool read_switch(const std::string& keyword) {
        if (keyword == "backup") {
            words_.backup = true;
        } else if (keyword == "no-backup") {
            words_.backup = false;
        } else if (keyword == "disabled") {
            words_.disabled = true;
        } else if (keyword == "enabled") {
            words_.disabled = false;
        } else if (keyword == "check") {
            words_.check = true;
        } else if (keyword == "no-check") {
            words_.check = false;
        } else {
            return false;
        }
        return true;
    }

    bool read_probe_setting(const std::string& keyword) {
        if (keyword == "inter") {
            words_.inter = read_positive_time(keyword);
        } else if (keyword == "fastinter") {
            words_.fast_inter = read_positive_time(keyword);
        } else if (keyword == "downinter") {
            words_.down_inter = read_positive_time(keyword);
        } else if (keyword == "rise") {
            words_.rise = read_probes_in_a_row(keyword);
        } else if (keyword == "fall") {
            words_.fall = read_probes_in_a_row(keyword);
        } else {
            return false;
        }
        return true;
    }

    bool read_limit(const std::string& keyword) {
        if (keyword == "weight") {
            words_.weight = read_number(keyword, 0, kMaxWeight).value_or(0);
        } else if (keyword == "slowstart") {
            // HAProxy counts it in whole seconds, rounded up.
            const Duration given = read_time(keyword).value_or(Duration{});
            words_.slow_start = std::chrono::ceil<std::chrono::seconds>(given);
        } else if (keyword == "maxconn") {
            words_.max_conn = read_number(keyword, 0, kMaxInt).value_or(0);
        } else if (keyword == "minconn") {
            words_.min_conn = read_number(keyword, 0, kMaxInt).value_or(0);
            report(Verdict::changed,
                   "its limit is maxconn (or minconn alone) whatever the load: it does not shrink "
                   "to minconn while the pool is idle");
        } else if (keyword == "maxqueue") {
            words_.max_queue = read_number(keyword, 0, kMaxInt).value_or(0);
        } else {
            return false;
        }
        return true;
    }

    bool read_name(const std::string& keyword) {
        if (keyword == "track") {
            words_.track = next_word();
        } else if (keyword == "cookie") {
            words_.cookie = next_word();
        } else {
            return false;
        }
        return true;
    }

    bool read_error_setting(const std::string& keyword) {
        if (keyword == "error-limit") {
            words_.error_limit = read_number(keyword, 1, kMaxInt);
        } else if (keyword == "observe") {
            read_observed_layer();
        } else if (keyword == "on-error") {
            words_.on_error = next_word();
            if (words_.on_error != "mark-down") {
                report(Verdict::changed,
                       "errors in a row put the server down at once; probes bring it back");
            }
        } else {
            return false;
        }
        return true;
    }

    void read_observed_layer() {
        const std::string& layer = next_word();
        words_.observes = layer == "layer4" || layer == "layer7";
        if (!words_.observes) {
            leave_out(fmt::format("observe '{}' is neither layer4 nor layer7", layer));
            return;
        }
        report(Verdict::changed,
               "RPCs that failed count, whatever the layer; the limit is the pool's");
    }

    bool read_fixed_keyword(const std::string& keyword) {
        const KeywordEffect* const effect = find_fixed_keyword(keyword);
        if (effect == nullptr) {
            return false;
        }
        report_fixed_keyword(keyword, *effect);
        position_ += static_cast<std::size_t>(effect->word_count - 1);
        if (position_ >= statement_.size()) {
            leave_out(fmt::format("{} lacks its value", keyword));
        }
        if (keyword == "source" && statement_.word(position_ + 1) == "usesrc") {
            position_ += 2;
        }
        return true;
    }

    void report_fixed_keyword(const std::string& keyword, const KeywordEffect& effect) {
        // A single keyword without effect does not make the whole server line one.
        const Verdict verdict =
            effect.verdict == Verdict::no_effect ? Verdict::translated : effect.verdict;
        std::string text;
        if (effect.verdict == Verdict::refused) {
            text = fmt::format("{}: {}; the server stands without it", keyword, effect.reason);
        }
        report(verdict, text);
    }

    const std::string& next_word() {
        ++position_;
        return statement_.word(position_);
    }

    std::optional<int> read_number(const std::string& keyword, std::int64_t least,
                                   std::int64_t most) {
        const auto value = number_of(next_word(), least, most);
        if (!value) {
            leave_out(fmt::format("{} {}", keyword, value.wrong));
            return std::nullopt;
        }
        return static_cast<int>(*value);
    }

    std::optional<Duration> read_time(const std::string& keyword) {
        const auto value = time_of(next_word());
        if (!value) {
            leave_out(fmt::format("{} {}", keyword, value.wrong));
            return std::nullopt;
        }
        return *value;
    }

    std::optional<Duration> read_positive_time(const std::string& keyword) {
        const std::optional<Duration> value = read_time(keyword);
        if (value == Duration{}) {
            leave_out(fmt::format("{} is no time at all", keyword));
            return std::nullopt;
        }
        return value;
    }

    /// Limited to what the settings file takes: a higher number is as good as never.
    std::optional<int> read_probes_in_a_row(const std::string& keyword) {
        const std::optional<int> value = read_number(keyword, 1, kMaxInt);
        if (!value) {
            return std::nullopt;
        }
        if (*value > kMaxProbesInARow) {
            report(Verdict::changed,
                   fmt::format("{} probes in a row are enough, not {}", kMaxProbesInARow, *value));
        }
        return std::min(*value, kMaxProbesInARow);
    }

    void report(Verdict verdict, const std::string& text) {
        findings_.say(statement_.number, verdict, text);
    }

    void leave_out(const std::string& reason) {
        words_.left_out = true;
        report(Verdict::refused, fmt::format("{}: the server is left out", reason));
    }

    const Statement& statement_;
    std::size_t position_;  // of the word being read
    ServerParameters& words_;
    Findings& findings_;
};

}  // namespace

void read_server_parameters(const Statement& statement, std::size_t from, ServerParameters& words,
                            Findings& findings) {
    ServerLineReader(statement, from, words, findings).read();
}

}  // namespace micaroad::haproxy
