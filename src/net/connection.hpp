// One connection that was taken: what it says becomes arrivals, and what it is told goes out as it
// reads. It never waits: an EventLoop calls when there is something to hear or room to write.
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
#include "planner/sync_points.hpp"
#include "protocol/line_reader.hpp"
#include "protocol/message.hpp"

namespace micaroad::net {

enum class Role { unidentified, collector, stream };

// What every connection shares.
struct ConnectionContext {
    const SymbolTable& names;
    const protocol::Bounds& bounds;
    // Three, so that neither lines without end nor unread orders keep others from being heard.
    protocol::BufferPool& reading;  // one for each thread that reads
    protocol::BufferPool& lines;    // what is held of unfinished ones
    protocol::BufferPool& writing;
    Inbox& inbox;
    Log& log;
    SyncPoints* sync = nullptr;
};

class Connection {
 public:
    // Counted from when it was taken. Who has not joined by then may be ended, as the platform owes
    // a second; who is in the middle of a line may be a slow connection, and gets what the platform
    // owes at most, three seconds, less half of one for our turn. What lies in the socket by then
    // is heard first: that nobody had time to hear it is no fault of its peer's.
    static constexpr std::chrono::milliseconds kJoinDue{1'500}, kLineDue{2'500};
    // Who has got `error` is read on for so long, or so far, before its connection is closed: a
    // close over bytes that nobody has read resets it, and the reset overtakes the `error`.
    static constexpr std::chrono::milliseconds kLinger{500};
    static constexpr std::size_t kMostLingered = 64 * 1024;
    // A collector reports twice a second and dials again at no cost. A stream is never ended for
    // its silence: its proxy would lose it by our doing.
    static constexpr std::chrono::seconds kCollectorPatience{60};
    // Between two turns of the core, of one stream: as many answers as it can have open marks, and
    // as much usage. What it says beyond is a flood.
    static constexpr std::size_t kMostAnswers = 256;
    static constexpr std::chrono::seconds kDroppedSaidEvery{10};
    static constexpr std::size_t kUnidentifiedLine = 1024;  // ten times a joining
    // Orders on top of as many unread bytes: the proxy has stopped reading.
    static constexpr std::size_t kMostUnread = 128 * 1024;
    static constexpr int kKernelSend = 16 * 1024,
                         kKernelReceive = 8 * 1024;  // the kernel takes twice as much

    Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer);

    void watched_by(const Poller& poller) { poller_ = &poller; }  // before anyone else knows of it
    bool watch();                                                 // false: the poller has no room

    // For the event loop's thread.
    std::optional<std::string> handle(char* into,
                                      std::size_t most);  // what has come; why it ends now
    void ended(const std::string& why);
    std::optional<std::chrono::steady_clock::time_point> due()
        const;     // by when it has to do something
    void flush();  // what its peer has room for

    enum class Posted { yes, not_read, no_buffer };
    Posted post(std::string_view message);  // any thread, never waits
    std::size_t unread();
    void close();  // any thread
    // Only an unidentified peer of whom nothing waits to be read; one that has begun a line only if
    // said so. Any thread.
    bool close_if_idle(bool in_mid_line);
    Role role() const { return role_; }
    StreamId id() const { return id_; }

 private:
    bool become(Role role);
    std::optional<std::string> take_bytes(std::string_view bytes);  // why that ends it, if it does
    std::optional<std::string> refuse(
        const std::string& why);  // with `error`; why it ends if it hears none
    std::string overdue() const;  // why it ends when its time is over
    // Why it ends the connection; empty: it doesn't.
    std::string take(std::string_view line);
    // Why it can't be used; empty: it was taken.
    std::string take(const protocol::LivenessQuery&);
    std::string take(const protocol::CollectorIdentified& named);
    std::string take(const event::ProxyJoined& joined);
    std::string take(const event::Acknowledgement& applied);
    std::string take(const event::EndpointLoadReport& met);
    std::string take(const event::DemandReport& came);
    void count_dropped();
    void send_on();  // under the mutex

    ConnectionContext& context_;
    const Poller* poller_ = nullptr;
    const StreamId id_;
    const Socket socket_;
    const std::string peer_;
    std::atomic<Role> role_{Role::unidentified};
    ProxyId proxy_{-1};  // this and what follows: the event loop's
    protocol::LineReader lines_;
    const std::chrono::steady_clock::time_point taken_;
    std::chrono::steady_clock::time_point heard_, counted_{};
    std::size_t dropped_ = 0;  // of its messages, as it floods, since counted_
    struct Refused {
        std::string why;
        std::chrono::steady_clock::time_point since;
        std::size_t read = 0;
    };
    std::optional<Refused> refused_;  // it got `error`: what it still says is read and dropped

    std::mutex mutex_;
    protocol::BufferChain unread_;
    std::optional<protocol::BufferChain::Piece>
        first_;             // of what is unread, where a part of it went out
    std::size_t sent_ = 0;  // of that
    bool closing_ = false, waits_for_room_ = false;
    // Bytes are out of the kernel and not taken; some wait for more; it got `error`, what it says
    // counts no more.
    bool hearing_ = false, in_mid_line_ = false, lingering_ = false;
};

}  // namespace micaroad::net
