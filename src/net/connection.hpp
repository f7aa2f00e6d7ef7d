// One connection that was taken: a reader that turns its bytes into arrivals, and a writer once it is a
// stream.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "log/log.hpp"
#include "net/crew.hpp"
#include "net/socket.hpp"
#include "planner/inbox.hpp"
#include "protocol/line_reader.hpp"
#include "protocol/message.hpp"

namespace micaroad::net {

enum class Role { stranger, collector, stream };

// What every connection shares.
struct House {
    const Names& names;
    const protocol::Bounds& bounds;
    // Three, so that neither lines without end nor unread orders keep others from being heard.
    protocol::Pool& reading;  // one for each reader
    protocol::Pool& lines;    // what is held of unfinished ones
    protocol::Pool& writing;
    Inbox& inbox;
    Log& log;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
    // Counted from when it was taken, whatever it sends: who has not joined by then is ended.
    static constexpr std::chrono::milliseconds kJoinDue{1'500};
    // A collector reports twice a second and dials again at no cost. A stream is never ended for its silence:
    // its proxy would lose it by our doing.
    static constexpr std::chrono::seconds kCollectorPatience{60};
    static constexpr std::size_t kStrangerLine = 1024;  // ten times a joining
    // Orders on top of as many unread bytes: the proxy has stopped reading.
    static constexpr std::size_t kMostUnread = 128 * 1024;
    static constexpr int kKernelSend = 16 * 1024,
                         kKernelReceive = 8 * 1024;  // the kernel takes twice as much

    Connection(House& house, Crew& crew, StreamId id, Socket socket, std::string peer);

    void read();  // until the end; run by a thread of its own
    enum class Posted { yes, not_read, no_buffer };
    Posted post(std::string_view message);  // any thread, never waits
    std::size_t unread();
    void close();          // any thread
    bool close_if_idle();  // only a stranger of whom nothing waits to be read; any thread
    Role role() const { return role_; }
    StreamId id() const { return id_; }

 private:
    std::string read_to_end();  // why it ended
    std::chrono::milliseconds left_to_join() const;
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
    void write_on();

    House& house_;
    Crew& crew_;
    const StreamId id_;
    const Socket socket_;
    const std::string peer_;
    std::atomic<Role> role_{Role::stranger};
    ProxyId proxy_{-1};  // the reader's
    const std::chrono::steady_clock::time_point taken_;
    std::chrono::steady_clock::time_point heard_;

    std::mutex mutex_;
    std::condition_variable wake_;
    protocol::Chain unread_;
    bool closing_ = false;
};

}  // namespace micaroad::net
