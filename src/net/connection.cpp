#include "net/connection.hpp"

#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

namespace {

constexpr const char* kSecondRole = "a role on top of another";

}  // namespace

Connection::Connection(House& house, Crew& crew, StreamId id, Socket socket, std::string peer)
    : house_(house),
      crew_(crew),
      id_(id),
      socket_(std::move(socket)),
      peer_(std::move(peer)),
      heard_(steady_clock::now()) {}

void Connection::read() {
    const std::string why = read_to_end();
    close();
    if (role_ == Role::stream)
        house_.inbox.put(arrival::StreamEnded{id_, why});
    else if (role_ == Role::collector)
        house_.log.info("collector {}: ended, {}", peer_, why);
    else
        house_.log.info("stranger {}: ended, {}", peer_, why);
}

std::string Connection::read_to_end() {
    protocol::Pool::Lease buffer = house_.reading.take();
    if (!buffer) return "no buffer left";
    protocol::LineReader lines(house_.reading);
    socket_.set_up(kKernelSend, kKernelReceive);
    socket_.wait_at_most(kStrangerPatience);
    for (;;) {
        const ssize_t got = socket_.receive(buffer->data(), buffer->size());
        if (got == 0) return lines.in_mid_line() ? "its end, in mid-line" : "its end";
        if (got == -1) return "reset";
        const auto silent = steady_clock::now() - heard_;
        if (role_ == Role::stranger && silent >= kStrangerPatience) return "it said nothing in time";
        if (role_ == Role::collector && silent >= kCollectorPatience) return "it fell silent";
        if (got == -2) continue;
        std::string why;
        const auto fault = lines.feed({buffer->data(), static_cast<std::size_t>(got)},
                                      [&](std::string_view line) { return (why = take(line)).empty(); });
        if (fault != protocol::LineFault::none) {
            if (why.empty()) why = protocol::text_of(fault);
            house_.log.warn("{} sent what can't be used: {}", peer_, why);
            return why;
        }
    }
}

std::string Connection::take(std::string_view line) {
    const auto read = protocol::read_message(line, house_.names, house_.proxies);
    if (const auto* unreadable = std::get_if<protocol::Unreadable>(&read)) return unreadable->why;
    heard_ = steady_clock::now();
    return std::visit([&](const auto& said) { return take(said); }, std::get<protocol::Message>(read));
}

std::string Connection::take(const protocol::AliveAsked&) {
    const bool sent =
        role_ == Role::stream ? post(protocol::kAlive) == Posted::yes : socket_.send_now(protocol::kAlive);
    return sent ? "" : "it does not read";
}

std::string Connection::take(const protocol::CollectorNamed& named) {
    if (role_ != Role::stranger) return kSecondRole;
    role_ = Role::collector;
    house_.log.info("collector {} speaks for {}", peer_, house_.names.zone(named.zone));
    return {};
}

std::string Connection::take(const event::ProxyJoined& joined) {
    if (role_ != Role::stranger) return kSecondRole;
    if (!crew_.start([self = shared_from_this()] { self->write_on(); }))
        return "no thread left for its writer";
    role_ = Role::stream;
    proxy_ = joined.proxy;
    socket_.wait_at_most(std::chrono::milliseconds{0});
    house_.inbox.put(arrival::StreamBegun{id_, joined});
    return {};
}

std::string Connection::take(const event::MarkApplied& applied) {
    if (role_ != Role::stream || applied.proxy != proxy_) return "an answer that is not this proxy's";
    house_.inbox.put(arrival::StreamAnswered{id_, applied});
    return {};
}

std::string Connection::take(const event::Outcomes& met) {
    if (role_ != Role::collector) return "outcomes from what is no collector";
    house_.inbox.put(arrival::Reported{met});
    return {};
}

std::string Connection::take(const event::Arrivals& came) {
    if (role_ == Role::stranger || (role_ == Role::stream && came.proxy != proxy_))
        return "usage from what is neither a collector nor that proxy";
    house_.inbox.put(arrival::Reported{came});
    return {};
}

Connection::Posted Connection::post(std::string_view message) {
    {
        const std::lock_guard lock(mutex_);
        if (closing_) return Posted::yes;  // its end is on the way
        if (unread_.size() > kMostUnread) return Posted::not_read;
        if (!unread_.append(house_.writing, message)) return Posted::no_buffer;
    }
    wake_.notify_one();
    return Posted::yes;
}

std::size_t Connection::unread() {
    const std::lock_guard lock(mutex_);
    return unread_.size();
}

void Connection::close() {
    {
        const std::lock_guard lock(mutex_);
        closing_ = true;
        unread_.clear();  // at once: others may need the room
    }
    wake_.notify_one();
    socket_.shut_down();
}

void Connection::write_on() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [this] { return closing_ || !unread_.empty(); });
        if (closing_) return;
        const protocol::Chain::Piece piece = unread_.take_front();
        lock.unlock();
        if (!socket_.send_all(piece.view())) socket_.shut_down();  // the reader sees its end
        lock.lock();
    }
}

}  // namespace micaroad::net
