// One TCP connection or local socket pair end in the loop: bytes in any pieces in, whole texts out.
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

// Binds the address and takes connections; port 0 is replaced by the one that was found. Throws
// std::system_error.
Descriptor listen_at(LoopbackAddress& address);
Descriptor begin_connect(const LoopbackAddress& address);  // not open if no socket could be had
Descriptor accept_from(const Descriptor& listener);        // not open if nobody waits

// Told of what happens on a channel. None of these may destroy the channel at once: see
// Loop::retire().
class ChannelOwner {
 public:
    virtual ~ChannelOwner() = default;
    virtual void connected() {}
    virtual void received(std::string_view bytes) = 0;
    virtual void ended() = 0;  // once; not after close()
};

class Channel : public Handler {
 public:
    // Text that may be on its way on many channels at once.
    using Text = std::shared_ptr<const std::string>;

    Channel(Loop& loop, Role role, Descriptor socket, bool connecting, ChannelOwner& owner);
    ~Channel() override;

    void send(Text text);
    void send(std::string text) { send(std::make_shared<const std::string>(std::move(text))); }
    void close();  // the owner hears no more of it
    bool open() const { return socket_.open() && !connecting_; }
    std::size_t queued() const { return queued_; }  // bytes that the peer has no room for yet

 private:
    static constexpr std::size_t kReadBytes = 64 * 1024;
    static constexpr int kReadsATurn = 4;  // then others have theirs

    void ready(std::uint32_t events) override;
    bool read_some();  // false: the peer has ended it
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
    std::deque<Text> texts_;
    std::size_t sent_ = 0;  // of the first text
    std::size_t queued_ = 0;
};

// Closes the channel and lets it go once the loop is through with it; none is fine.
void drop(Loop& loop, std::unique_ptr<Channel>& channel);

// Accepts connections in the loop and hands them over.
class Listener : public Handler {
 public:
    using Take = std::function<void(Descriptor)>;
    Listener(Loop& loop, Role role, Descriptor socket, Take take);
    ~Listener() override;

 private:
    void ready(std::uint32_t events) override;

    Loop& loop_;
    Descriptor socket_;
    const Take take_;
    const Loop::Token token_;
};

// Bytes in any pieces to lines that end in LF or CRLF.
class LineSplitter {
 public:
    // Calls line(std::string_view) for each line, without its end.
    template <class Line>
    void feed(std::string_view bytes, const Line& line) {
        held_.append(bytes);
        std::size_t begin = 0;
        for (std::size_t end; (end = held_.find('\n', begin)) != std::string::npos;
             begin = end + 1) {
            std::string_view whole = std::string_view(held_).substr(begin, end - begin);
            if (whole.ends_with('\r')) {
                whole.remove_suffix(1);
            }
            line(whole);
        }
        held_.erase(0, begin);
    }
    void clear() { held_.clear(); }

 private:
    std::string held_;
};

}  // namespace micaroad::scale::wire
