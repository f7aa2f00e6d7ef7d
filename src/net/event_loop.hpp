/// The event loop that serves all connections on one thread.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>

#include "net/connection.hpp"

namespace micaroad::net {

/// Serves each connection when its socket can be read or written. Owns the poller and, shared with
/// the Acceptor, the connections.
///
/// The design has a thread for each reader and writer; this class deviates from it. A planner of
/// the whole fleet has two thousand connections, and not every host lets a process have two threads
/// for each (see docs/limits.md). A planner has one core, so a single thread costs nothing. The
/// sockets stay blocking, but are read and written only as far as that does not block.
///
/// Threads: any thread may call add() and stop(). run() has a thread of its own, the only one that
/// calls the connections' handlers, and returns within kMaxWait of stop(). release_all() is called
/// once run() has returned.
class EventLoop {
 public:
    using TimePoint = std::chrono::steady_clock::time_point;
    /// `on_closed` is called for each closed connection, on the thread of run().
    EventLoop(ConnectionContext& context, std::function<void(StreamId)> on_closed);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Starts to serve the connection. Returns false, without keeping it, if the poller cannot
    /// watch it.
    [[nodiscard]] bool add(const std::shared_ptr<Connection>& connection);
    /// Serves until stop(). Needs one read buffer; logs an error and returns if there is none.
    void run();
    /// Makes run() return.
    void stop() { stopping_ = true; }
    /// Releases all remaining connections.
    void release_all();

 private:
    /// Maximum wait for events. A new connection's deadline and stop() do not wake the poller, so
    /// they are noticed up to this much late.
    static constexpr std::chrono::milliseconds kMaxWait{200};

    /// Blocks that one read may add to unfinished lines: its bytes, and the next block's first.
    static constexpr std::size_t kLineBuffersPerRead = 2;

    [[nodiscard]] std::shared_ptr<Connection> find(StreamId id);
    void free_line_buffers();
    [[nodiscard]] std::shared_ptr<Connection> holder_of_longest_line();
    void serve(const std::shared_ptr<Connection>& connection, unsigned events,
               std::span<char> buffer);
    void close(const std::shared_ptr<Connection>& connection, const CloseReason& reason);
    void serve_overdue(std::span<char> buffer);
    [[nodiscard]] std::shared_ptr<Connection> take_overdue(TimePoint now);
    void schedule(StreamId id, TimePoint deadline);
    [[nodiscard]] int wait_milliseconds();

    ConnectionContext& context_;
    const std::function<void(StreamId)> on_closed_;
    Poller poller_;
    std::atomic<bool> stopping_{false};

    // Guards both maps. Not held while a connection is called.
    std::mutex mutex_;
    std::map<StreamId, std::shared_ptr<Connection>> connections_;
    // When to check which connection. Entries may be outdated, so Connection::deadline() is checked
    // again.
    std::multimap<TimePoint, StreamId> deadlines_;
};

}  // namespace micaroad::net
