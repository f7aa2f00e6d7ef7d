/// One accepted connection: parses what its peer sends into core events, and sends it what the core
/// orders, as fast as it reads.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "log/log.hpp"
#include "net/close_reason.hpp"
#include "net/poller.hpp"
#include "net/socket.hpp"
#include "planner/inbox.hpp"
#include "planner/sync_points.hpp"
#include "protocol/line_reader.hpp"
#include "protocol/message.hpp"

namespace micaroad::net {

/// What a peer has identified itself as. It changes once at most, and outlives the end.
enum class Role { unidentified, collector, proxy };

/// What all connections share. Everything it refers to outlives them.
struct ConnectionContext {
    const SymbolTable& names;
    const protocol::Bounds& bounds;
    // Three pools, so that neither endless lines nor unsent updates keep others from being read.
    protocol::BufferPool& read_buffers;   ///< one for each thread that reads
    protocol::BufferPool& line_buffers;   ///< parts of unfinished lines
    protocol::BufferPool& write_buffers;  ///< what waits to be sent
    Inbox& inbox;
    Log& log;
    SyncPoints* sync = nullptr;
};

/// One accepted connection. Owns its socket and the buffers of its unfinished line and its unsent
/// bytes. Nothing here waits: the EventLoop calls when there is something to read or to send.
///
/// Threads: on_readable(), on_writable(), on_closed() and deadline() are called by the event loop's
/// thread only. send(), pending_bytes(), close(), close_if_idle() and role() may be called by any.
///
/// Bounds: a line of kMaxUnidentifiedLineBytes or LineReader::kMaxLineBytes bytes, kMaxPendingBytes
/// of unsent bytes (and one message more), kMaxAcknowledgements messages of a proxy that the core
/// has not taken, and as many reports of a collector as Inbox allows.
///
/// States, from left to right, and what leads from one to the next:
///
///                  .-- ProxyJoined ---------> proxy ------ peer ends, bad input, close() --.
///                  |                                                                       |
///     unidentified +-- CollectorIdentified -> collector -- the same, idle timeout ---------+
///                  |                                                                       |
///                  +-- invalid input -------> lingering -- the same, linger timeout -------+
///                  |                                                                       v
///                  '-- peer ends, join timeout, close(), close_if_idle() ------------> closing
///
/// `unidentified`, `proxy` and `collector` are the Role, which stays known when the connection
/// ends; `lingering` and `closing` are the State.
class Connection {
 public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Join timeouts, from the time it was accepted. A peer that has not identified itself by then
    /// may be closed, as the platform owes it one second; in the middle of a line it may be on a
    /// slow link and gets what the platform owes at most, three seconds, less half of one for our
    /// own delay. What lies in the socket by then is read first: that this process was late is no
    /// fault of the peer's.
    static constexpr std::chrono::milliseconds kJoinTimeout{1'500};
    static constexpr std::chrono::milliseconds kMidLineJoinTimeout{2'500};
    /// After `error` was sent, input is read and dropped for so long, or so many bytes, before the
    /// close: closing a socket with unread bytes resets it, and the reset overtakes the `error`.
    static constexpr std::chrono::milliseconds kLingerTimeout{500};
    static constexpr std::size_t kMaxLingerBytes = 64 * 1024;
    /// A collector reports twice a second and reconnects at no cost. A proxy has no idle timeout:
    /// it would lose its stream by our doing.
    static constexpr std::chrono::seconds kCollectorIdleTimeout{60};
    /// Of one proxy between two turns of the core: as many acknowledgements as it can have
    /// unanswered nonces, and as many demand reports. More is a flood, and dropped.
    static constexpr std::size_t kMaxAcknowledgements = 256;
    static constexpr std::chrono::seconds kDropLogInterval{10};
    static constexpr std::size_t kMaxUnidentifiedLineBytes = 1024;  ///< ten times a joining message
    /// With more unsent bytes than this a message is not taken: the proxy has stopped reading.
    static constexpr std::size_t kMaxPendingBytes = 128 * 1024;
    /// Kernel buffers that are asked for, in bytes; the kernel takes twice as much.
    static constexpr int kSendBufferBytes = 16 * 1024;
    static constexpr int kReceiveBufferBytes = 8 * 1024;

    Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer);

    /// The poller that tells of its socket. To be called before any other thread has it.
    void attach(const Poller& poller) { poller_ = &poller; }
    /// Has the poller watch the socket. False if the kernel has no room for it; true also if it was
    /// closed meanwhile, as it then ends with its last owner.
    [[nodiscard]] bool watch();

    /// Reads once, into `buffer`, and handles what came; then looks at the deadline. Gives the
    /// reason if the connection is to end now.
    [[nodiscard]] std::optional<CloseReason> on_readable(std::span<char> buffer);
    /// Sends what the kernel has room for.
    void on_writable();
    /// Closes it and notifies the core, or the log, of its end.
    void on_closed(const CloseReason& reason);
    /// When it has to be looked at although nothing came; absent: never.
    [[nodiscard]] std::optional<TimePoint> deadline() const;

    enum class SendResult {
        accepted,          ///< sent or queued, or dropped as the connection is closing
        peer_not_reading,  ///< over kMaxPendingBytes
        no_buffer,         ///< the write pool is empty
    };
    [[nodiscard]] SendResult send(std::string_view message);
    /// Bytes that wait to be sent.
    [[nodiscard]] std::size_t pending_bytes();
    /// Ends it: drops what waits to be sent, and lets the event loop read the end.
    void close();
    /// Closes it if it is an unidentified peer of whom nothing waits to be read; one that has begun
    /// a line only if `include_mid_line`. False if it was left as it is.
    [[nodiscard]] bool close_if_idle(bool include_mid_line);

    [[nodiscard]] Role role() const { return role_; }
    [[nodiscard]] StreamId id() const { return id_; }
    [[nodiscard]] const std::string& peer() const { return peer_; }

 private:
    using MessageResult = tl::expected<void, MessageError>;

    /// `lingering`: `error` was sent and input counts no more. `closing`: the socket is shut down.
    enum class State { open, lingering, closing };

    /// Since when and how much a lingering connection has been read.
    struct Linger {
        CloseReason reason;
        TimePoint since;
        std::size_t bytes_read = 0;
    };

    [[nodiscard]] bool identify(Role role);
    [[nodiscard]] std::optional<CloseReason> handle_bytes(std::string_view bytes);
    [[nodiscard]] std::optional<CloseReason> reject(CloseReason reason);
    [[nodiscard]] CloseReason timeout_reason() const;
    [[nodiscard]] MessageResult handle_line(std::string_view line);
    [[nodiscard]] MessageResult handle(const protocol::LivenessQuery& query);
    [[nodiscard]] MessageResult handle(const protocol::CollectorIdentified& collector);
    [[nodiscard]] MessageResult handle(const event::ProxyJoined& joined);
    [[nodiscard]] MessageResult handle(const event::Acknowledgement& acknowledgement);
    [[nodiscard]] MessageResult handle(const event::EndpointLoadReport& report);
    [[nodiscard]] MessageResult handle(const event::DemandReport& report);
    void put_bounded(std::size_t max_events, CoreEvent event);
    void count_dropped();
    void send_pending();  // under the mutex

    ConnectionContext& context_;
    const Poller* poller_ = nullptr;
    const StreamId id_;
    const Socket socket_;
    const std::string peer_;
    std::atomic<Role> role_{Role::unidentified};

    // The event loop's thread alone uses these.
    ProxyId proxy_{-1};
    protocol::LineReader line_reader_;
    const TimePoint accepted_at_;
    TimePoint last_message_at_;
    TimePoint drops_logged_at_;
    std::size_t dropped_messages_ = 0;  // since drops_logged_at_
    std::optional<Linger> linger_;      // set exactly while it lingers, and kept when it closes

    // Guards what follows, and the change of role_: no peer is identified once it is closing.
    std::mutex mutex_;
    State state_ = State::open;
    protocol::BufferChain pending_;                            // not given to the kernel yet
    std::optional<protocol::BufferChain::Piece> partly_sent_;  // stands before pending_
    std::size_t partly_sent_bytes_ = 0;                        // of partly_sent_, already sent
    bool watches_writable_ = false;
    bool reading_ = false;   // bytes may be out of the kernel and not handled yet
    bool mid_line_ = false;  // as line_reader_ was after the last read
};

}  // namespace micaroad::net
