// Sockets in the event loop: connections that receive bytes and send queued texts, listeners, and a
// splitter of received bytes into lines.
#pragma once

#include <netinet/in.h>

#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "wire_loop.hpp"

namespace micaroad::scale::wire {

// An IPv4 loopback address and port, in host order.
struct LoopbackAddress {
    std::uint32_t host = INADDR_LOOPBACK;
    std::uint16_t port = 0;
    std::string text() const;  // "127.1.2.3:4567"
};

// A file descriptor that closes itself.
class Descriptor {
 public:
    Descriptor() = default;
    explicit Descriptor(int fd) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    ~Descriptor();
    int get() const { return fd_; }
    bool open() const { return fd_ >= 0; }

 private:
    int fd_ = -1;
};

// Binds the address and listens on it. Port 0 is replaced by the port that the kernel chose. Throws
// std::system_error.
Descriptor listen_at(LoopbackAddress& address);
Descriptor begin_connect(const LoopbackAddress& address);  // not open if it failed at once
Descriptor accept_from(const Descriptor& listener);        // not open if no connection is pending

// Receives the events of a channel. No callback may destroy the channel directly; see
// Loop::retire().
class ChannelOwner {
 public:
    virtual ~ChannelOwner() = default;
    virtual void connected() {}
    virtual void received(std::string_view bytes) = 0;
    virtual void ended() = 0;  // called at most once, and not after close()
};

class Channel : public Handler {
 public:
    // Shared, so that one text can be queued on many channels.
    using Text = std::shared_ptr<const std::string>;

    Channel(Loop& loop, Role role, Descriptor socket, bool connecting, ChannelOwner& owner);
    ~Channel() override;

    void send(Text text);
    void send(std::string text) { send(std::make_shared<const std::string>(std::move(text))); }
    void close();  // the owner gets no further callbacks
    bool open() const { return socket_.open() && !connecting_; }
    std::size_t queued() const { return queued_; }  // bytes not yet accepted by the kernel

 private:
    static constexpr std::size_t kReadBytes = 64 * 1024;
    static constexpr int kMaxReadsPerTurn = 4;  // then the other handlers get their turn

    void ready(std::uint32_t events) override;
    bool read_some();  // false: the connection was closed or failed
    bool write_some();
    bool finish_connect();
    void watch();
    void end();

    Loop& loop_;
    ChannelOwner& owner_;
    Descriptor socket_;
    bool connecting_;
    Loop::Token token_ = 0;
    std::uint32_t watched_ = 0;
    std::deque<Text> queue_;
    std::size_t sent_ = 0;  // bytes of the first text in the queue
    std::size_t queued_ = 0;
};

// Closes the channel and destroys it at the end of the loop's turn. The pointer may be null.
void drop(Loop& loop, std::unique_ptr<Channel>& channel);

// Accepts connections in the loop and passes each to the callback.
class Listener : public Handler {
 public:
    using AcceptCallback = std::function<void(Descriptor)>;
    Listener(Loop& loop, Role role, Descriptor socket, AcceptCallback on_accept);
    ~Listener() override;

 private:
    void ready(std::uint32_t events) override;

    Loop& loop_;
    Descriptor socket_;
    const AcceptCallback on_accept_;
    const Loop::Token token_;
};

// Splits bytes that arrive in arbitrary pieces into lines that end in LF or CRLF.
class LineSplitter {
 public:
    // Calls line(std::string_view) for each complete line, without its line end.
    template <class Line>
    void feed(std::string_view bytes, const Line& line) {
        buffer_.append(bytes);
        std::size_t begin = 0;
        for (std::size_t end; (end = buffer_.find('\n', begin)) != std::string::npos;
             begin = end + 1) {
            std::string_view whole = std::string_view(buffer_).substr(begin, end - begin);
            if (whole.ends_with('\r')) {
                whole.remove_suffix(1);
            }
            line(whole);
        }
        buffer_.erase(0, begin);
    }
    void clear() { buffer_.clear(); }

 private:
    std::string buffer_;
};

}  // namespace micaroad::scale::wire
