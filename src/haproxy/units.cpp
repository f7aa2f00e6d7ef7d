#include "haproxy/units.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <tl/expected.hpp>
#include <utility>

#include "routing/network.hpp"

namespace micaroad::haproxy {

namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxTimeMs = 2'147'483'647;  // HAProxy's limit

// A prefix of an address that names its family or transport.
struct AddressPrefix {
    enum class Meaning { any_family, ipv4, ipv6, other_transport };
    std::string_view text;
    Meaning meaning;
};

using Meaning = AddressPrefix::Meaning;

constexpr std::array kAddressPrefixes{
    AddressPrefix{"ipv4@", Meaning::ipv4},
    AddressPrefix{"ipv6@", Meaning::ipv6},
    AddressPrefix{"tcp@", Meaning::any_family},
    AddressPrefix{"tcp4@", Meaning::ipv4},
    AddressPrefix{"tcp6@", Meaning::ipv6},
    AddressPrefix{"udp@", Meaning::other_transport},
    AddressPrefix{"fd@", Meaning::other_transport},
    AddressPrefix{"sockpair@", Meaning::other_transport},
    AddressPrefix{"quic4@", Meaning::other_transport},
    AddressPrefix{"quic6@", Meaning::other_transport},
    AddressPrefix{"rhttp@", Meaning::other_transport},
    AddressPrefix{"ip@", Meaning::any_family},
};

template <class T>
Parsed<T> failure(std::string message) {
    return {std::nullopt, std::move(message)};
}

Parsed<Endpoint> bad_endpoint(std::string_view text, std::string_view reason) {
    return failure<Endpoint>(fmt::format("'{}' {}", text, reason));
}

// Returns the number of microseconds in a unit of time. No unit means milliseconds.
std::optional<std::int64_t> microseconds_in(std::string_view unit) {
    if (unit == "us") {
        return 1;
    }
    if (unit.empty() || unit == "ms") {
        return 1'000;
    }
    if (unit == "s") {
        return 1'000'000;
    }
    if (unit == "m") {
        return 60'000'000;
    }
    if (unit == "h") {
        return 3'600'000'000;
    }
    if (unit == "d") {
        return 86'400'000'000;
    }
    return std::nullopt;
}

const AddressPrefix* prefix_of(std::string_view text) {
    const auto* const found =
        std::find_if(kAddressPrefixes.begin(), kAddressPrefixes.end(),
                     [text](const AddressPrefix& prefix) { return text.starts_with(prefix.text); });
    return found == kAddressPrefixes.end() ? nullptr : found;
}

bool is_unix_path(std::string_view text) {
    return text.starts_with("unix@") || text.starts_with("abns@") || text.starts_with('/');
}

bool is_host_name(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '.' ||
               character == '_';
    });
}

// The two parts of an address, not yet parsed.
struct HostAndPort {
    std::string_view host;
    std::string_view port;  // empty if there is none
};

// Splits "HOST:PORT", "[HOST]:PORT" or "HOST". An IPv6 address without brackets has no port.
tl::expected<HostAndPort, std::string_view> split_host_and_port(std::string_view text) {
    if (!text.starts_with('[')) {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos || routing::parse_address(text)) {
            return HostAndPort{text, {}};
        }
        return HostAndPort{text.substr(0, colon), text.substr(colon + 1)};
    }
    const std::size_t close = text.find(']');
    if (close == std::string_view::npos) {
        return tl::make_unexpected(std::string_view{"lacks a ]"});
    }
    std::string_view port = text.substr(close + 1);
    if (!port.empty() && !port.starts_with(':')) {
        return tl::make_unexpected(std::string_view{"has extra text after its ]"});
    }
    if (!port.empty()) {
        port.remove_prefix(1);
    }
    return HostAndPort{text.substr(1, close - 1), port};
}

struct PortError {
    std::string message;
};

// Parses a port or a port offset into the endpoint. An empty text leaves it without a port.
tl::expected<void, PortError> parse_port(std::string_view text, Endpoint& endpoint) {
    if (text.starts_with('+') || text.starts_with('-')) {
        const auto offset = parse_number(text.substr(1), 0, kMaxPort);
        if (!offset) {
            return tl::make_unexpected(PortError{offset.error});
        }
        endpoint.relative_port = true;
        return {};
    }
    if (text.empty()) {
        return {};
    }
    const auto number = parse_number(text, 1, kMaxPort);
    if (!number) {
        return tl::make_unexpected(PortError{"port " + number.error});
    }
    endpoint.port = static_cast<int>(*number);
    return {};
}

