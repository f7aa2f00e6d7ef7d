#include "operators/address.hpp"

#include <optional>
#include <string_view>

#include "protocol/parse_integer.hpp"
#include "routing/plan.hpp"

namespace micaroad::operators {
namespace {

constexpr int kMaxPort = 65'535;

}  // namespace

bool is_socket_address(const std::string& text, HostForm form) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    int port = 0;
    const std::string_view digits = std::string_view(text).substr(colon + 1);
    if (!protocol::parse_integer(digits, port) || port < 1 || port > kMaxPort) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (form == HostForm::any_allowed && host == "*") {
        return true;
    }
    const bool in_brackets = host.starts_with('[') && host.ends_with(']');
    if (in_brackets) {
        host = host.substr(1, host.size() - 2);
    }
    const std::optional<routing::Address> address = routing::parse_address(host);
    return address && address->v4 != in_brackets;
}

bool is_listening_address(const std::string& text) {
    std::string with_port = text;
    if (with_port.ends_with(":0")) {
        with_port.back() = '1';  // any valid port
    }
    return is_socket_address(with_port, HostForm::address);
}

}  // namespace micaroad::operators
