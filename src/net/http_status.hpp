/// The status of an HTTP response, as a health check needs it.
#pragma once

#include <chrono>
#include <optional>
#include <span>

#include "net/socket.hpp"

namespace micaroad::net {

/// How much of a response has to come before its status counts.
enum class ResponsePart { status_line, headers };

/// Reads from a socket that a request was sent on. Gives the status once `awaited` has come; absent
/// if the peer ended, what it sent is no HTTP, a receive took longer than the socket's timeout, or
/// `deadline` passed. A receive that began before the deadline may go on after it. What is read
/// goes through `buffer`; the body is dropped.
[[nodiscard]] std::optional<int> receive_http_status(
    const Socket& socket, std::span<char> buffer, ResponsePart awaited,
    std::chrono::steady_clock::time_point deadline);

}  // namespace micaroad::net
