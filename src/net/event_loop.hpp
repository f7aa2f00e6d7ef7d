// Serves all connections from one thread: whoever has something to say or room to be told more gets
// its turn.
//
// The context has a thread for each reader and writer. A planner of the whole fleet has two
// thousand connections, and processes may not have two threads for each of these everywhere
// (docs/architecture.md has what was seen); a planner has one core, so one thread loses nothing.
// The sockets stay blocking: they are read and written only as far as they can be without waiting.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "net/connection.hpp"

namespace micaroad::net {

class EventLoop {
 public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // `gone` is told of each connection that ended, by the event loop's thread.
    EventLoop(ConnectionContext& context, std::function<void(StreamId)> gone);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    bool add(const std::shared_ptr<Connection>& connection);  // any thread; false: no room for it
    void work();        // until stop(); on a thread of its own
    void let_go_all();  // once work() has returned: nothing of what it served is kept
    void stop() { stopping_ = true; }  // heard within kLongestWait

 private:
    // How long nobody may hear that an unidentified peer came whose time is short, or that it is
    // over.
    static constexpr std::chrono::milliseconds kLongestWait{200};

    std::shared_ptr<Connection> find(StreamId id);
    void serve(const std::shared_ptr<Connection>& connection, unsigned events, char* into,
               std::size_t most);
    void end(const std::shared_ptr<Connection>& connection, const std::string& why);
    void end_overdue(char* into, std::size_t most);
    void await(StreamId id, TimePoint due);
    int wait_ms();

    ConnectionContext& context_;
    const std::function<void(StreamId)> gone_;
    Poller poller_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::map<StreamId, std::shared_ptr<Connection>> connections_;
    std::multimap<TimePoint, StreamId> due_;  // when to look at who may be overdue by then
};

}  // namespace micaroad::net
