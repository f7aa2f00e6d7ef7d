#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <cerrno>
#include <cstring>

#include "protocol/parse_integer.hpp"

namespace micaroad::net {

namespace {

// The listen backlog holds all proxies and a flood of unidentified peers at once, as far as the
// kernel allows. A peer that finds it full retries after a second.
constexpr int kBacklog = 4'096;

constexpr unsigned kMaxPort = 65'535;

std::optional<Address> ipv6_address(const std::string& host, unsigned port) {
    Address address;
    auto& ipv6 = reinterpret_cast<sockaddr_in6&>(address.storage);
    ipv6.sin6_family = AF_INET6;
    ipv6.sin6_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof ipv6;
    if (inet_pton(AF_INET6, host.c_str(), &ipv6.sin6_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

std::optional<Address> ipv4_address(const std::string& host, unsigned port) {
    Address address;
    auto& ipv4 = reinterpret_cast<sockaddr_in&>(address.storage);
    ipv4.sin_family = AF_INET;
    ipv4.sin_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof ipv4;
    if (inet_pton(AF_INET, host.c_str(), &ipv4.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

}  // namespace

std::optional<Address> address_of(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string host = text.substr(0, colon);
    unsigned port = 0;
    if (!protocol::parse_integer(std::string_view(text).substr(colon + 1), port) ||
        port > kMaxPort) {
        return std::nullopt;
    }
    const bool in_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return in_brackets ? ipv6_address(host.substr(1, host.size() - 2), port)
                       : ipv4_address(host, port);
}

std::string text_of(const Address& address) {
    char text[INET6_ADDRSTRLEN] = "?";
    std::uint16_t port = 0;
    if (address.storage.ss_family == AF_INET) {
        const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(address.storage);
        inet_ntop(AF_INET, &ipv4.sin_addr, text, sizeof text);
        port = ntohs(ipv4.sin_port);
    } else if (address.storage.ss_family == AF_INET6) {
        const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(address.storage);
        inet_ntop(AF_INET6, &ipv6.sin6_addr, text, sizeof text);
        port = ntohs(ipv6.sin6_port);
    }
    return std::string(text) + ":" + std::to_string(port);
}

std::string describe(const SocketError& error) {
    return std::strerror(error.error_number);
}

tl::expected<Socket, SocketError> Socket::listen(const Address& address) {
    const auto last_error = [] { return tl::unexpected(SocketError{errno}); };
    Socket socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!socket.is_open()) {
        return last_error();
    }
    const int yes = 1;
    if (::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0) {
        return last_error();
    }
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) !=
        0) {
        return last_error();
    }
    if (::listen(socket.fd(), kBacklog) != 0) {
        return last_error();
    }
    return socket;
}

Address Socket::local() const {
    Address address;
    address.length = sizeof address.storage;
    ::getsockname(fd(), reinterpret_cast<sockaddr*>(&address.storage), &address.length);
    return address;
}

Socket Socket::unconnected(const Address& address) {
    return Socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

namespace {

// Waits until the socket is connected. Returns 0, or an error number.
int await_connection(int fd, std::chrono::milliseconds timeout) {
    pollfd wait{fd, POLLOUT, 0};
    if (::poll(&wait, 1, static_cast<int>(timeout.count())) != 1) {
        return ETIMEDOUT;
    }
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    // POLLHUP: another thread shut the socket down before it was connected.
    return (wait.revents & POLLHUP) != 0 ? ECONNABORTED : error;
}

}  // namespace

bool Socket::connect(const Address& address, std::chrono::milliseconds timeout) const {
    const int flags = ::fcntl(fd(), F_GETFL);
    ::fcntl(fd(), F_SETFL, flags | O_NONBLOCK);
    int result =
        ::connect(fd(), reinterpret_cast<const sockaddr*>(&address.storage), address.length);
    if (result != 0 && errno == EINPROGRESS) {
        result = await_connection(fd(), timeout) == 0 ? 0 : -1;
    }
    ::fcntl(fd(), F_SETFL, flags);
    return result == 0;
}

void Socket::set_options(int send_bytes, int receive_bytes) const {
    const int yes = 1;
    ::setsockopt(fd(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    ::setsockopt(fd(), SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof send_bytes);
    ::setsockopt(fd(), SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
}

void Socket::set_receive_timeout(std::chrono::milliseconds timeout) const {
    const timeval time{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(fd(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Socket::has_bytes() const {
    char byte;
    return ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

namespace {

ssize_t receive_with(int fd, char* buffer, std::size_t max_bytes, int flags) {
    for (;;) {
        const ssize_t received = ::recv(fd, buffer, max_bytes, flags);
        if (received >= 0) {
            return received;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return Socket::kTimedOut;
        }
        if (errno != EINTR) {
            return Socket::kFailed;
        }
    }
}

}  // namespace

ssize_t Socket::receive(char* buffer, std::size_t max_bytes) const {
    return receive_with(fd(), buffer, max_bytes, 0);
}

ssize_t Socket::receive_now(char* buffer, std::size_t max_bytes) const {
    return receive_with(fd(), buffer, max_bytes, MSG_DONTWAIT);
}

ssize_t Socket::send_some(std::string_view bytes) const {
    for (;;) {
        const ssize_t sent = ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent >= 0) {
            return sent;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return 0;
        }
        if (errno != EINTR) {
            return kFailed;
        }
    }
}

bool Socket::send_all(std::string_view bytes) const {
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
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
    return ::send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
           static_cast<ssize_t>(bytes.size());
}

void Socket::end_sending() const {
    ::shutdown(fd(), SHUT_WR);
}

void Socket::shut_down() const {
    if (is_open()) {
        ::shutdown(fd(), SHUT_RDWR);
    }
}

}  // namespace micaroad::net
