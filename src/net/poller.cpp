#include "net/poller.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace micaroad::net {

namespace {

bool control(int poller, int what, const Socket& socket, std::uint64_t token, unsigned events) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    return ::epoll_ctl(poller, what, socket.fd(), &event) == 0;
}

}  // namespace

Poller::Poller() : fd_(::epoll_create1(EPOLL_CLOEXEC)) {}

Poller::~Poller() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

bool Poller::watch(const Socket& socket, std::uint64_t token) const {
    return control(fd_, EPOLL_CTL_ADD, socket, token, EPOLLIN);
}

void Poller::leave(const Socket& socket) const {
    (void)control(fd_, EPOLL_CTL_DEL, socket, 0, 0);
}

void Poller::watch_room(const Socket& socket, std::uint64_t token, bool wanted) const {
    (void)control(fd_, EPOLL_CTL_MOD, socket, token, wanted ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

int Poller::wait(Ready (&ready)[kMostAtOnce], int milliseconds) const {
    std::array<epoll_event, kMostAtOnce> events{};
    const int got = ::epoll_wait(fd_, events.data(), kMostAtOnce, milliseconds);
    for (int i = 0; i < got; ++i) {
        const unsigned over = events[i].events & (EPOLLERR | EPOLLHUP);
        ready[i] = {events[i].data.u64, (events[i].events & EPOLLIN || over ? kReadable : 0) |
                                            (events[i].events & EPOLLOUT || over ? kWritable : 0)};
    }
    return std::max(got, 0);
}

}  // namespace micaroad::net
