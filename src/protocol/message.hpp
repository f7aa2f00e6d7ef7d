/// Parses messages to the planner (PROTOCOL.md, "At the planner's address"), one per line. Converts
/// names to the deployment's numbers and milliseconds to Duration. Uses no sockets, threads or
/// clocks.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "micaroad/planner.hpp"
#include "protocol/wire_words.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::protocol {

/// Asks whether the planner is alive; it answers kAlive.
struct LivenessQuery {};

/// Identifies the connection's peer as the collector of a zone.
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
    bad_value,  ///< of the wrong type, unknown, or out of range
    count_too_large,
    no_window,
    more_failures_than_attempts,
};

/// A line of a known kind with a missing or invalid value. It is dropped; other lines are not
/// affected.
struct Malformed {
    MalformedReason reason = MalformedReason::bad_value;
    std::string word;  ///< name of the word concerned, truncated; may be empty
};

/// A line that is not of this protocol: nothing after it can be trusted.
struct Unparseable {
    std::string kind;  ///< its first word, truncated
};

/// The error as text, for a log line.
[[nodiscard]] std::string describe(const Malformed& malformed);
/// The error as text, for a log line.
[[nodiscard]] std::string describe(const Unparseable& unparseable);

using ParseResult = std::variant<Message, Malformed, Unparseable>;

/// The limits of values in a deployment.
struct Bounds {
    int proxies = 1;                                       ///< proxies have numbers below this
    Duration max_window = std::chrono::seconds(60);        ///< of a report
    Duration max_mean_latency = std::chrono::seconds(60);  ///< mean latency of attempts
};

/// Parses a line without its CRLF. Ignores unknown words. Any thread may call it while no other
/// changes `names`.
[[nodiscard]] ParseResult parse_message(std::string_view line, const SymbolTable& names,
                                        const Bounds& bounds);

using wire::kAlive;
using wire::kError;

}  // namespace micaroad::protocol
