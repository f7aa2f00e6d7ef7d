// Which of many sockets can be read or written without waiting.
#pragma once

#include <cstdint>

#include "net/socket.hpp"

namespace micaroad::net {

class Poller {
 public:
    static constexpr int kMostAtOnce = 64;
    static constexpr unsigned kReadable = 1, kWritable = 2;  // an end or a fault counts as both
    struct Ready {
        std::uint64_t token;
        unsigned events;
    };

    Poller();
    ~Poller();
    Poller(const Poller&) = delete;
    Poller& operator=(const Poller&) = delete;

    bool watch(const Socket& socket,
               std::uint64_t token) const;   // any thread; false: the kernel has no room
    void leave(const Socket& socket) const;  // one that has ended is ready for ever
    void watch_room(const Socket& socket, std::uint64_t token,
                    bool wanted) const;                             // whether it can be written too
    int wait(Ready (&ready)[kMostAtOnce], int milliseconds) const;  // how many there are

 private:
    const int fd_;
};

}  // namespace micaroad::net
