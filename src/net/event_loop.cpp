#include "net/event_loop.hpp"

#include <algorithm>
#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

EventLoop::EventLoop(ConnectionContext& context, std::function<void(StreamId)> on_closed)
    : context_(context), on_closed_(std::move(on_closed)) {}

// Inserts the connection before the poller watches it, so that its first event finds it.
bool EventLoop::add(const std::shared_ptr<Connection>& connection) {
    const StreamId id = connection->id();
    const auto deadline = connection->deadline();
    connection->attach(poller_);
    {
        const std::lock_guard lock(mutex_);
        connections_[id] = connection;
        if (deadline) {
            deadlines_.emplace(*deadline, id);
        }
    }
    reach(context_.sync, SyncPoint::connection_listed);
    if (connection->watch()) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(id);
    return false;
}

void EventLoop::run() {
    const protocol::BufferPool::Lease lease = context_.read_buffers.take();
    if (!lease) {
        context_.log.error("connection: event loop not started reason=\"no read buffer\"");
        return;
    }
    const std::span<char> buffer(*lease);
    Poller::Ready ready[Poller::kMaxEvents];
    while (!stopping_) {
        const int count = poller_.wait(ready, wait_milliseconds());
        for (int i = 0; i < count && !stopping_; ++i) {
            free_line_buffers();
            if (const auto connection = find(StreamId{ready[i].token})) {
                serve(connection, ready[i].events, buffer);
            }
        }
        serve_overdue(buffer);
    }
}

std::shared_ptr<Connection> EventLoop::find(StreamId id) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(id);
    return at == connections_.end() ? nullptr : at->second;
}

// Closes the connections with the longest unfinished lines until the next read has enough buffers,
// so that peers with short lines lose none. A peer may stop in the middle of a line of 1 MiB.
void EventLoop::free_line_buffers() {
    while (context_.line_buffers.available() < kLineBuffersPerRead) {
        const auto holder = holder_of_longest_line();
        if (!holder) {
            return;
        }
        context_.log.warn("connection: peer shed peer={} unfinished_line_bytes={}", holder->peer(),
                          holder->unfinished_line_bytes());
        close(holder, {CloseCause::longest_line, {}});
    }
}

std::shared_ptr<Connection> EventLoop::holder_of_longest_line() {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<Connection> holder;
    std::size_t most_bytes = 0;
    for (const auto& [id, connection] : connections_) {
        const std::size_t bytes = connection->unfinished_line_bytes();
        if (bytes > most_bytes) {
            most_bytes = bytes;
            holder = connection;
        }
    }
    return holder;
}

void EventLoop::serve(const std::shared_ptr<Connection>& connection, unsigned events,
                      std::span<char> buffer) {
    if (events & Poller::kWritable) {
        connection->on_writable();
    }
    if (!(events & Poller::kReadable)) {
        return;
    }
    const auto before = connection->deadline();
    if (const auto reason = connection->on_readable(buffer)) {
        close(connection, *reason);
        return;
    }
    // Only a connection that has just begun to linger has an earlier deadline than before.
    const auto after = connection->deadline();
    if (before && after && *after < *before) {
        schedule(connection->id(), *after);
    }
}

void EventLoop::close(const std::shared_ptr<Connection>& connection, const CloseReason& reason) {
    connection->on_closed(reason);
    {
        const std::lock_guard lock(mutex_);
        connections_.erase(connection->id());
    }
    on_closed_(connection->id());
}

// Handles the connections whose entry in deadlines_ has expired. If a connection's deadline has
// moved, it is scheduled again, if it still has one. Otherwise the connection is read first, in
// case this process was late to read its bytes, and closed if the deadline still holds.
void EventLoop::serve_overdue(std::span<char> buffer) {
    const TimePoint now = steady_clock::now();
    while (const auto connection = take_overdue(now)) {
        auto deadline = connection->deadline();
        if (deadline && *deadline <= now) {
            free_line_buffers();
            if (const auto reason = connection->on_readable(buffer)) {
                close(connection, *reason);
                continue;
            }
            deadline = connection->deadline();
        }
        if (deadline) {
            schedule(connection->id(), *deadline);
        }
    }
}

// Removes the earliest expired entry and returns its connection, or null if no entry has expired.
// Skips entries of connections that are closed.
std::shared_ptr<Connection> EventLoop::take_overdue(TimePoint now) {
    const std::lock_guard lock(mutex_);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto at = connections_.find(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
        if (at != connections_.end()) {
            return at->second;
        }
    }
    return nullptr;
}

void EventLoop::schedule(StreamId id, TimePoint deadline) {
    const std::lock_guard lock(mutex_);
    deadlines_.emplace(deadline, id);
}

void EventLoop::release_all() {
    const std::lock_guard lock(mutex_);
    connections_.clear();
    deadlines_.clear();
}

int EventLoop::wait_milliseconds() {
    const std::lock_guard lock(mutex_);
    if (deadlines_.empty()) {
        return static_cast<int>(kMaxWait.count());
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadlines_.begin()->first -
                                                                   steady_clock::now());
    return static_cast<int>(std::clamp(left, std::chrono::milliseconds{0}, kMaxWait).count());
}

}  // namespace micaroad::net
