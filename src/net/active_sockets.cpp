#include "net/active_sockets.hpp"

namespace micaroad::net {

ActiveSockets::Registration::Registration(ActiveSockets& sockets, const Socket& socket)
    : sockets_(sockets), socket_(socket) {
    const std::lock_guard lock(sockets_.mutex_);
    listed_ = !sockets_.stopped_;
    if (listed_) {
        sockets_.listed_.insert(&socket_);
    }
}

ActiveSockets::Registration::~Registration() {
    const std::lock_guard lock(sockets_.mutex_);
    sockets_.listed_.erase(&socket_);
}

void ActiveSockets::stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (const Socket* socket : listed_) {
        socket->shut_down();
    }
}

bool ActiveSockets::stopped() {
    const std::lock_guard lock(mutex_);
    return stopped_;
}

}  // namespace micaroad::net
