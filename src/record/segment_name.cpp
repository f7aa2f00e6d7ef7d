#include "record/segment_name.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace micaroad::record {
namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexadecimal = 16;
constexpr std::string_view kSuffix = ".mrec";

}  // namespace

std::string segment_name(std::uint64_t first_sequence) {
    return fmt::format("{:016x}{}", first_sequence, kSuffix);
}

std::optional<std::uint64_t> parse_segment_name(std::string_view name) {
    const std::string_view digits = name.substr(0, kDigits);
    std::uint64_t first_sequence = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), first_sequence, kHexadecimal);
    const bool all_digits = digits.size() == kDigits && parsed.ec == std::errc{} &&
                            parsed.ptr == digits.data() + digits.size();
    if (!all_digits || name.substr(kDigits) != kSuffix) {
        return std::nullopt;
    }
    return first_sequence;
}

}  // namespace micaroad::record
