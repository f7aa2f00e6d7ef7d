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

/// The part of a response that must be received before its status is used.
enum class ResponsePart { status_line, headers };

/// Connects to an endpoint and, if the check needs it, reads the status of an HTTP response. Owns
/// its socket, which stays registered in `sockets`: stopping these makes a blocked call fail at
/// once. For one thread; each function is called once, in the order below.
class HealthCheckConnection {
 public:
    /// `sync`, with one point before and one after connecting, is for tests; null in production.
    HealthCheckConnection(ActiveSockets& sockets, const Address& address,
                          SyncPoints* sync = nullptr);

    /// Connects. Returns false on an error, after `timeout`, or if the check was stopped.
    [[nodiscard]] bool connect(std::chrono::milliseconds timeout);
    /// Sends a request and limits each later receive to `receive_timeout`. Returns false on an
    /// error.
    [[nodiscard]] bool send(std::string_view request, std::chrono::milliseconds receive_timeout);
    /// Returns the status of the response once `awaited` was received. Absent if the peer closed
    /// the connection, its response is not valid HTTP, a receive timed out, or `deadline` passed. A
    /// receive that began before the deadline may continue after it. `buffer` holds the received
    /// bytes; a body is dropped.
    [[nodiscard]] std::optional<int> receive_status(std::span<char> buffer, ResponsePart awaited,
                                                    std::chrono::steady_clock::time_point deadline);

 private:
    ActiveSockets& sockets_;
    const Address address_;
    SyncPoints* const sync_;
    const Socket socket_;
    const ActiveSockets::Registration registration_;  // last member: destroyed before its socket
};

}  // namespace micaroad::net
