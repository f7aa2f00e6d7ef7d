#include "net/poller.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>

namespace micaroad::net {

namespace {

bool control(int poller, int operation, const Socket& socket, std::uint64_t token,
             unsigned events) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    return ::epoll_ctl(poller, operation, socket.fd(), &event) == 0;
}

unsigned ready_events(unsigned epoll_events) {
    const bool ended = (epoll_events & (EPOLLERR | EPOLLHUP)) != 0;
    unsigned events = 0;
    if (ended || (epoll_events & EPOLLIN) != 0) {
        events |= Poller::kReadable;
    }
    if (ended || (epoll_events & EPOLLOUT) != 0) {
        events |= Poller::kWritable;
    }
    return events;
}

}  // namespace

Poller::Poller() : descriptor_(::epoll_create1(EPOLL_CLOEXEC)) {}

bool Poller::watch(const Socket& socket, std::uint64_t token) const {
    return control(descriptor_.get(), EPOLL_CTL_ADD, socket, token, EPOLLIN);
}

void Poller::unwatch(const Socket& socket) const {
    (void)control(descriptor_.get(), EPOLL_CTL_DEL, socket, 0, 0);
}

void Poller::watch_writable(const Socket& socket, std::uint64_t token, bool wanted) const {
    (void)control(descriptor_.get(), EPOLL_CTL_MOD, socket, token,
                  wanted ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

int Poller::wait(Ready (&ready)[kMaxEvents], int milliseconds) const {
    std::array<epoll_event, kMaxEvents> events{};
    const int count = ::epoll_wait(descriptor_.get(), events.data(), kMaxEvents, milliseconds);
    for (int i = 0; i < count; ++i) {
        ready[i] = {events[i].data.u64, ready_events(events[i].events)};
    }
    return std::max(count, 0);
}

}  // namespace micaroad::net
