#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "protocol/parse_integer.hpp"

namespace micaroad::net {

namespace {

// All proxies and a flood of unidentified peers at once, as far as the kernel goes along; who finds
// no place waits a second.
constexpr int kBacklog = 4'096;

}  // namespace

std::optional<Address> address_of(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    unsigned port = 0;
    if (!protocol::parse_integer(std::string_view(text).substr(colon + 1), port) || port > 65535) {
        return std::nullopt;
    }
    Address address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto& v6 = reinterpret_cast<sockaddr_in6&>(address.storage);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(static_cast<std::uint16_t>(port));
        address.length = sizeof v6;
        return inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) == 1 ? std::optional{address}
                                                                     : std::nullopt;
    }
    auto& v4 = reinterpret_cast<sockaddr_in&>(address.storage);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof v4;
    return inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1 ? std::optional{address}
                                                               : std::nullopt;
}

std::string text_of(const Address& address) {
    char text[INET6_ADDRSTRLEN] = "?";
    std::uint16_t port = 0;
    if (address.storage.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address.storage);
        inet_ntop(AF_INET, &v4.sin_addr, text, sizeof text);
        port = ntohs(v4.sin_port);
    } else if (address.storage.ss_family == AF_INET6) {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address.storage);
        inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof text);
        port = ntohs(v6.sin6_port);
    }
    return std::string(text) + ":" + std::to_string(port);
}

Socket::~Socket() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

Socket Socket::listening(const Address& address, std::string& why) {
    Socket socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int yes = 1;
    const bool listens =
        socket.open() &&
        ::setsockopt(socket.fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) == 0 &&
        ::bind(socket.fd_, reinterpret_cast<const sockaddr*>(&address.storage), address.length) ==
            0 &&
        ::listen(socket.fd_, kBacklog) == 0;
    if (listens) {
        return socket;
    }
    why = std::strerror(errno);
    return {};
}

Address Socket::local() const {
    Address address;
    address.length = sizeof address.storage;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address.storage), &address.length);
    return address;
}

Socket Socket::unconnected(const Address& address) {
    return Socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

bool Socket::connect(const Address& address, std::chrono::milliseconds most) {
    const int flags = ::fcntl(fd_, F_GETFL);
    ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    int result =
        ::connect(fd_, reinterpret_cast<const sockaddr*>(&address.storage), address.length);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait{fd_, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&wait, 1, static_cast<int>(most.count())) == 1) {
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (wait.revents & POLLHUP) {
                error = ECONNABORTED;
            }
        }
        result = error == 0 ? 0 : -1;
    }
    ::fcntl(fd_, F_SETFL, flags);
    return result == 0;
}

void Socket::set_up(int send_bytes, int receive_bytes) const {
    const int yes = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof send_bytes);
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
}

void Socket::wait_at_most(std::chrono::milliseconds most) const {
    const timeval time{most.count() / 1000, (most.count() % 1000) * 1000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Socket::has_bytes() const {
    char byte;
    return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

namespace {

ssize_t receive_with(int fd, char* into, std::size_t most, int flags) {
    for (;;) {
        const ssize_t got = ::recv(fd, into, most, flags);
        if (got >= 0) {
            return got;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return -2;
        }
        if (errno != EINTR) {
            return -1;
        }
    }
}

}  // namespace

ssize_t Socket::receive(char* into, std::size_t most) const {
    return receive_with(fd_, into, most, 0);
}

ssize_t Socket::receive_now(char* into, std::size_t most) const {
    return receive_with(fd_, into, most, MSG_DONTWAIT);
}

ssize_t Socket::send_some(std::string_view bytes) const {
    for (;;) {
        const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent >= 0) {
            return sent;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return 0;
        }
        if (errno != EINTR) {
            return -1;
        }
    }
}

bool Socket::send_all(std::string_view bytes) const {
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Socket::send_now(std::string_view bytes) const {
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
           static_cast<ssize_t>(bytes.size());
}

void Socket::end_sending() const {
    ::shutdown(fd_, SHUT_WR);
}

void Socket::shut_down() const {
    if (fd_ >= 0) {
        ::shutdown(fd_, SHUT_RDWR);
    }
}

}  // namespace micaroad::net
