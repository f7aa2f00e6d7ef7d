/// Messages to the planner (PROTOCOL.md, "At the planner's address"): one line in, one message out.
/// Names become the deployment's numbers here, and milliseconds become Duration. No sockets,
/// threads or clocks.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "micaroad/planner.hpp"
#include "protocol/wire_words.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::protocol {

/// Asks whether the planner answers; kAlive is the answer.
struct LivenessQuery {};

/// The connection is the collector's of this zone.
struct CollectorIdentified {
    ZoneId zone;
};

using Message =
    std::variant<LivenessQuery, CollectorIdentified, event::ProxyJoined, event::Acknowledgement,
                 event::EndpointLoadReport, event::DemandReport>;

enum class MalformedReason {
    no_name_or_value,  ///< a word that is not name=value
    repeated_word,
    too_many_words,
    missing_word,
    bad_value,  ///< not of the word's type, unknown, or over its bound
    count_too_large,
    no_window,
    more_failures_than_attempts,
};

/// A line of a known kind that can't be meant so. It is dropped; the lines around it are good.
struct Malformed {
    MalformedReason reason = MalformedReason::bad_value;
    std::string word;  ///< the name of the word concerned, cut to a bound; empty if none is
};

/// A line that is not of this protocol: nothing that follows can be trusted.
struct Unparseable {
    std::string kind;  ///< its first word, cut to a bound
};

/// The error in words, for a log line.
[[nodiscard]] std::string describe(const Malformed& malformed);
/// The error in words, for a log line.
[[nodiscard]] std::string describe(const Unparseable& unparseable);

using ParseResult = std::variant<Message, Malformed, Unparseable>;

/// What values can be in a deployment.
struct Bounds {
    int proxies = 1;                                       ///< proxies are numbered below this
    Duration max_window = std::chrono::seconds(60);        ///< of a report
    Duration max_mean_latency = std::chrono::seconds(60);  ///< mean latency of attempts
};

/// Parses a line without its CRLF. Words that its kind does not have are passed over. Any thread
/// may call it while no other changes `names`.
[[nodiscard]] ParseResult parse_message(std::string_view line, const SymbolTable& names,
                                        const Bounds& bounds);

using wire::kAlive;
using wire::kError;

}  // namespace micaroad::protocol
