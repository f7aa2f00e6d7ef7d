// Durations as operators write them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "micaroad/types.hpp"

namespace micaroad::operators {

constexpr std::string_view kDurationAllowed =
    "a whole number and us, ms, s, m, h or d; at most 2147483647ms";
constexpr Duration kLongestDuration =
    std::chrono::milliseconds(2'147'483'647);  // the longest timer of imported files

// Rounded up to a tenth of a millisecond; absent: no duration, or over the longest.
std::optional<Duration> duration_of(std::string_view text);
std::string text_of(Duration duration);  // the largest unit that needs no fraction

}  // namespace micaroad::operators
