#include "haproxy/server_line.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

/// How the importer treats a keyword that it does not translate to a setting.
struct KeywordEffect {
    int word_count;  // the keyword itself and its values
    Verdict verdict;
    const char* reason;
};

struct FixedKeyword {
    std::string_view keyword;
    KeywordEffect effect;
};

constexpr int kMaxConsecutiveProbes = 1'000;
constexpr int kMaxWeight = 256;
constexpr std::int64_t kMaxInt = std::numeric_limits<std::int32_t>::max();

constexpr const char* kTlsReason =
    "TLS to servers is configured at the proxies: tables hold only addresses";
constexpr const char* kProxyProtocolReason =
    "the PROXY protocol is not supported: proxies send RPCs as they are; let the servers take the "
    "client's address from a header";
constexpr const char* kNameLookupReason = "no names are looked up here";

constexpr auto kFixedKeywords = std::to_array<FixedKeyword>({
    {"send-proxy", {1, Verdict::refused, kProxyProtocolReason}},
    {"send-proxy-v2", {1, Verdict::refused, kProxyProtocolReason}},
    {"send-proxy-v2-ssl", {1, Verdict::refused, kProxyProtocolReason}},
    {"send-proxy-v2-ssl-cn", {1, Verdict::refused, kProxyProtocolReason}},
    {"proxy-v2-options", {2, Verdict::refused, kProxyProtocolReason}},
    {"set-proxy-v2-tlv-fmt", {2, Verdict::refused, kProxyProtocolReason}},
    {"check-send-proxy", {1, Verdict::refused, kProxyProtocolReason}},
    {"ssl", {1, Verdict::refused, kTlsReason}},
    {"ca-file", {2, Verdict::refused, kTlsReason}},
    {"crt", {2, Verdict::refused, kTlsReason}},
    {"crl-file", {2, Verdict::refused, kTlsReason}},
    {"verify", {2, Verdict::refused, kTlsReason}},
    {"verifyhost", {2, Verdict::refused, kTlsReason}},
    {"sni", {2, Verdict::refused, kTlsReason}},
    {"alpn", {2, Verdict::refused, kTlsReason}},
    {"npn", {2, Verdict::refused, kTlsReason}},
    {"ciphers", {2, Verdict::refused, kTlsReason}},
    {"ciphersuites", {2, Verdict::refused, kTlsReason}},
    {"ssl-min-ver", {2, Verdict::refused, kTlsReason}},
    {"ssl-max-ver", {2, Verdict::refused, kTlsReason}},
    {"no-ssl-reuse", {1, Verdict::refused, kTlsReason}},
    {"no-ssl", {1, Verdict::no_effect, ""}},
    {"no-verifyhost", {1, Verdict::no_effect, ""}},
    {"no-send-proxy", {1, Verdict::no_effect, ""}},
    {"no-send-proxy-v2", {1, Verdict::no_effect, ""}},
    {"no-check-ssl", {1, Verdict::no_effect, ""}},
    {"check-ssl", {1, Verdict::refused, kTlsReason}},
    {"check-sni", {2, Verdict::refused, kTlsReason}},
    {"check-alpn", {2, Verdict::refused, kTlsReason}},
    {"check-proto", {2, Verdict::refused, "probes speak HTTP/1.1 or only connect"}},
    {"check-via-socks4", {1, Verdict::refused, "SOCKS is not supported"}},
    {"socks4", {2, Verdict::refused, "SOCKS is not supported"}},
    {"agent-check",
     {1, Verdict::refused,
      "agent checks are not supported: list the server as draining or with another weight "
      "instead"}},
    {"no-agent-check", {1, Verdict::no_effect, ""}},
    {"agent-inter", {2, Verdict::refused, "agent checks are not supported"}},
    {"agent-port", {2, Verdict::refused, "agent checks are not supported"}},
    {"agent-addr", {2, Verdict::refused, "agent checks are not supported"}},
    {"agent-send", {2, Verdict::refused, "agent checks are not supported"}},
    {"port", {2, Verdict::refused, "probes go to the server's own address"}},
    {"addr", {2, Verdict::refused, "probes go to the server's own address"}},
    {"resolvers", {2, Verdict::refused, kNameLookupReason}},
    {"resolve-prefer", {2, Verdict::refused, kNameLookupReason}},
    {"resolve-net", {2, Verdict::refused, kNameLookupReason}},
    {"resolve-opts", {2, Verdict::refused, kNameLookupReason}},
    {"init-addr", {2, Verdict::no_effect, "addresses are listed in the file"}},
    {"redir", {2, Verdict::refused, "RPCs are sent, not redirected, to servers"}},
    {"source", {2, Verdict::refused, "proxies connect from their own addresses"}},
    {"interface", {2, Verdict::refused, "proxies connect from their own addresses"}},
    {"usesrc", {2, Verdict::refused, "proxies connect from their own addresses"}},
    {"namespace", {2, Verdict::refused, "proxies connect in their own network namespace"}},
    {"on-marked-up", {2, Verdict::refused, "the planner does not shut sessions down"}},
    {"on-marked-down",
     {2, Verdict::refused,
      "the planner does not shut sessions down; proxies stop sending to the server at once"}},
    {"proto", {2, Verdict::no_effect, "the protocol to servers is configured at the proxies"}},
    {"ws", {2, Verdict::no_effect, "the protocol to servers is configured at the proxies"}},
    {"tfo", {1, Verdict::no_effect, "connecting is configured at the proxies"}},
    {"no-tfo", {1, Verdict::no_effect, ""}},
    {"tcp-ut", {2, Verdict::no_effect, "connecting is configured at the proxies"}},
    {"pool-max-conn", {2, Verdict::no_effect, "connection reuse is configured at the proxies"}},
    {"pool-low-conn", {2, Verdict::no_effect, "connection reuse is configured at the proxies"}},
    {"pool-purge-delay", {2, Verdict::no_effect, "connection reuse is configured at the proxies"}},
    {"max-reuse", {2, Verdict::no_effect, "connection reuse is configured at the proxies"}},
    {"log-proto", {2, Verdict::no_effect, "it concerns only logs"}},
    {"log-bufsize", {2, Verdict::no_effect, "it concerns only logs"}},
    {"id", {2, Verdict::no_effect, "servers are identified by name"}},
    {"guid", {2, Verdict::no_effect, "servers are identified by name"}},
    {"hash-key", {2, Verdict::changed, "keys are hashed over the servers' names"}},
    {"stick", {1, Verdict::no_effect, "it is the default"}},
    {"non-stick", {1, Verdict::refused, "stickiness is a setting of the whole pool"}},
});

