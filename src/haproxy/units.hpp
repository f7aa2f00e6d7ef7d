/// @file
/// Numbers, times and addresses as the configuration writes them. Each function tells what is wrong
/// with its text in words; none wraps a value that is too large.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "micaroad/types.hpp"

namespace micaroad::haproxy {

/// A value, or what is wrong with the text that should have held it.
template <class T>
struct [[nodiscard]] Parsed {
    std::optional<T> value;
    std::string error;  ///< empty if there is a value

    explicit operator bool() const { return value.has_value(); }
    /// Only where there is a value.
    const T& operator*() const {
        return *value;  // NOLINT(bugprone-unchecked-optional-access): the caller's to check
    }
    /// Only where there is a value.
    const T* operator->() const { return &**this; }
};

/// A whole number from `least` to `most`.
Parsed<std::int64_t> parse_number(std::string_view text, std::int64_t least, std::int64_t most);

/// A time in us, ms, s, m, h or d, in milliseconds where no unit stands. At most 2,147,483,647 ms,
/// as in HAProxy; rounded up to a tenth of a millisecond.
Parsed<Duration> parse_time(std::string_view text);

/// An address with its port.
struct Endpoint {
    enum class Kind {
        literal,        ///< an IP address
        any_host,       ///< "*" or no host at all
        needs_look_up,  ///< a host name
        unix_path,      ///< a socket in the file system or the abstract namespace
        other           ///< a transport that is not supported here, such as "udp@"
    };

    Kind kind = Kind::literal;
    std::string host;            ///< without brackets; the whole text of unix_path and other
    int port = 0;                ///< 0: none given
    bool relative_port = false;  ///< "+100" or "-100": an offset to the client's port

    /// "10.0.0.1:80", "[::1]:80", "*:80".
    [[nodiscard]] std::string text() const;
};

/// An address as `bind` and `server` lines write it. No name is looked up.
Parsed<Endpoint> parse_endpoint(std::string_view text);

}  // namespace micaroad::haproxy
