/// Durations in the operator's file: a whole number and a unit, such as "250us" or "3m".
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "micaroad/types.hpp"

namespace micaroad::operators {

/// The allowed durations, for the text of a fault.
constexpr std::string_view kDurationAllowed =
    "a whole number and us, ms, s, m, h or d; at most 2147483647ms";
/// The longest timer that imported HAProxy files can have.
constexpr Duration kMaxDuration = std::chrono::milliseconds(2'147'483'647);

/// Parses a duration and rounds it up to the resolution of Duration. Absent if `text` is not a
/// duration or is over kMaxDuration.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);
/// Formats a duration in the largest unit in which it is a whole number.
[[nodiscard]] std::string format_duration(Duration duration);

}  // namespace micaroad::operators