const KeywordEffect* find_fixed_keyword(std::string_view keyword) {
    const auto* const found = std::ranges::find(kFixedKeywords, keyword, &FixedKeyword::keyword);
    return found == kFixedKeywords.end() ? nullptr : &found->effect;
}

/// Reads the words of one line from left to right. Each `read_...` function that returns a bool
/// tells whether the keyword belongs to its group, and consumes the keyword's values if so.
class ServerLineReader {
 public:
    ServerLineReader(const Statement& statement, std::size_t first, ServerParameters& parameters,
                     Findings& findings)
        : statement_(statement), position_(first), parameters_(parameters), findings_(findings) {}

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
            parameters_.backup = true;
        } else if (keyword == "no-backup") {
            parameters_.backup = false;
        } else if (keyword == "disabled") {
            parameters_.disabled = true;
        } else if (keyword == "enabled") {
            parameters_.disabled = false;
        } else if (keyword == "check") {
            parameters_.check = true;
        } else if (keyword == "no-check") {
            parameters_.check = false;
        } else {
            return false;
        }
        return true;
    }

    bool read_probe_setting(const std::string& keyword) {
        if (keyword == "inter") {
            parameters_.interval = read_positive_time(keyword);
        } else if (keyword == "fastinter") {
            parameters_.transition_interval = read_positive_time(keyword);
        } else if (keyword == "downinter") {
            parameters_.down_interval = read_positive_time(keyword);
        } else if (keyword == "rise") {
            parameters_.rise = read_consecutive_probes(keyword);
        } else if (keyword == "fall") {
            parameters_.fall = read_consecutive_probes(keyword);
        } else {
            return false;
        }
        return true;
    }

    bool read_limit(const std::string& keyword) {
        if (keyword == "weight") {
            parameters_.weight = read_number(keyword, 0, kMaxWeight).value_or(0);
        } else if (keyword == "slowstart") {
            // HAProxy counts it in whole seconds, rounded up.
            const Duration given = read_time(keyword).value_or(Duration{});
            parameters_.slow_start = std::chrono::ceil<std::chrono::seconds>(given);
        } else if (keyword == "maxconn") {
            parameters_.max_conn = read_number(keyword, 0, kMaxInt).value_or(0);
        } else if (keyword == "minconn") {
            parameters_.min_conn = read_number(keyword, 0, kMaxInt).value_or(0);
            report(Verdict::changed,
                   "the limit is maxconn (minconn if there is no maxconn) at any load: it does not "
                   "shrink to minconn while the pool is idle");
        } else if (keyword == "maxqueue") {
            parameters_.max_queue = read_number(keyword, 0, kMaxInt).value_or(0);
        } else {
            return false;
        }
        return true;
    }

    bool read_name(const std::string& keyword) {
        if (keyword == "track") {
            parameters_.track = next_word();
        } else if (keyword == "cookie") {
            parameters_.cookie = next_word();
        } else {
            return false;
        }
        return true;
    }

    bool read_error_setting(const std::string& keyword) {
        if (keyword == "error-limit") {
            parameters_.error_limit = read_number(keyword, 1, kMaxInt);
        } else if (keyword == "observe") {
            read_observed_layer();
        } else if (keyword == "on-error") {
            parameters_.on_error = next_word();
            if (parameters_.on_error != "mark-down") {
                report(Verdict::changed,
                       "consecutive errors mark the server down at once; successful probes mark it "
                       "up again");
            }
        } else {
            return false;
        }
        return true;
    }

    void read_observed_layer() {
        const std::string& layer = next_word();
        parameters_.observes = layer == "layer4" || layer == "layer7";
        if (!parameters_.observes) {
            leave_out(fmt::format("observe '{}' is neither layer4 nor layer7", layer));
            return;
        }
        report(Verdict::changed,
               "failed RPCs count at either layer; the limit is that of the pool");
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
        // A keyword without effect does not make the whole server line one without effect.
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

    std::optional<int> read_number(const std::string& keyword, std::int64_t min_value,
                                   std::int64_t max_value) {
        const auto value = parse_number(next_word(), min_value, max_value);
        if (!value) {
            leave_out(fmt::format("{} {}", keyword, value.error));
            return std::nullopt;
        }
        return static_cast<int>(*value);
    }

    std::optional<Duration> read_time(const std::string& keyword) {
        const auto value = parse_time(next_word());
        if (!value) {
            leave_out(fmt::format("{} {}", keyword, value.error));
            return std::nullopt;
        }
        return *value;
    }

    std::optional<Duration> read_positive_time(const std::string& keyword) {
        const std::optional<Duration> value = read_time(keyword);
        if (value == Duration{}) {
            leave_out(fmt::format("{} has to be over 0", keyword));
            return std::nullopt;
        }
        return value;
    }

    /// Reads a number of probes, limited to what the operator's file accepts. A higher one
    /// would practically never be reached.
    std::optional<int> read_consecutive_probes(const std::string& keyword) {
        const std::optional<int> value = read_number(keyword, 1, kMaxInt);
        if (!value) {
            return std::nullopt;
        }
        if (*value > kMaxConsecutiveProbes) {
            report(Verdict::changed, fmt::format("the limit is {} consecutive probes, not {}",
                                                 kMaxConsecutiveProbes, *value));
        }
        return std::min(*value, kMaxConsecutiveProbes);
    }

    void report(Verdict verdict, const std::string& text) {
        findings_.add_verdict(statement_.number, verdict, text);
    }

    void leave_out(const std::string& reason) {
        parameters_.left_out = true;
        report(Verdict::refused, fmt::format("{}: the server is left out", reason));
    }

    const Statement& statement_;
    std::size_t position_;  // of the word being read
    ServerParameters& parameters_;
    Findings& findings_;
};

}  // namespace

void read_server_parameters(const Statement& statement, std::size_t from,
                            ServerParameters& parameters, Findings& findings) {
    ServerLineReader(statement, from, parameters, findings).read();
}

}  // namespace micaroad::haproxy
