#include "net/active_sockets.hpp"

namespace micaroad::net {

ActiveSockets::Registration::Registration(ActiveSockets& sockets, const Socket& socket)
    : sockets_(sockets), socket_(socket) {
    const std::lock_guard lock(sockets_.mutex_);
    registered_ = !sockets_.stopped_;
    if (registered_) {
        sockets_.registered_.insert(&socket_);
    }
}

ActiveSockets::Registration::~Registration() {
    const std::lock_guard lock(sockets_.mutex_);
    sockets_.registered_.erase(&socket_);
}

void ActiveSockets::stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (const Socket* socket : registered_) {
        socket->shut_down();
    }
}

bool ActiveSockets::stopped() {
    const std::lock_guard lock(mutex_);
    return stopped_;
}

}  // namespace micaroad::net
