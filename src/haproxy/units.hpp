// Numbers, times and addresses as the format writes them. Each tells what is wrong in words, never
// by a wrapped value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "micaroad/types.hpp"

namespace micaroad::haproxy {

// A value or what is wrong with the text.
template <class T>
struct Or {
    std::optional<T> value;
    std::string wrong;
    explicit operator bool() const { return value.has_value(); }
    const T& operator*() const { return *value; }
    const T* operator->() const { return &*value; }
};

Or<std::int64_t> number_of(std::string_view text, std::int64_t least, std::int64_t most);

// us, ms, s, m, h, d; milliseconds where no unit stands. At most 2,147,483,647 ms, as in the
// original; rounded up to a tenth of a millisecond.
Or<Duration> time_of(std::string_view text);

struct Endpoint {
    enum class Kind { literal, any_host, needs_look_up, unix_path, other } kind = Kind::literal;
    std::string host;            // without brackets
    int port = 0;                // 0: none given
    bool relative_port = false;  // "+100" or "-100": the client's port and so much more
    std::string text() const;    // "10.0.0.1:80", "[::1]:80", "*:80"
};
Or<Endpoint> endpoint_of(std::string_view text);

}  // namespace micaroad::haproxy
