/// The planner's listening socket: accepts connections, up to a bound, and keeps the list of them.
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

/// Why an Acceptor does not serve.
struct AcceptorError {
    enum class Cause { not_listening, no_thread };
    Cause cause;
    SocketError socket = {};  ///< of not_listening
};
std::string describe(const AcceptorError& error);

/// Accepts connections and has its event loop serve them. Owns the listening socket, the event
/// loop, the threads of both and, with the event loop, the connections.
///
/// Bounds: the two numbers of the constructor. Past either the oldest idle unidentified peer is
/// shed; where there is none, the new connection is rejected.
///
/// Threads: open() once, by one thread; write(), close(), address() and begin_shutdown() from any;
/// shutdown() from any but its own two, and it returns when these have ended.
class Acceptor {
 public:
    Acceptor(const ConnectionContext& context, std::size_t max_connections,
             std::size_t max_unidentified);
    ~Acceptor();
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    /// Listens and starts the threads.
    [[nodiscard]] tl::expected<void, AcceptorError> open(const Address& address);
    /// The address it listens on, with the port that the kernel chose if none was given.
    [[nodiscard]] Address address() const { return listener_.local(); }
    /// Closes every connection and accepts no more.
    void begin_shutdown();
    /// begin_shutdown(), then waits for the threads and closes the sockets.
    void shutdown();
    /// Sends a message on a stream, if it is still there. A proxy that does not read loses its
    /// stream; so does, where buffers run out, the one that has left most unread.
    void write(StreamId stream, std::string_view message);
    /// Ends a stream, if it is still there.
    void close(StreamId stream);

 private:
    using Connections = std::map<StreamId, std::shared_ptr<Connection>>;

    static constexpr std::size_t kThreads = 2;  // run() and the event loop
    /// Between two attempts to accept while descriptors or memory are short.
    static constexpr std::chrono::milliseconds kAcceptBackoff{2};

    void run();
    void add(Socket socket, const Address& peer);
    [[nodiscard]] bool make_room();          // under the mutex
    [[nodiscard]] bool shed_unidentified();  // under the mutex
    [[nodiscard]] bool shed_slowest_reader();
    [[nodiscard]] std::shared_ptr<Connection> find(StreamId stream);

    ConnectionContext context_;
    const std::size_t max_connections_;
    const std::size_t max_unidentified_;
    Socket listener_;

    // Guards what follows up to the event loop.
    std::mutex mutex_;
    Connections connections_;
    Connections unidentified_;  // as they were when last looked at: some may have joined since
    std::uint64_t next_id_ = 1;
    bool shutting_down_ = false;

    EventLoop loop_;
    ThreadGroup threads_{kThreads};  // last: its threads use all of the above
};

}  // namespace micaroad::net
