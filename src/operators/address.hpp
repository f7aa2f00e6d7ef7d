/// Addresses of the operator's file.
#pragma once

#include <string>

namespace micaroad::operators {

/// What may stand where the host belongs.
enum class HostForm {
    address,      ///< an IPv4 address, or an IPv6 address in brackets
    any_allowed,  ///< the same, or "*" for any host
};

/// Whether `text` is host:port with a port from 1 to 65535.
[[nodiscard]] bool is_socket_address(const std::string& text, HostForm form);
/// Whether `text` is such an address or has port 0, for any port that is free.
[[nodiscard]] bool is_listening_address(const std::string& text);

}  // namespace micaroad::operators
