/// The thread that serves all connections: whichever can be read or written gets its turn.
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

/// Serves all connections from one thread. Owns the poller and, with the Acceptor, the connections.
///
/// The design has a thread for each reader and writer. A planner of the whole fleet has two
/// thousand connections, and processes may not have two threads for each of these everywhere
/// (docs/limits.md has what was seen); a planner has one core, so one thread loses nothing.
/// The sockets stay blocking: they are read and written only as far as they can be without waiting.
///
/// Threads: add() and stop() from any; run() on a thread of its own, which alone calls the
/// connections' handlers; release_all() once run() has returned. It ends within kMaxWait of stop().
class EventLoop {
 public:
    using TimePoint = std::chrono::steady_clock::time_point;
    /// `on_closed` is called for each connection that ended, by the thread of run().
    EventLoop(ConnectionContext& context, std::function<void(StreamId)> on_closed);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Serves the connection from now on. False if the poller has no room for it; then it is not
    /// kept.
    [[nodiscard]] bool add(const std::shared_ptr<Connection>& connection);
    /// Serves until stop(). Needs one read buffer; without it, logs that and returns.
    void run();
    /// Makes run() return.
    void stop() { stopping_ = true; }
    /// Drops all connections that are left.
    void release_all();

 private:
    /// The longest wait for events. A new connection's deadline and stop() do not wake the poller,
    /// so they may be noticed so much late.
    static constexpr std::chrono::milliseconds kMaxWait{200};

    [[nodiscard]] std::shared_ptr<Connection> find(StreamId id);
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

    // Guards both maps. No connection is called with it held.
    std::mutex mutex_;
    std::map<StreamId, std::shared_ptr<Connection>> connections_;
    // When to look at a connection. An entry may be out of date: the connection is asked again.
    std::multimap<TimePoint, StreamId> deadlines_;
};

}  // namespace micaroad::net
