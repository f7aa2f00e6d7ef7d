// One connection of the watch, from its request to its end. Sources are in discovery_watch.cpp.
#include <utility>

#include "net/discovery_watch.hpp"
#include "protocol/http.hpp"

namespace micaroad::net {

using std::chrono::steady_clock;

namespace {

constexpr int kOk = 200;

// Keeps a connection's socket in the map of open ones, so that other threads can interrupt it.
class SocketRegistration {
 public:
    using Sockets = std::map<int, const Socket*>;

    SocketRegistration(std::mutex& mutex, Sockets& sockets, int generation, const Socket& socket)
        : mutex_(mutex), sockets_(sockets), generation_(generation) {
        const std::lock_guard lock(mutex_);
        sockets_[generation_] = &socket;
    }
    ~SocketRegistration() {
        const std::lock_guard lock(mutex_);
        sockets_.erase(generation_);
    }
    SocketRegistration(const SocketRegistration&) = delete;
    SocketRegistration& operator=(const SocketRegistration&) = delete;

 private:
    std::mutex& mutex_;
    Sockets& sockets_;
    const int generation_;
};

}  // namespace

/// The state of a response that is being read.
struct DiscoveryWatch::Response {
    protocol::HttpReader http;
    protocol::EndpointListParser lists;
    steady_clock::time_point last_line = steady_clock::now();
    bool line_received = false;  // since last_line was set
    bool superseded = false;     // further lines are ignored
    WatchPhase phase = WatchPhase::requested;

    [[nodiscard]] WatchEnd end(WatchEndCause cause) const { return {cause, phase}; }
};

WatchEnd DiscoveryWatch::connect_and_read(const Source& source, const Request& request) {
    Socket socket = Socket::unconnected(source.address);
    if (!socket.is_open()) {
        return {WatchEndCause::no_socket};
    }
    const SocketRegistration registration(mutex_, sockets_, source.generation, socket);
    if (is_interrupted(source, request.kind)) {
        return {WatchEndCause::interrupted};
    }
    reach(sync_, SyncPoint::watch_registered);
    if (!socket.connect(source.address, timeouts_.connect)) {
        return {WatchEndCause::not_connected};
    }
    reach(sync_, SyncPoint::watch_connected);
    // A shutdown before the socket was connected may have had no effect, so this checks for an
    // interruption again.
    if (is_interrupted(source, request.kind)) {
        return {WatchEndCause::interrupted};
    }
    socket.set_receive_timeout(timeouts_.idle);
    if (!socket.send_all(protocol::http_get(source.host, request.target))) {
        return {WatchEndCause::reset};
    }
    reach(sync_, SyncPoint::watch_requested);
    return read_response(source, request.kind, socket);
}

WatchEnd DiscoveryWatch::read_response(const Source& source, RequestKind kind,
                                       const Socket& socket) {
    const auto framing = kind == RequestKind::fetch ? protocol::EndpointListFraming::document
                                                    : protocol::EndpointListFraming::line;
    Response response{.http = {}, .lists = {names_, framing, max_list_bytes_}};
    const protocol::BufferPool::Lease buffer = pool_.take();
    if (!buffer) {
        return response.end(WatchEndCause::no_buffer);
    }
    for (;;) {
        const ssize_t received = socket.receive(buffer->data(), buffer->size());
        if (received == Socket::kTimedOut) {
            return response.end(WatchEndCause::idle_timeout);
        }
        if (received == Socket::kFailed) {
            return response.end(WatchEndCause::reset);
        }
        if (received == Socket::kEndOfStream && !response.http.end()) {
            return response.end(WatchEndCause::peer_closed);
        }
        const std::string_view bytes(buffer->data(), static_cast<std::size_t>(received));
        if (const auto end = handle_bytes(source, response, bytes)) {
            return *end;
        }
        const auto now = steady_clock::now();
        if (std::exchange(response.line_received, false)) {
            response.last_line = now;
        }
        if (now - response.last_line > line_timeout(response.lists.size())) {
            return response.end(WatchEndCause::line_overdue);
        }
    }
}

// Handles received bytes. Returns the end of the connection, or nothing while the response
// continues.
std::optional<WatchEnd> DiscoveryWatch::handle_bytes(const Source& source, Response& response,
                                                     std::string_view bytes) {
    using protocol::EndpointListError;
    auto error = EndpointListError::none;
    // Called with mutex_ held, so it does not read the clock.
    const auto take_line = [&](std::optional<protocol::EndpointListMessage> message) {
        response.line_received = true;
        if (response.superseded) {
            return;
        }
        if (accept_line(source, std::move(message))) {
            response.phase = WatchPhase::following;
        } else {
            response.superseded = true;
        }
    };
    const auto take_body = [&](std::string_view body) {
        if (response.http.status() != kOk || error != EndpointListError::none) {
            return;
        }
        const std::lock_guard lock(mutex_);
        error = response.lists.feed(body, take_line);
    };
    const bool well_formed = response.http.feed(bytes, take_body);
    if (response.http.in_body() && response.http.status() != kOk) {
        WatchEnd end = response.end(WatchEndCause::bad_status);
        end.http_status = response.http.status();
        return end;
    }
    if (!well_formed) {
        return response.end(WatchEndCause::malformed_response);
    }
    if (response.http.done() && error == EndpointListError::none) {
        const std::lock_guard lock(mutex_);
        error = response.lists.finish(take_line);
    }
    if (error == EndpointListError::too_long) {
        WatchEnd end = response.end(WatchEndCause::list_too_long);
        end.max_list_bytes = max_list_bytes_;
        return end;
    }
    if (error == EndpointListError::malformed) {
        return response.end(WatchEndCause::malformed_list);
    }
    if (response.superseded) {
        return response.end(WatchEndCause::interrupted);
    }
    if (response.http.done()) {
        return response.end(WatchEndCause::response_complete);
    }
    return std::nullopt;
}

std::chrono::milliseconds DiscoveryWatch::line_timeout(std::size_t list_size) const {
    return timeouts_.line +
           std::chrono::milliseconds{1'000 * list_size / WatchTimeouts::kMinListBytesPerSecond};
}

}  // namespace micaroad::net
