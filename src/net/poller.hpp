/// Which of many sockets can be read or written without waiting.
#pragma once

#include <cstdint>

#include "net/file_descriptor.hpp"
#include "net/socket.hpp"

namespace micaroad::net {

/// An epoll instance, level-triggered. It refers to sockets and does not own them: one that is
/// closed leaves it. All functions may be called by any thread; wait() is for one at a time.
class Poller {
 public:
    static constexpr int kMaxEvents = 64;  ///< of one wait
    /// Bits of Ready::events. The end of a connection and a fault count as both.
    static constexpr unsigned kReadable = 1;
    static constexpr unsigned kWritable = 2;
    struct Ready {
        std::uint64_t token;  ///< as it was given to watch()
        unsigned events;
    };

    Poller();

    /// Watches a socket for input, its end and faults. False if the kernel has no room.
    [[nodiscard]] bool watch(const Socket& socket, std::uint64_t token) const;
    /// Watches it no more. One that has ended has to leave, as it is ready for ever.
    void unwatch(const Socket& socket) const;
    /// Whether a watched socket is watched for room to write too.
    void watch_writable(const Socket& socket, std::uint64_t token, bool wanted) const;
    /// Waits for events; gives their number, 0 once the time is over or on a fault.
    [[nodiscard]] int wait(Ready (&ready)[kMaxEvents], int milliseconds) const;

 private:
    const FileDescriptor descriptor_;
};

}  // namespace micaroad::net
