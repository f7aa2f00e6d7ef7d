// Addresses and networks of IPv4 and IPv6, both held in sixteen bytes (RFC 4291's mapped form for
// IPv4).
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace micaroad::routing {

struct Address {
    std::array<std::uint8_t, 16> bytes{};
    bool v4 = true;
    auto operator<=>(const Address&) const = default;
    std::string text() const;
};

// "10.1.2.3" or "::1", without port or brackets; absent where it is neither.
std::optional<Address> address_of(std::string_view text);

struct Network {
    Address base;
    int bits = 0;  // of the whole sixteen bytes: 96 more than written for IPv4
    bool holds(const Address& address) const;
    std::string text() const;
    auto operator<=>(const Network&) const = default;
};

// "10.0.0.0/8", "10.0.0.0/255.0.0.0" or a single address. Bits of the base past the mask are
// cleared.
std::optional<Network> network_of(std::string_view text);

}  // namespace micaroad::routing
