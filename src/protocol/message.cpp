#include "protocol/message.hpp"

#include <algorithm>
#include <array>

#include "protocol/line_words.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::size_t kMaxQuotedKindBytes = 40;
// Limit for the requests of a proxy, or the attempts at an endpoint, in one report.
constexpr double kMaxCount = 1e6;
constexpr int kNonces = 65'536;

struct Counts {
    double total = 0;
    double failures = 0;  // failed requests may have been received in an earlier window
    Duration window{};
};

Counts parse_counts(LineWords& words, const Bounds& bounds) {
    Counts counts;
    counts.total = words.number(wire::kCount);
    counts.failures = words.number(wire::kFailures);
    counts.window = words.milliseconds(wire::kWindow, bounds.max_window);
    if (std::max(counts.total, counts.failures) > kMaxCount) {
        words.reject(MalformedReason::count_too_large);
    }
    if (counts.window <= Duration{}) {
        words.reject(MalformedReason::no_window);
    }
    return counts;
}

Message parse_endpoint_load_report(LineWords& words, const SymbolTable& names,
                                   const Bounds& bounds) {
    event::EndpointLoadReport report;
    report.server = {std::string(words.text(wire::kEndpoint))};
    report.proxy_zone = {words.index_in(names.zones, wire::kZone)};
    const Counts counts = parse_counts(words, bounds);
    report.attempts = counts.total;
    report.failures = counts.failures;
    report.window = counts.window;
    report.mean_latency = words.milliseconds(wire::kMeanLatency, bounds.max_mean_latency);
    if (report.failures > report.attempts) {
        words.reject(MalformedReason::more_failures_than_attempts);
    }
    return report;
}

Message parse_demand_report(LineWords& words, const SymbolTable& names, const Bounds& bounds) {
    event::DemandReport report;
    report.proxy = {words.integer(wire::kProxy, bounds.proxies)};
    report.method = {words.index_in(names.methods, wire::kMethod)};
    const Counts counts = parse_counts(words, bounds);
    report.requests = counts.total;
    report.unanswered = counts.failures;
    report.window = counts.window;
    return report;
}

Message parse_acknowledgement(LineWords& words, const SymbolTable&, const Bounds& bounds) {
    // The delay is not used but must be present.
    static_cast<void>(words.number(wire::kDelay));
    event::Acknowledgement acknowledgement;
    acknowledgement.proxy = {words.integer(wire::kProxy, bounds.proxies)};
    acknowledgement.nonce = {words.integer(wire::kAcknowledgedNonce, kNonces)};
    return acknowledgement;
}

Message parse_proxy_joined(LineWords& words, const SymbolTable& names, const Bounds& bounds) {
    event::ProxyJoined joined;
    joined.proxy = {words.integer(wire::kProxy, bounds.proxies)};
    joined.zone = {words.index_in(names.zones, wire::kZone)};
    joined.rpcs_per_second = words.number(wire::kRpcsPerSecond);
    joined.initial_table_only = words.integer(wire::kInitialTableOnly, 2) == 1;
    return joined;
}

Message parse_collector(LineWords& words, const SymbolTable& names, const Bounds&) {
    return CollectorIdentified{{words.index_in(names.zones, wire::kZone)}};
}

Message parse_liveness_query(LineWords&, const SymbolTable&, const Bounds&) {
    return LivenessQuery{};
}

struct MessageKind {
    std::string_view word;
    Message (*parse)(LineWords&, const SymbolTable&, const Bounds&);
};

// Most frequent kinds first.
constexpr std::array kMessageKinds{
    MessageKind{wire::kEndpointLoadReport, parse_endpoint_load_report},
    MessageKind{wire::kDemandReport, parse_demand_report},
    MessageKind{wire::kAcknowledgement, parse_acknowledgement},
    MessageKind{wire::kProxyJoined, parse_proxy_joined},
    MessageKind{wire::kCollectorIdentified, parse_collector},
    MessageKind{wire::kLivenessQuery, parse_liveness_query},
};

}  // namespace

ParseResult parse_message(std::string_view line, const SymbolTable& names, const Bounds& bounds) {
    const std::string_view word = next_word(line);
    const auto* const kind =
        std::find_if(kMessageKinds.begin(), kMessageKinds.end(),
                     [word](const MessageKind& known) { return known.word == word; });
    if (kind == kMessageKinds.end()) {
        return Unparseable{std::string(word.substr(0, kMaxQuotedKindBytes))};
    }
    LineWords words(line);
    Message message = kind->parse(words, names, bounds);
    const std::optional<Malformed>& error = words.error();
    if (error) {
        return *error;
    }
    return message;
}

std::string describe(const Malformed& malformed) {
    switch (malformed.reason) {
        case MalformedReason::no_name_or_value:
            return "word is not name=value";
        case MalformedReason::repeated_word:
            return "repeated word " + malformed.word;
        case MalformedReason::too_many_words:
            return "too many words";
        case MalformedReason::missing_word:
            return "missing word " + malformed.word;
        case MalformedReason::bad_value:
            return "invalid value of " + malformed.word;
        case MalformedReason::count_too_large:
            return "count too large";
        case MalformedReason::no_window:
            return "window is not positive";
        case MalformedReason::more_failures_than_attempts:
            return "more failures than attempts";
    }
    return "?";
}

std::string describe(const Unparseable& unparseable) {
    return "unknown message kind " + unparseable.kind;
}

}  // namespace micaroad::protocol
