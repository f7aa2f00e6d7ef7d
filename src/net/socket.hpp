/// A TCP socket that closes on destruction, and its address.
#pragma once

#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "net/file_descriptor.hpp"

namespace micaroad::net {

/// An IPv4 or IPv6 address with a port, as the socket calls take it.
struct Address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};
/// Parses "10.0.0.4:3000" or "[::1]:3000". Host names are not accepted, as there is no DNS. Port 0
/// stands for any free port.
[[nodiscard]] std::optional<Address> address_of(const std::string& text);
/// Formats the address and port; "?:0" for an address of another family.
[[nodiscard]] std::string text_of(const Address& address);

/// The error of a failed socket call.
struct SocketError {
    int error_number = 0;  ///< errno
};
std::string describe(const SocketError& error);

/// A blocking TCP socket that owns its descriptor. Functions whose name ends in `_now`, and
/// send_some(), do not block. Any thread may call shut_down() while another blocks on the socket;
/// all other functions are for one reader and one writer at a time.
class Socket {
 public:
    /// Results of receive() and receive_now() other than a number of bytes.
    static constexpr ssize_t kEndOfStream = 0;
    static constexpr ssize_t kFailed = -1;
    static constexpr ssize_t kTimedOut = -2;

    Socket() = default;
    explicit Socket(int fd) : descriptor_(fd) {}

    /// Opens a socket that listens on an address.
    [[nodiscard]] static tl::expected<Socket, SocketError> listen(const Address& address);
    /// A socket for connect(); not open if the kernel could not create one.
    [[nodiscard]] static Socket unconnected(const Address& address);
    /// Connects; returns false on an error or after `timeout`. Returns early if another thread
    /// shuts the socket down.
    [[nodiscard]] bool connect(const Address& address, std::chrono::milliseconds timeout) const;

    [[nodiscard]] bool is_open() const { return descriptor_.is_open(); }
    [[nodiscard]] int fd() const { return descriptor_.get(); }
    /// The local address.
    [[nodiscard]] Address local() const;
    /// Disables Nagle's algorithm and sets the sizes of the kernel's buffers in bytes, which bounds
    /// how much a peer can leave unread.
    void set_options(int send_bytes, int receive_bytes) const;
    /// Limits how long each receive() blocks; zero means no limit.
    void set_receive_timeout(std::chrono::milliseconds timeout) const;

    /// Whether received bytes are waiting in the kernel.
    [[nodiscard]] bool has_bytes() const;
    /// Receives up to `max_bytes`. Returns the number of bytes, or one of the constants above.
    [[nodiscard]] ssize_t receive(char* buffer, std::size_t max_bytes) const;
    /// Like receive(), but returns kTimedOut where that would block.
    [[nodiscard]] ssize_t receive_now(char* buffer, std::size_t max_bytes) const;
    /// Sends as many bytes as possible without blocking. Returns their number, or kFailed.
    [[nodiscard]] ssize_t send_some(std::string_view bytes) const;
    /// Sends all bytes, blocking if needed. Returns false on an error.
    bool send_all(std::string_view bytes) const;
    /// Sends all bytes without blocking. Returns false on an error or if it would block; some bytes
    /// may have been sent then.
    bool send_now(std::string_view bytes) const;
    /// Shuts down the sending half: the peer reads the end of the stream but can still send.
    void end_sending() const;
    /// Shuts down both halves and wakes every thread that blocks on the socket.
    void shut_down() const;

 private:
    FileDescriptor descriptor_;
};

}  // namespace micaroad::net