// Classifies a host, or returns why it is invalid.
tl::expected<Endpoint::Kind, std::string_view> kind_of_host(std::string_view host,
                                                            Meaning meaning) {
    if (host.empty() || host == "*") {
        return Endpoint::Kind::any_host;
    }
    const auto address = routing::parse_address(host);
    if (!address) {
        if (!is_host_name(host)) {
            return tl::make_unexpected(std::string_view{"is not an address"});
        }
        return Endpoint::Kind::needs_look_up;
    }
    const bool is_other_family =
        (meaning == Meaning::ipv4 && !address->v4) || (meaning == Meaning::ipv6 && address->v4);
    if (is_other_family) {
        return tl::make_unexpected(std::string_view{"is of the wrong address family"});
    }
    return Endpoint::Kind::literal;
}

}  // namespace

Parsed<std::int64_t> parse_number(std::string_view text, std::int64_t min, std::int64_t max) {
    std::int64_t number = 0;
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const auto parsed = std::from_chars(begin, end, number);
    const bool is_whole = parsed.ptr == end && !text.empty();
    const bool overflows = parsed.ec == std::errc::result_out_of_range;
    const bool is_number = parsed.ec == std::errc{} && is_whole;
    if (overflows || (is_number && (number < min || number > max))) {
        return failure<std::int64_t>(fmt::format("'{}' is not from {} to {}", text, min, max));
    }
    if (!is_number) {
        return failure<std::int64_t>(fmt::format("'{}' is not a whole number", text));
    }
    return {number, ""};
}

Parsed<Duration> parse_time(std::string_view text) {
    std::int64_t number = 0;
    const char* const begin = text.data();
    const auto parsed = std::from_chars(begin, begin + text.size(), number);
    if (parsed.ec == std::errc::result_out_of_range) {
        return failure<Duration>(fmt::format("'{}' is longer than a timer holds", text));
    }
    if (parsed.ec != std::errc{} || number < 0) {
        return failure<Duration>(fmt::format("'{}' is not a time", text));
    }
    const auto unit_start = static_cast<std::size_t>(parsed.ptr - begin);
    const auto unit = microseconds_in(text.substr(unit_start));
    if (!unit) {
        return failure<Duration>(fmt::format("'{}' has no unit of time: us, ms, s, m, h, d", text));
    }
    constexpr std::int64_t kMaxTimeUs = kMaxTimeMs * 1'000;
    if (number > kMaxTimeUs / *unit) {
        return failure<Duration>(
            fmt::format("'{}' is longer than a timer holds ({} ms)", text, kMaxTimeMs));
    }
    // A Duration counts tenths of a millisecond.
    constexpr std::int64_t kMicrosecondsPerTick = 100;
    const std::int64_t ticks = (number * *unit + kMicrosecondsPerTick - 1) / kMicrosecondsPerTick;
    return {Duration{ticks}, ""};
}

std::string Endpoint::text() const {
    if (kind == Kind::any_host) {
        return fmt::format("*:{}", port);
    }
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port)
                                               : fmt::format("[{}]:{}", host, port);
}

Parsed<Endpoint> parse_endpoint(std::string_view text) {
    Endpoint endpoint;
    if (is_unix_path(text)) {
        endpoint.kind = Endpoint::Kind::unix_path;
        endpoint.host = text;
        return {endpoint, ""};
    }
    std::string_view address = text;
    Meaning meaning = Meaning::any_family;
    if (const AddressPrefix* const prefix = prefix_of(text)) {
        meaning = prefix->meaning;
        address.remove_prefix(prefix->text.size());
    }
    if (meaning == Meaning::other_transport) {
        endpoint.kind = Endpoint::Kind::other;
        endpoint.host = text;
        return {endpoint, ""};
    }
    if (address.empty()) {
        return bad_endpoint(text, "is not an address");
    }
    const auto parts = split_host_and_port(address);
    if (!parts) {
        return bad_endpoint(text, parts.error());
    }
    const auto port = parse_port(parts->port, endpoint);
    if (!port) {
        return failure<Endpoint>(port.error().message);
    }
    const auto kind = kind_of_host(parts->host, meaning);
    if (!kind) {
        return bad_endpoint(text, kind.error());
    }
    endpoint.kind = *kind;
    endpoint.host = parts->host;
    return {endpoint, ""};
}

}  // namespace micaroad::haproxy
