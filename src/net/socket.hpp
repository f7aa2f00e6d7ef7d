/// A TCP socket that closes itself, and the address of one.
#pragma once

#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "net/file_descriptor.hpp"

namespace micaroad::net {

/// An address of IPv4 or IPv6 with its port, as the kernel has it.
struct Address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};
/// Parses "10.0.0.4:3000" or "[::1]:3000"; no names, as there is no DNS. Port 0: any that is free.
[[nodiscard]] std::optional<Address> address_of(const std::string& text);
/// The address and the port as text, "?:0" for an address of another family.
[[nodiscard]] std::string text_of(const Address& address);

/// A system call on a socket that failed.
struct SocketError {
    int error_number = 0;  ///< errno
};
std::string describe(const SocketError& error);

/// A blocking TCP socket; owns its descriptor. Functions whose name ends with `_now`, and
/// send_some(), do not wait. shut_down() may be called by any thread while another waits on the
/// socket; all else is for one reader and one writer at a time.
class Socket {
 public:
    /// What receive() and receive_now() give in place of a number of bytes.
    static constexpr ssize_t kEndOfStream = 0;
    static constexpr ssize_t kFailed = -1;
    static constexpr ssize_t kTimedOut = -2;

    Socket() = default;
    explicit Socket(int fd) : descriptor_(fd) {}

    /// Listens at an address.
    [[nodiscard]] static tl::expected<Socket, SocketError> listen(const Address& address);
    /// A socket to connect() with; not open if the kernel has none left.
    [[nodiscard]] static Socket unconnected(const Address& address);
    /// Connects, or gives up after `timeout`. Ends early when the socket is shut down from
    /// elsewhere.
    [[nodiscard]] bool connect(const Address& address, std::chrono::milliseconds timeout) const;

    [[nodiscard]] bool is_open() const { return descriptor_.is_open(); }
    [[nodiscard]] int fd() const { return descriptor_.get(); }
    /// The address on this side.
    [[nodiscard]] Address local() const;
    /// No Nagle, and kernel buffers of a stated size in bytes, which bounds what a peer leaves
    /// unread.
    void set_options(int send_bytes, int receive_bytes) const;
    /// The longest wait of each receive(); zero: no bound.
    void set_receive_timeout(std::chrono::milliseconds timeout) const;

    /// Whether bytes wait to be received.
    [[nodiscard]] bool has_bytes() const;
    /// Number of bytes received, or one of the constants above.
    [[nodiscard]] ssize_t receive(char* buffer, std::size_t max_bytes) const;
    /// The same; kTimedOut where it would wait.
    [[nodiscard]] ssize_t receive_now(char* buffer, std::size_t max_bytes) const;
    /// Sends as many bytes as go without waiting; gives their number, or kFailed.
    [[nodiscard]] ssize_t send_some(std::string_view bytes) const;
    /// Sends all and waits for the peer where it must. False on a fault.
    bool send_all(std::string_view bytes) const;
    /// Sends all at once. False on a fault or where it would wait; then some may have gone.
    bool send_now(std::string_view bytes) const;
    /// Ends the sending half: the peer reads our end, and can still be read.
    void end_sending() const;
    /// Ends both halves and wakes whoever waits on the socket.
    void shut_down() const;

 private:
    FileDescriptor descriptor_;
};

}  // namespace micaroad::net
