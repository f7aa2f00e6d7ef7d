#include "net/health_check_connection.hpp"

#include "protocol/http.hpp"

namespace micaroad::net {

namespace {

bool is_received(const protocol::HttpReader& http, ResponsePart part) {
    return part == ResponsePart::status_line ? http.status() != 0 : http.in_body();
}

}  // namespace

HealthCheckConnection::HealthCheckConnection(ActiveSockets& sockets, const Address& address,
                                             SyncPoints* sync)
    : sockets_(sockets),
      address_(address),
      sync_(sync),
      socket_(Socket::unconnected(address)),
      registration_(sockets, socket_) {}

bool HealthCheckConnection::connect(std::chrono::milliseconds timeout) {
    if (!socket_.is_open() || !registration_.registered()) {
        return false;
    }
    reach(sync_, SyncPoint::health_check_registered);
    if (!socket_.connect(address_, timeout)) {
        return false;
    }
    reach(sync_, SyncPoint::health_check_connected);
    // A shutdown before the socket was connected may have had no effect.
    return !sockets_.stopped();
}

bool HealthCheckConnection::send(std::string_view request,
                                 std::chrono::milliseconds receive_timeout) {
    socket_.set_receive_timeout(receive_timeout);
    return socket_.send_all(request);
}

std::optional<int> HealthCheckConnection::receive_status(
    std::span<char> buffer, ResponsePart awaited, std::chrono::steady_clock::time_point deadline) {
    protocol::HttpReader http;
    while (!is_received(http, awaited)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        const ssize_t received = socket_.receive(buffer.data(), buffer.size());
        if (received <= 0) {
            return std::nullopt;
        }
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(received));
        if (!http.feed(bytes, [](std::string_view /*body*/) {})) {
            return std::nullopt;
        }
    }
    return http.status();
}

}  // namespace micaroad::net
