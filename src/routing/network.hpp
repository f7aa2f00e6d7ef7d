/// IPv4 and IPv6 addresses and networks. Both are stored in sixteen bytes, IPv4 in the mapped form
/// of RFC 4291, section 2.5.5.2.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace micaroad::routing {

struct Address {
    std::array<std::uint8_t, 16> bytes{};  ///< in network byte order
    bool v4 = true;                        ///< whether it was written as IPv4

    auto operator<=>(const Address&) const = default;
    [[nodiscard]] std::string text() const;
};

/// Parses "10.1.2.3" or "::1", without port or brackets; absent for anything else.
[[nodiscard]] std::optional<Address> parse_address(std::string_view text);

struct Network {
    Address base;  ///< the bits past the prefix are 0
    int bits = 0;  ///< prefix length in the sixteen bytes; for IPv4, 96 more than written

    [[nodiscard]] bool contains(const Address& address) const;
    [[nodiscard]] std::string text() const;
    auto operator<=>(const Network&) const = default;
};

/// Parses "10.0.0.0/8", "10.0.0.0/255.0.0.0" or a single address; absent for anything else. Clears
/// the address bits past the prefix.
[[nodiscard]] std::optional<Network> parse_network(std::string_view text);

}  // namespace micaroad::routing
