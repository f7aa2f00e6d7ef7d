/// Durations as operators write them: a whole number and a unit, such as "250us" or "3m".
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "micaroad/types.hpp"

namespace micaroad::operators {

/// What a duration may be, for the text of a fault.
constexpr std::string_view kDurationAllowed =
    "a whole number and us, ms, s, m, h or d; at most 2147483647ms";
/// The longest timer of imported files.
constexpr Duration kMaxDuration = std::chrono::milliseconds(2'147'483'647);

/// Rounded up to the resolution of Duration; absent if `text` is no duration or over the longest.
[[nodiscard]] std::optional<Duration> parse_duration(std::string_view text);
/// The duration in the largest unit that needs no fraction.
[[nodiscard]] std::string format_duration(Duration duration);

}  // namespace micaroad::operators
