#include "routing/network.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <charconv>

namespace micaroad::routing {
namespace {

constexpr int kBitsPerByte = 8;
constexpr int kAddressBytes = 16;
constexpr int kAddressBits = kAddressBytes * kBitsPerByte;
constexpr std::uint8_t kAllBits = 0xff;
// In the mapped form of an IPv4 address: the index of its first byte, and the number of bits before
// it.
constexpr int kV4Begin = 12;
constexpr int kV4PrefixBits = kV4Begin * kBitsPerByte;

int written_prefix_offset(const Address& address) {
    return address.v4 ? kV4PrefixBits : 0;
}

void clear_bits_past(Address& address, int bits) {
    for (int i = 0; i < kAddressBytes; ++i) {
        const int kept = std::clamp(bits - kBitsPerByte * i, 0, kBitsPerByte);
        address.bytes[i] &= static_cast<std::uint8_t>(kAllBits << (kBitsPerByte - kept));
    }
}

std::optional<int> parse_prefix_length(std::string_view text) {
    int length = 0;
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const std::from_chars_result parsed = std::from_chars(begin, end, length);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return length;
}

// The prefix length of a mask such as 255.0.0.0; absent if its one bits are not all leading.
std::optional<int> parse_dotted_mask(std::string_view text) {
    const std::optional<Address> mask = parse_address(text);
    if (!mask || !mask->v4) {
        return std::nullopt;
    }
    std::uint32_t value = 0;
    for (int i = kV4Begin; i < kAddressBytes; ++i) {
        value = value << kBitsPerByte | mask->bytes[i];
    }
    if (std::popcount(value) != std::countl_one(value)) {
        return std::nullopt;
    }
    return std::popcount(value);
}

// The prefix length written after the slash, as a number or, for IPv4, as a mask.
std::optional<int> parse_mask(const Address& base, std::string_view text) {
    if (const std::optional<int> length = parse_prefix_length(text)) {
        const int longest = kAddressBits - written_prefix_offset(base);
        return *length >= 0 && *length <= longest ? length : std::nullopt;
    }
    return base.v4 ? parse_dotted_mask(text) : std::nullopt;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
    const std::string terminated(text);
    Address address;
    if (inet_pton(AF_INET, terminated.c_str(), address.bytes.data() + kV4Begin) == 1) {
        address.bytes[kV4Begin - 2] = kAllBits;
        address.bytes[kV4Begin - 1] = kAllBits;
        return address;
    }
    address.v4 = false;
    if (inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) != 1) {
        return std::nullopt;
    }
    return address;
}

std::string Address::text() const {
    std::array<char, INET6_ADDRSTRLEN> buffer{};
    inet_ntop(v4 ? AF_INET : AF_INET6, bytes.data() + (v4 ? kV4Begin : 0), buffer.data(),
              buffer.size());
    return buffer.data();
}

bool Network::contains(const Address& address) const {
    if (address.v4 != base.v4) {
        return false;
    }
    Address masked = address;
    clear_bits_past(masked, bits);
    return masked.bytes == base.bytes;
}

std::string Network::text() const {
    return base.text() + "/" + std::to_string(bits - written_prefix_offset(base));
}

std::optional<Network> parse_network(std::string_view text) {
    const std::size_t slash = text.find('/');
    const std::optional<Address> base = parse_address(text.substr(0, slash));
    if (!base) {
        return std::nullopt;
    }
    Network network{.base = *base, .bits = kAddressBits};
    if (slash != std::string_view::npos) {
        const std::optional<int> length = parse_mask(*base, text.substr(slash + 1));
        if (!length) {
            return std::nullopt;
        }
        network.bits = written_prefix_offset(*base) + *length;
    }
    clear_bits_past(network.base, network.bits);
    return network;
}

}  // namespace micaroad::routing
