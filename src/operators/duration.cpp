#include "operators/duration.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace micaroad::operators {
namespace {

struct Unit {
    std::string_view name;
    std::int64_t microseconds;
};
// In descending order.
constexpr std::array<Unit, 6> kUnits{{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::int64_t kMicrosecondsPerTick = 100;
static_assert(std::chrono::microseconds{kMicrosecondsPerTick} == Duration{1});

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
    std::int64_t number = 0;
    const char* const begin = text.data();
    const std::from_chars_result result = std::from_chars(begin, begin + text.size(), number);
    if (result.ec != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view name = text.substr(static_cast<std::size_t>(result.ptr - begin));
    const auto* const unit = std::find_if(kUnits.begin(), kUnits.end(),
                                          [name](const Unit& known) { return known.name == name; });
    if (unit == kUnits.end()) {
        return std::nullopt;
    }
    constexpr std::int64_t kRoundUp = kMicrosecondsPerTick - 1;
    std::int64_t microseconds = 0;
    if (__builtin_mul_overflow(number, unit->microseconds, &microseconds) ||
        microseconds > std::numeric_limits<std::int64_t>::max() - kRoundUp) {
        return std::nullopt;
    }
    const Duration duration{(microseconds + kRoundUp) / kMicrosecondsPerTick};
    return duration <= kMaxDuration ? std::optional{duration} : std::nullopt;
}

std::string format_duration(Duration duration) {
    const std::int64_t microseconds = duration.count() * kMicrosecondsPerTick;
    if (microseconds == 0) {
        return "0s";
    }
    // The last unit divides every duration.
    const auto* const unit = std::find_if(
        kUnits.begin(), kUnits.end(),
        [microseconds](const Unit& known) { return microseconds % known.microseconds == 0; });
    return fmt::format("{}{}", microseconds / unit->microseconds, unit->name);
}

}  // namespace micaroad::operators
