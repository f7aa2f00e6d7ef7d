#include "operators/duration.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace micaroad::operators {
namespace {

constexpr std::array<std::pair<std::string_view, std::int64_t>, 6> kUnits{{{"d", 86'400'000'000},
                                                                           {"h", 3'600'000'000},
                                                                           {"m", 60'000'000},
                                                                           {"s", 1'000'000},
                                                                           {"ms", 1'000},
                                                                           {"us", 1}}};

}  // namespace

std::optional<Duration> duration_of(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (wrong != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& [name, micros] : kUnits) {
        if (unit != name) {
            continue;
        }
        std::int64_t sum = 0;
        if (__builtin_mul_overflow(number, micros, &sum) || sum > INT64_MAX - 99) {
            return std::nullopt;
        }
        const Duration span{(sum + 99) / 100};
        return span <= kLongestDuration ? std::optional{span} : std::nullopt;
    }
    return std::nullopt;
}

std::string text_of(Duration duration) {
    const std::int64_t micros = duration.count() * 100;
    for (const auto& [name, unit] : kUnits) {
        if (micros % unit == 0 && micros != 0) {
            return fmt::format("{}{}", micros / unit, name);
        }
    }
    return "0s";
}

}  // namespace micaroad::operators
