#include "routing/network.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <charconv>

namespace micaroad::routing {
namespace {

constexpr int kV4Starts = 12;  // the byte

void clear_past(Address& address, int bits) {
    for (int i = 0; i < 16; ++i) {
        const int kept = std::clamp(bits - 8 * i, 0, 8);
        address.bytes[i] &= static_cast<std::uint8_t>(0xff << (8 - kept));
    }
}

}  // namespace

std::optional<Address> address_of(std::string_view text) {
    const std::string word(text);
    Address address;
    if (inet_pton(AF_INET, word.c_str(), address.bytes.data() + kV4Starts) == 1) {
        address.bytes[10] = address.bytes[11] = 0xff;
        return address;
    }
    address.v4 = false;
    if (inet_pton(AF_INET6, word.c_str(), address.bytes.data()) != 1) {
        return std::nullopt;
    }
    return address;
}

std::string Address::text() const {
    char text[INET6_ADDRSTRLEN] = "";
    inet_ntop(v4 ? AF_INET : AF_INET6, bytes.data() + (v4 ? kV4Starts : 0), text, sizeof text);
    return text;
}

bool Network::holds(const Address& address) const {
    if (address.v4 != base.v4) {
        return false;
    }
    Address cut = address;
    clear_past(cut, bits);
    return cut.bytes == base.bytes;
}

std::string Network::text() const {
    return base.text() + "/" + std::to_string(bits - (base.v4 ? 8 * kV4Starts : 0));
}

std::optional<Network> network_of(std::string_view text) {
    const auto slash = text.find('/');
    const auto base = address_of(text.substr(0, slash));
    if (!base) {
        return std::nullopt;
    }
    const int first = base->v4 ? 8 * kV4Starts : 0;
    Network network{*base, 128};
    if (slash != std::string_view::npos) {
        const std::string_view mask = text.substr(slash + 1);
        int bits = 0;
        const auto [end, wrong] = std::from_chars(mask.data(), mask.data() + mask.size(), bits);
        if (wrong == std::errc{} && end == mask.data() + mask.size()) {
            if (bits < 0 || bits > 128 - first) {
                return std::nullopt;
            }
            network.bits = first + bits;
        } else {  // 255.0.0.0
            const auto dotted = base->v4 ? address_of(mask) : std::nullopt;
            if (!dotted || !dotted->v4) {
                return std::nullopt;
            }
            std::uint32_t value = 0;
            for (int i = kV4Starts; i < 16; ++i) {
                value = value << 8 | dotted->bytes[i];
            }
            if (std::popcount(value) != std::countl_one(value)) {
                return std::nullopt;
            }
            network.bits = first + std::popcount(value);
        }
    }
    clear_past(network.base, network.bits);
    return network;
}

}  // namespace micaroad::routing
