/// The planner's listening socket: accepts connections up to a limit and keeps a list of them.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "net/event_loop.hpp"
#include "net/thread_group.hpp"

namespace micaroad::net {

/// Why Acceptor::open() failed.
struct AcceptorError {
    enum class Cause { not_listening, no_thread };
    Cause cause;
    SocketError socket = {};  ///< set for not_listening
};
std::string describe(const AcceptorError& error);

/// Accepts connections and hands them to its event loop. Owns the listening socket, the event loop,
/// the threads of both and, shared with the event loop, the connections.
///
/// Bounds: `max_connections` and `max_unidentified`. When a new connection would exceed the first,
/// and there are more collectors than zones need, the acceptor closes the one that has been silent
/// the longest. Otherwise it closes the oldest idle unidentified peer; if there is none, it rejects
/// the new connection.
///
/// Threads: open() is called once, by one thread. Any thread may call write(), close(), address()
/// and begin_shutdown(). Any thread except the acceptor's own two may call shutdown(), which
/// returns when those two have ended.
class Acceptor {
 public:
    Acceptor(const ConnectionContext& context, std::size_t max_connections,
             std::size_t max_unidentified);
    ~Acceptor();
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    /// Starts to listen and starts the threads.
    [[nodiscard]] tl::expected<void, AcceptorError> open(const Address& address);
    /// The address the acceptor listens on, with the port that the kernel chose if the given one
    /// was 0.
    [[nodiscard]] Address address() const { return listener_.local(); }
    /// Closes every connection and accepts no new ones.
    void begin_shutdown();
    /// begin_shutdown(), then waits for the threads and closes the sockets.
    void shutdown();
    /// Sends a message on a stream; does nothing if the stream has ended. If the proxy has too many
    /// unread bytes, its stream is closed. If the write buffers run out, the streams with the most
    /// unread bytes are closed until the message fits.
    void write(StreamId stream, std::string_view message);
    /// Closes a stream; does nothing if it has ended.
    void close(StreamId stream);

 private:
    using Connections = std::map<StreamId, std::shared_ptr<Connection>>;

    static constexpr std::size_t kThreads = 2;  // one for run(), one for the event loop
    /// Pause between two attempts to accept while file descriptors or memory are exhausted.
    static constexpr std::chrono::milliseconds kAcceptBackoff{2};

    void run();
    void add(Socket socket, const Address& peer);
    /// A collector may reconnect before its old connection ends.
    static constexpr std::size_t kMaxCollectorsPerZone = 2;

    // These require mutex_.
    [[nodiscard]] bool make_room();
    [[nodiscard]] bool shed_for_connection();
    [[nodiscard]] bool shed_unidentified(bool mid_line);
    [[nodiscard]] bool shed_excess_collector();
    [[nodiscard]] bool shed_slowest_reader();
    [[nodiscard]] std::shared_ptr<Connection> find(StreamId stream);

    ConnectionContext context_;
    const std::size_t max_connections_;
    const std::size_t max_unidentified_;
    Socket listener_;

    // Guards the members from here to the event loop.
    std::mutex mutex_;
    Connections connections_;
    // May contain peers that have identified themselves since they were accepted: make_room()
    // removes those when it looks for room.
    Connections unidentified_;
    std::uint64_t next_id_ = 1;
    bool shutting_down_ = false;

    EventLoop loop_;
    ThreadGroup threads_{kThreads};  // last member: its threads use all those above
};

}  // namespace micaroad::net
