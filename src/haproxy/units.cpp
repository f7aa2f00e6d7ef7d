#include "haproxy/units.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "routing/network.hpp"

namespace micaroad::haproxy {

Or<std::int64_t> number_of(std::string_view text, std::int64_t least, std::int64_t most) {
    std::int64_t number = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = end == text.data() + text.size() && !text.empty();
    if (wrong == std::errc::result_out_of_range ||
        (wrong == std::errc{} && whole && (number < least || number > most))) {
        return {std::nullopt, fmt::format("'{}' is not from {} to {}", text, least, most)};
    }
    if (wrong != std::errc{} || !whole) {
        return {std::nullopt, fmt::format("'{}' is no whole number", text)};
    }
    return {number, ""};
}

Or<Duration> time_of(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (wrong == std::errc::result_out_of_range) {
        return {std::nullopt, fmt::format("'{}' is longer than a timer holds", text)};
    }
    if (wrong != std::errc{} || number < 0) {
        return {std::nullopt, fmt::format("'{}' is no time", text)};
    }
    const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    const std::int64_t micros = unit == "us"                   ? 1
                                : unit.empty() || unit == "ms" ? 1'000
                                : unit == "s"                  ? 1'000'000
                                : unit == "m"                  ? 60'000'000
                                : unit == "h"                  ? 3'600'000'000
                                : unit == "d"                  ? 86'400'000'000
                                                               : 0;
    if (micros == 0) {
        return {std::nullopt, fmt::format("'{}' has no unit of time: us, ms, s, m, h, d", text)};
    }
    constexpr std::int64_t kLongest = 2'147'483'647LL * 1'000;  // microseconds
    if (number > kLongest / micros) {
        return {std::nullopt,
                fmt::format("'{}' is longer than a timer holds (2147483647 ms)", text)};
    }
    return {Duration{(number * micros + 99) / 100}, ""};
}

std::string Endpoint::text() const {
    if (kind == Kind::any_host) {
        return fmt::format("*:{}", port);
    }
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port)
                                               : fmt::format("[{}]:{}", host, port);
}

Or<Endpoint> endpoint_of(std::string_view text) {
    const auto wrong = [&](const char* why) {
        return Or<Endpoint>{std::nullopt, fmt::format("'{}' {}", text, why)};
    };
    Endpoint endpoint;
    std::string_view rest = text;
    if (rest.starts_with("unix@") || rest.starts_with("abns@") || rest.starts_with('/')) {
        endpoint.kind = Endpoint::Kind::unix_path, endpoint.host = rest;
        return {endpoint, ""};
    }
    bool v4 = false, v6 = false;
    for (const std::string_view prefix : {"ipv4@", "ipv6@", "tcp@", "tcp4@", "tcp6@", "udp@", "fd@",
                                          "sockpair@", "quic4@", "quic6@", "rhttp@", "ip@"}) {
        if (!rest.starts_with(prefix)) {
            continue;
        }
        v4 = prefix == "ipv4@" || prefix == "tcp4@", v6 = prefix == "ipv6@" || prefix == "tcp6@";
        if (!v4 && !v6 && prefix != "tcp@" && prefix != "ip@") {
            endpoint.kind = Endpoint::Kind::other, endpoint.host = text;
            return {endpoint, ""};
        }
        rest.remove_prefix(prefix.size());
        break;
    }
    if (rest.empty()) {
        return wrong("is no address");
    }
    std::string_view host = rest, port;
    if (rest.starts_with('[')) {
        const auto close = rest.find(']');
        if (close == std::string_view::npos) {
            return wrong("lacks a ]");
        }
        host = rest.substr(1, close - 1);
        port = rest.substr(close + 1);
        if (!port.empty() && !port.starts_with(':')) {
            return wrong("has more behind its ]");
        }
        if (!port.empty()) {
            port.remove_prefix(1);
        }
    } else if (const auto colon = rest.rfind(':');
               colon != std::string_view::npos && !routing::address_of(rest)) {
        host = rest.substr(0, colon), port = rest.substr(colon + 1);
    }
    if (port.starts_with('+') || port.starts_with('-')) {
        const auto by = number_of(port.substr(1), 0, 65'535);
        if (!by) {
            return {std::nullopt, by.wrong};
        }
        endpoint.relative_port = true;
    } else if (!port.empty()) {
        const auto number = number_of(port, 1, 65'535);
        if (!number) {
            return {std::nullopt, "port " + number.wrong};
        }
        endpoint.port = static_cast<int>(*number);
    }
    endpoint.host = host;
    const auto address = routing::address_of(host);
    if (host.empty() || host == "*") {
        endpoint.kind = Endpoint::Kind::any_host;
    } else if (!address) {
        const bool name = std::all_of(host.begin(), host.end(), [](unsigned char c) {
            return std::isalnum(c) || c == '-' || c == '.' || c == '_';
        });
        if (!name) {
            return wrong("is no address");
        }
        endpoint.kind = Endpoint::Kind::needs_look_up;
    } else if ((v4 && !address->v4) || (v6 && address->v4)) {
        return wrong("is of the other family");
    }
    return {endpoint, ""};
}

}  // namespace micaroad::haproxy
