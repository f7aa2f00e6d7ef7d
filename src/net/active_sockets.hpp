/// Sockets that threads wait on, so that all can be woken at once when the owner stops.
#pragma once

#include <mutex>
#include <set>

#include "net/socket.hpp"

namespace micaroad::net {

/// Refers to sockets that are in use and shuts them down on stop(); owns none. Any thread.
class ActiveSockets {
 public:
    /// Keeps one socket listed as long as it lives. The socket outlives it.
    class Registration {
     public:
        Registration(ActiveSockets& sockets, const Socket& socket);
        ~Registration();
        Registration(const Registration&) = delete;
        Registration& operator=(const Registration&) = delete;

        /// False if stop() came first: then the socket is not listed and must not be waited on.
        [[nodiscard]] bool registered() const { return registered_; }

     private:
        ActiveSockets& sockets_;
        const Socket& socket_;
        bool registered_;
    };

    /// Shuts down all that are listed and lists no more.
    void stop();
    [[nodiscard]] bool stopped();

 private:
    // Guards what follows; a listed socket is not closed while it is held.
    std::mutex mutex_;
    std::set<const Socket*> registered_;
    bool stopped_ = false;
};

}  // namespace micaroad::net
