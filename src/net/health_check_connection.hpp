/// The connection of one health check.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string_view>

#include "net/active_sockets.hpp"
#include "net/socket.hpp"
#include "planner/sync_points.hpp"

namespace micaroad::net {

/// How much of a response has to come before its status counts.
enum class ResponsePart { status_line, headers };

/// Connects to an endpoint and, if the check asks for it, reads the status of an HTTP response.
/// Owns its socket, which is listed in `sockets` for as long: stopping these ends every wait here
/// early, as failed. For one thread; each function is to be called once, in this order.
class HealthCheckConnection {
 public:
    /// `sync`, with its two points around the connecting, is for tests; absent in service.
    HealthCheckConnection(ActiveSockets& sockets, const Address& address,
                          SyncPoints* sync = nullptr);

    /// False if there is no connection within `timeout`, or the check was stopped.
    [[nodiscard]] bool connect(std::chrono::milliseconds timeout);
    /// Sends a request; each later receive waits `receive_timeout` at most. False on a fault.
    [[nodiscard]] bool send(std::string_view request, std::chrono::milliseconds receive_timeout);
    /// Gives the status of the response once `awaited` has come; absent if the peer ended, what it
    /// sent is no HTTP, a receive timed out, or `deadline` passed. A receive that began before the
    /// deadline may go on after it. What is read goes through `buffer`; a body is dropped.
    [[nodiscard]] std::optional<int> receive_status(std::span<char> buffer, ResponsePart awaited,
                                                    std::chrono::steady_clock::time_point deadline);

 private:
    ActiveSockets& sockets_;
    const Address address_;
    SyncPoints* const sync_;
    const Socket socket_;
    const ActiveSockets::Registration registration_;  // last: it goes before its socket
};

}  // namespace micaroad::net
