#include "wire_channel.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace micaroad::scale::wire {
namespace {

constexpr int kBacklog = 1'024;
constexpr int kSocketType = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;

sockaddr_in socket_address(const LoopbackAddress& address) {
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl(address.host);
    in.sin_port = htons(address.port);
    return in;
}

void set_no_delay(const Descriptor& socket) {
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void fail(const std::string& what) {
    throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

std::string LoopbackAddress::text() const {
    return fmt::format("{}.{}.{}.{}:{}", host >> 24, (host >> 16) & 255, (host >> 8) & 255,
                       host & 255, port);
}

Descriptor::Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}

Descriptor::~Descriptor() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

Descriptor listen_at(LoopbackAddress& address) {
    Descriptor socket(::socket(AF_INET, kSocketType, 0));
    if (!socket.open()) {
        fail("socket");
    }
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in in = socket_address(address);
    if (bind(socket.get(), reinterpret_cast<sockaddr*>(&in), sizeof in) != 0) {
        fail("bind " + address.text());
    }
    if (listen(socket.get(), kBacklog) != 0) {
        fail("listen");
    }
    socklen_t length = sizeof in;
    if (getsockname(socket.get(), reinterpret_cast<sockaddr*>(&in), &length) != 0) {
        fail("getsockname");
    }
    address.port = ntohs(in.sin_port);
    return socket;
}

Descriptor begin_connect(const LoopbackAddress& address) {
    Descriptor socket(::socket(AF_INET, kSocketType, 0));
    if (!socket.open()) {
        return {};
    }
    set_no_delay(socket);
    const sockaddr_in in = socket_address(address);
    const int result = connect(socket.get(), reinterpret_cast<const sockaddr*>(&in), sizeof in);
    if (result != 0 && errno != EINPROGRESS) {
        return {};
    }
    return socket;
}

Descriptor accept_from(const Descriptor& listener) {
    Descriptor socket(accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.open()) {
        set_no_delay(socket);
    }
    return socket;
}

Channel::Channel(Loop& loop, Role role, Descriptor socket, bool connecting, ChannelOwner& owner)
    : Handler(role),
      loop_(loop),
      owner_(owner),
      socket_(std::move(socket)),
      connecting_(connecting) {
    watched_ = connecting_ ? EPOLLOUT : EPOLLIN;
    token_ = loop_.watch(socket_.get(), watched_, *this);
}

Channel::~Channel() {
    close();
}

void Channel::close() {
    if (!socket_.open()) {
        return;
    }
    loop_.unwatch(token_, socket_.get());
    socket_ = Descriptor{};
    queue_.clear();
    queued_ = 0;
}

void Channel::end() {
    if (!socket_.open()) {
        return;
    }
    close();
    owner_.ended();
}

void Channel::send(Text text) {
    if (!socket_.open() || text->empty()) {
        return;
    }
    queued_ += text->size();
    queue_.push_back(std::move(text));
    // An error of the write is ignored here: the loop finds it again when it reads, so that ended()
    // is never called from within send().
    if (queue_.size() == 1 && !connecting_) {
        write_some();
    }
    watch();
}

void Channel::watch() {
    const std::uint32_t wanted = connecting_ || queued_ > 0 ? EPOLLIN | EPOLLOUT : EPOLLIN;
    if (wanted == watched_ || !socket_.open()) {
        return;
    }
    watched_ = wanted;
    loop_.change(token_, socket_.get(), watched_);
}

bool Channel::write_some() {
    while (!queue_.empty()) {
        const std::string& text = *queue_.front();
        const ssize_t sent =
            ::send(socket_.get(), text.data() + sent_, text.size() - sent_, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        sent_ += static_cast<std::size_t>(sent);
        queued_ -= static_cast<std::size_t>(sent);
        if (sent_ < text.size()) {
            continue;
        }
        queue_.pop_front();
        sent_ = 0;
    }
    return true;
}

bool Channel::read_some() {
    static char buffer[kReadBytes];  // safe: one thread, and received() never reads in turn
    for (int i = 0; i < kMaxReadsPerTurn && socket_.open(); ++i) {
        const ssize_t count = recv(socket_.get(), buffer, sizeof buffer, 0);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (count == 0) {
            return false;
        }
        owner_.received({buffer, static_cast<std::size_t>(count)});
        if (static_cast<std::size_t>(count) < sizeof buffer) {
            break;
        }
    }
    return true;
}

bool Channel::finish_connect() {
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return false;
    }
    connecting_ = false;
    owner_.connected();
    return true;
}

void Channel::ready(std::uint32_t events) {
    if (connecting_ && !finish_connect()) {
        return end();
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !read_some()) {
        return end();
    }
    if (!socket_.open()) {
        return;
    }
    if ((events & EPOLLOUT) != 0 && !write_some()) {
        return end();
    }
    watch();
}

void drop(Loop& loop, std::unique_ptr<Channel>& channel) {
    if (channel == nullptr) {
        return;
    }
    channel->close();
    loop.retire(std::move(channel));
}

Listener::Listener(Loop& loop, Role role, Descriptor socket, AcceptCallback on_accept)
    : Handler(role),
      loop_(loop),
      socket_(std::move(socket)),
      on_accept_(std::move(on_accept)),
      token_(loop_.watch(socket_.get(), EPOLLIN, *this)) {}

Listener::~Listener() {
    loop_.unwatch(token_, socket_.get());
}

void Listener::ready(std::uint32_t) {
    for (Descriptor socket = accept_from(socket_); socket.open(); socket = accept_from(socket_)) {
        on_accept_(std::move(socket));
    }
}

}  // namespace micaroad::scale::wire
