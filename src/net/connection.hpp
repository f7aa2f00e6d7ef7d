/// One accepted connection: parses the peer's messages into events for the core, and sends the
/// core's messages to the peer as fast as the peer reads them.
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

/// What a peer has identified itself as. Changes at most once, and is kept after the connection is
/// closed.
enum class Role { unidentified, collector, proxy };

/// The resources that all connections share. Everything it refers to must outlive the connections.
struct ConnectionContext {
    const SymbolTable& names;
    const protocol::Bounds& bounds;
    // Separate pools, so that neither endless lines nor unsent updates stop other connections from
    // being read.
    protocol::BufferPool& read_buffers;   ///< one buffer per reading thread
    protocol::BufferPool& line_buffers;   ///< unfinished lines
    protocol::BufferPool& write_buffers;  ///< unsent bytes
    Inbox& inbox;
    Log& log;
    SyncPoints* sync = nullptr;
};

/// One accepted connection. Owns its socket and the buffers of its unfinished line and its unsent
/// bytes. No function blocks: the EventLoop calls the connection when its socket can be read or
/// written.
///
/// Threads: on_readable(), on_writable(), on_closed(), deadline() and unfinished_line_bytes() are
/// called only by the event loop's thread. Any thread may call send(), pending_bytes(), close(),
/// close_if_idle(), role() and last_message_at().
///
/// Bounds: a line has at most kMaxUnidentifiedLineBytes before and LineReader::kMaxLineBytes after
/// the peer has identified itself; unsent bytes are at most kMaxPendingBytes plus one message; the
/// core's inbox holds at most kMaxAcknowledgements messages of a proxy, and as many reports of a
/// collector as Inbox allows.
///
/// States, from left to right, with the events that lead from one to the next:
///
///                  .-- ProxyJoined ---------> proxy ------ peer ends, bad input, close() --.
///                  |                                                                       |
///     unidentified +-- CollectorIdentified -> collector -- the same, idle timeout ---------+
///                  |                                                                       |
///                  +-- invalid input -------> lingering -- the same, linger timeout -------+
///                  |                                                                       v
///                  '-- peer ends, join timeout, close(), close_if_idle() ------------> closing
///
/// `unidentified`, `proxy` and `collector` are values of Role, which is kept when the connection is
/// closed; `lingering` and `closing` are values of State.
class Connection {
 public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Time that a peer has to identify itself after it was accepted. The platform guarantees a
    /// peer one second, so an idle peer may be closed after kJoinTimeout. A peer in the middle of a
    /// line may be on a slow link and gets kMidLineJoinTimeout: the platform's maximum of three
    /// seconds, minus half a second for this process's own delay. Bytes that wait in the socket are
    /// read before the timeout is applied, so that a peer is not closed because this process was
    /// late.
    static constexpr std::chrono::milliseconds kJoinTimeout{1'500};
    static constexpr std::chrono::milliseconds kMidLineJoinTimeout{2'500};
    /// After `error` was sent, input is read and dropped for this long, or up to this many bytes,
    /// before the socket is closed: closing a socket with unread bytes resets the connection, and
    /// the peer may see the reset before the `error`.
    static constexpr std::chrono::milliseconds kLingerTimeout{500};
    static constexpr std::size_t kMaxLingerBytes = 64 * 1024;
    /// A collector that is silent this long is closed: it normally reports twice a second, and
    /// reconnects at no cost. A proxy has no idle timeout, as the planner itself would then end its
    /// stream.
    static constexpr std::chrono::seconds kCollectorIdleTimeout{60};
    /// Messages of one proxy that the inbox holds between two turns of the core: as many
    /// acknowledgements as a proxy can have unacknowledged nonces, and as many demand reports.
    /// Further ones are dropped as a flood.
    static constexpr std::size_t kMaxAcknowledgements = 256;
    static constexpr std::chrono::seconds kDropLogInterval{10};
    /// Ten times the size of a joining message.
    static constexpr std::size_t kMaxUnidentifiedLineBytes = 1024;
    /// With more unsent bytes than this, send() rejects a message: the proxy has stopped reading.
    static constexpr std::size_t kMaxPendingBytes = 128 * 1024;
    /// Requested sizes of the kernel's buffers; the kernel allocates twice as much.
    static constexpr int kSendBufferBytes = 16 * 1024;
    static constexpr int kReceiveBufferBytes = 8 * 1024;

    Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer);

    /// Sets the poller that watches the socket. Must be called before other threads can use the
    /// connection.
    void attach(const Poller& poller) { poller_ = &poller; }
    /// Has the poller watch the socket. Returns false if the kernel cannot add it; true also if the
    /// connection was closed in the meantime, as it is then destroyed with its last owner.
    [[nodiscard]] bool watch();

    /// Reads once, into `buffer`, and handles the bytes, then checks the deadline. Returns the
    /// reason if the connection must be closed now.
    [[nodiscard]] std::optional<CloseReason> on_readable(std::span<char> buffer);
    /// Sends as many pending bytes as the kernel accepts.
    void on_writable();
    /// Closes the connection and reports that to the core, for a proxy, or to the log.
    void on_closed(const CloseReason& reason);
    /// Number of bytes held of an unfinished line.
    [[nodiscard]] std::size_t unfinished_line_bytes() const { return line_reader_.held_bytes(); }
    /// When the connection must be checked even without input; absent if never.
    [[nodiscard]] std::optional<TimePoint> deadline() const;

    enum class SendResult {
        accepted,          ///< sent or queued, or dropped because the connection is closing
        peer_not_reading,  ///< more than kMaxPendingBytes are unsent
        no_buffer,         ///< the write pool is empty
    };
    [[nodiscard]] SendResult send(std::string_view message);
    /// Number of unsent bytes.
    [[nodiscard]] std::size_t pending_bytes();
    /// Drops unsent bytes and shuts the socket down; the event loop then reads the end of the
    /// stream, and drops what it had not read before.
    void close();
    /// Closes the connection if its peer is unidentified and none of its bytes wait to be read. A
    /// peer in the middle of a line is closed only if `include_mid_line`. Returns whether it was
    /// closed.
    [[nodiscard]] bool close_if_idle(bool include_mid_line);

    [[nodiscard]] Role role() const { return role_; }
    /// When the last valid message arrived; at first, when the connection was accepted.
    [[nodiscard]] TimePoint last_message_at() const { return last_message_at_; }
    [[nodiscard]] StreamId id() const { return id_; }
    [[nodiscard]] const std::string& peer() const { return peer_; }

 private:
    using MessageResult = tl::expected<void, MessageError>;

    /// `lingering`: `error` was sent, input is dropped. `closing`: the socket is shut down.
    enum class State { open, lingering, closing };

    /// Why a connection lingers, since when, and how much was read since.
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
    void send_pending();  // requires mutex_

    ConnectionContext& context_;
    const Poller* poller_ = nullptr;
    const StreamId id_;
    const Socket socket_;
    const std::string peer_;
    std::atomic<Role> role_{Role::unidentified};
    std::atomic<TimePoint> last_message_at_;

    // Used only by the event loop's thread.
    ProxyId proxy_{-1};
    protocol::LineReader line_reader_;
    const TimePoint accepted_at_;
    TimePoint drops_logged_at_;
    std::size_t dropped_messages_ = 0;  // since drops_logged_at_
    std::optional<Linger> linger_;      // set when lingering begins, and kept after the close

    // Guards the members below and changes of role_: no peer is identified once it is closing.
    std::mutex mutex_;
    State state_ = State::open;
    protocol::BufferChain pending_;                            // not yet passed to the kernel
    std::optional<protocol::BufferChain::Piece> partly_sent_;  // precedes pending_
    std::size_t partly_sent_bytes_ = 0;                        // how much of partly_sent_ is sent
    bool watches_writable_ = false;
    bool reading_ = false;   // received bytes may not be handled yet
    bool mid_line_ = false;  // state of line_reader_ after the last read
};

}  // namespace micaroad::net
