/// @file
/// Parses numbers, times and addresses of a configuration. Invalid text results in an error
/// message; values that are too large are rejected, never wrapped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "micaroad/types.hpp"

namespace micaroad::haproxy {

/// A parsed value, or an error message.
template <class T>
struct [[nodiscard]] Parsed {
    std::optional<T> value;
    std::string error;  ///< empty if there is a value

    explicit operator bool() const { return value.has_value(); }
    /// The value must be present.
    const T& operator*() const {
        return *value;  // NOLINT(bugprone-unchecked-optional-access): checked by the caller
    }
    /// The value must be present.
    const T* operator->() const { return &**this; }
};

/// Parses a whole number from `min` to `max`.
Parsed<std::int64_t> parse_number(std::string_view text, std::int64_t min, std::int64_t max);

/// Parses a time in us, ms, s, m, h or d; without a unit it is in milliseconds. The maximum is
/// 2,147,483,647 ms, as in HAProxy. The result is rounded up to a tenth of a millisecond.
Parsed<Duration> parse_time(std::string_view text);

/// An address with a port.
struct Endpoint {
    enum class Kind {
        literal,        ///< an IP address
        any_host,       ///< "*" or no host
        needs_look_up,  ///< a host name, which the importer does not resolve
        unix_path,      ///< a socket in the file system or the abstract namespace
        other           ///< a transport that is not supported here, such as "udp@"
    };

    Kind kind = Kind::literal;
    std::string host;            ///< without brackets; for unix_path and other, the whole text
    int port = 0;                ///< 0 if none is given
    bool relative_port = false;  ///< "+100" or "-100", an offset from the client's port

    /// Formats the endpoint as "10.0.0.1:80", "[::1]:80" or "*:80".
    [[nodiscard]] std::string text() const;
};

/// Parses the address of a `bind` or `server` line. Host names are not resolved.
Parsed<Endpoint> parse_endpoint(std::string_view text);

}  // namespace micaroad::haproxy
