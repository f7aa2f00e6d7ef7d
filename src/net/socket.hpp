// A blocking TCP socket that closes itself, and the address of one.
#pragma once

#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace micaroad::net {

struct Address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};
// "10.0.0.4:3000" or "[::1]:3000"; no names, as there is no DNS. Port 0: any that is free.
std::optional<Address> address_of(const std::string& text);
std::string text_of(const Address& address);

class Socket {
 public:
    Socket() = default;
    explicit Socket(int fd) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket& operator=(Socket&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Socket();

    static Socket listening(const Address& address,
                            std::string& why);  // not open if that failed: why
    static Socket unconnected(const Address& address);
    // Ends early when the socket is shut down from elsewhere.
    bool connect(const Address& address, std::chrono::milliseconds most);

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    Address local() const;
    // No Nagle, and kernel buffers of a stated size: what a peer leaves unread is to be bounded.
    void set_up(int send_bytes, int receive_bytes) const;
    void wait_at_most(std::chrono::milliseconds most) const;  // of each receive; zero: for ever
    // Number of bytes, 0 at the end, -1 on a fault, -2 when the wait is over.
    bool has_bytes() const;  // that wait to be received
    ssize_t receive(char* into, std::size_t most) const;
    ssize_t receive_now(char* into, std::size_t most) const;  // -2 where it would wait
    ssize_t send_some(
        std::string_view bytes) const;            // as many as go without waiting; -1 on a fault
    bool send_all(std::string_view bytes) const;  // waits for the peer
    bool send_now(std::string_view bytes) const;  // false if that would wait
    void end_sending() const;                     // the peer hears our end, and can be heard on
    void shut_down() const;                       // any thread: whoever waits on it is woken

 private:
    int fd_ = -1;
};

}  // namespace micaroad::net
