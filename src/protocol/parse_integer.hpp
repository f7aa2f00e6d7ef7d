// A text that is one number and nothing else.
#pragma once

#include <charconv>
#include <string_view>

namespace micaroad::protocol {

template <class Number, class... Base>
bool parse_integer(std::string_view text, Number& value, Base... base) {
    const char* const end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value, base...);
    return error == std::errc{} && at == end;
}

}  // namespace micaroad::protocol
