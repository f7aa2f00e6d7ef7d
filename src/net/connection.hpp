// One connection that was taken: what it says becomes arrivals, and what it is told goes out as it reads. It
// never waits: an EventLoop calls when there is something to hear or room to write.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "log/log.hpp"
#include "net/poller.hpp"
#include "net/socket.hpp"
#include "planner/inbox.hpp"
#include "protocol/line_reader.hpp"
#include "protocol/message.hpp"

namespace micaroad::net {

enum class Role { unidentified, collector, stream };

// What every connection shares.
struct ConnectionContext {
    const Names& names;
    const protocol::Bounds& bounds;
    // Three, so that neither lines without end nor unread orders keep others from being heard.
    protocol::Pool& reading;  // one for each thread that reads
    protocol::Pool& lines;    // what is held of unfinished ones
    protocol::Pool& writing;
    Inbox& inbox;
    Log& log;
};

class Connection {
 public:
    // Counted from when it was taken, whatever it sends: who has not joined by then is ended.
    static constexpr std::chrono::milliseconds kJoinDue{1'500};
    // A collector reports twice a second and dials again at no cost. A stream is never ended for its silence:
    // its proxy would lose it by our doing.
    static constexpr std::chrono::seconds kCollectorPatience{60};
    static constexpr std::size_t kUnidentifiedLine = 1024;  // ten times a joining
    // Orders on top of as many unread bytes: the proxy has stopped reading.
    static constexpr std::size_t kMostUnread = 128 * 1024;
    static constexpr int kKernelSend = 16 * 1024,
                         kKernelReceive = 8 * 1024;  // the kernel takes twice as much

    Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer);

    // For the loop's thread.
    bool watched_by(const Poller& poller);                          // false: it has no room
    std::optional<std::string> hear(char* into, std::size_t most);  // what has come; why that ends it
    void ended(const std::string& why);
    std::optional<std::chrono::steady_clock::time_point> due() const;  // by when it has to do something
    std::string overdue() const;                                       // why it ends when it has not
    void flush();                                                      // what its peer has room for

    enum class Posted { yes, not_read, no_buffer };
    Posted post(std::string_view message);  // any thread, never waits
    std::size_t unread();
    void close();          // any thread
    bool close_if_idle();  // only an unidentified peer of whom nothing waits to be read; any thread
    Role role() const { return role_; }
    StreamId id() const { return id_; }

 private:
    bool become(Role role);
    // Why it ends the connection; empty: it doesn't.
    std::string take(std::string_view line);
    // Why it can't be used; empty: it was taken.
    std::string take(const protocol::AliveAsked&);
    std::string take(const protocol::CollectorNamed& named);
    std::string take(const event::ProxyJoined& joined);
    std::string take(const event::MarkApplied& applied);
    std::string take(const event::Outcomes& met);
    std::string take(const event::Arrivals& came);
    void send_on();  // under the mutex

    ConnectionContext& context_;
    const Poller* poller_ = nullptr;
    const StreamId id_;
    const Socket socket_;
    const std::string peer_;
    std::atomic<Role> role_{Role::unidentified};
    ProxyId proxy_{-1};  // this and what follows: the loop's
    protocol::LineReader lines_;
    const std::chrono::steady_clock::time_point taken_;
    std::chrono::steady_clock::time_point heard_;

    std::mutex mutex_;
    protocol::Chain unread_;
    std::optional<protocol::Chain::Piece> first_;  // of what is unread, where a part of it went out
    std::size_t sent_ = 0;                         // of that
    bool closing_ = false, waits_for_room_ = false;
};

}  // namespace micaroad::net
