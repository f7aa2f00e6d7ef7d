/// Validation of socket addresses in the operator's file.
#pragma once

#include <string>

namespace micaroad::operators {

/// Which hosts are allowed in a socket address.
enum class HostForm {
    address,      ///< an IPv4 address, or an IPv6 address in brackets
    any_allowed,  ///< the same, or "*" for any host
};

/// Whether `text` is host:port with a port from 1 to 65535.
[[nodiscard]] bool is_socket_address(const std::string& text, HostForm form);
/// Whether `text` is host:port with an IP address and a port from 0 to 65535; port 0 stands for any
/// free port.
[[nodiscard]] bool is_listening_address(const std::string& text);

}  // namespace micaroad::operators
