/// A set of the sockets that threads block on, so that their owner can wake all of them when it
/// stops.
#pragma once

#include <mutex>
#include <set>

#include "net/socket.hpp"

namespace micaroad::net {

/// Refers to sockets in use, without owning them, and shuts them down on stop(). All functions may
/// be called by any thread.
class ActiveSockets {
 public:
    /// Keeps one socket registered for its own lifetime. The socket must outlive it.
    class Registration {
     public:
        Registration(ActiveSockets& sockets, const Socket& socket);
        ~Registration();
        Registration(const Registration&) = delete;
        Registration& operator=(const Registration&) = delete;

        /// False if stop() was called before: then the socket is not registered, and no thread may
        /// block on it.
        [[nodiscard]] bool registered() const { return registered_; }

     private:
        ActiveSockets& sockets_;
        const Socket& socket_;
        bool registered_;
    };

    /// Shuts down all registered sockets and registers no more.
    void stop();
    [[nodiscard]] bool stopped();

 private:
    // Guards the members below. No registered socket is closed while the mutex is held.
    std::mutex mutex_;
    std::set<const Socket*> registered_;
    bool stopped_ = false;
};

}  // namespace micaroad::net
