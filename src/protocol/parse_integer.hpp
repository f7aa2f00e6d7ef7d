/// Integers in text: the whole text is one number and nothing else.
#pragma once

#include <charconv>
#include <concepts>
#include <string_view>

namespace micaroad::protocol {

/// Parses `text` as one integer in `base`, without blanks or a plus sign.
/// Returns false, with `value` unchanged, if it is anything else or does not fit the type.
template <std::integral Integer>
[[nodiscard]] bool parse_integer(std::string_view text, Integer& value, int base = 10) {
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const std::from_chars_result result = std::from_chars(begin, end, value, base);
    return result.ec == std::errc{} && result.ptr == end;
}

}  // namespace micaroad::protocol
