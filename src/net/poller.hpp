/// Waits until any of a set of sockets can be read or written without blocking.
#pragma once

#include <cstdint>

#include "net/file_descriptor.hpp"
#include "net/socket.hpp"

namespace micaroad::net {

/// A level-triggered epoll instance. It does not own the sockets; the kernel removes a socket from
/// it when the socket is closed. All functions may be called by any thread, but wait() only by one
/// at a time.
class Poller {
 public:
    static constexpr int kMaxEvents = 64;  ///< per wait()
    /// Bits of Ready::events. A closed connection and a socket error set both.
    static constexpr unsigned kReadable = 1;
    static constexpr unsigned kWritable = 2;
    struct Ready {
        std::uint64_t token;  ///< as passed to watch()
        unsigned events;
    };

    Poller();

    /// Starts to watch a socket for input, end of stream and errors. Returns false if the kernel
    /// cannot add it.
    [[nodiscard]] bool watch(const Socket& socket, std::uint64_t token) const;
    /// Stops watching a socket. Must be called for a closed connection, which would otherwise stay
    /// ready forever.
    void unwatch(const Socket& socket) const;
    /// Sets whether a watched socket is also watched for being writable.
    void watch_writable(const Socket& socket, std::uint64_t token, bool wanted) const;
    /// Waits for events and returns their number, or 0 on a timeout or an error.
    [[nodiscard]] int wait(Ready (&ready)[kMaxEvents], int milliseconds) const;

 private:
    const FileDescriptor descriptor_;
};

}  // namespace micaroad::net
