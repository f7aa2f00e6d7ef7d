/// Decimal numbers in text: the whole text is one number and nothing else.
#pragma once

#include <charconv>
#include <string_view>

namespace micaroad::protocol {

/// Parses `text` as one decimal number, without blanks or a plus sign; "nan" and "inf" are numbers.
/// Returns false, with `value` unchanged, if it is anything else or out of the range of a double.
[[nodiscard]] inline bool parse_decimal(std::string_view text, double& value) {
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const std::from_chars_result result = std::from_chars(begin, end, value);
    return result.ec == std::errc{} && result.ptr == end;
}

}  // namespace micaroad::protocol
