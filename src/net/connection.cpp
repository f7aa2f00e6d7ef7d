#include "net/connection.hpp"

#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

Connection::Connection(House& house, StreamId id, Socket socket, std::string peer)
    : house_(house),
      id_(id),
      socket_(std::move(socket)),
      peer_(std::move(peer)),
      heard_(steady_clock::now()) {}

void Connection::read(Crew& crew) {
    const std::string why = read_to_end(crew);
    close();
    if (role_ == Role::stream)
        house_.inbox.put(arrival::StreamEnded{id_, why});
    else if (role_ == Role::collector)
        house_.log.info("collector {}: ended, {}", peer_, why);
    else
        house_.log.info("stranger {}: ended, {}", peer_, why);
}

std::string Connection::read_to_end(Crew& crew) {
    protocol::Pool::Lease buffer = house_.reading.take();
    if (!buffer) return "no buffer left";
    protocol::LineReader lines(house_.reading);
    std::string why;
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
        const auto fault = lines.feed({buffer->data(), static_cast<std::size_t>(got)},
                                      [&](std::string_view line) { return take(line, crew, why); });
        if (fault != protocol::LineFault::none) {
            if (fault != protocol::LineFault::not_taken) why = protocol::text_of(fault);
            house_.log.warn("{} sent what can't be used: {}", peer_, why);
            return why;
        }
    }
}

bool Connection::take(std::string_view line, Crew& crew, std::string& why) {
    const auto read = protocol::read_message(line, house_.names, house_.proxies);
    if (const auto* unreadable = std::get_if<protocol::Unreadable>(&read)) {
        why = unreadable->why;
        return false;
    }
    heard_ = steady_clock::now();
    return std::visit([&](const auto& said) { return take(said, crew, why); },
                      std::get<protocol::Message>(read));
}

bool Connection::take(const protocol::AliveAsked&, Crew&, std::string& why) {
    why = "it does not read";
    return role_ == Role::stream ? post(protocol::kAlive) == Posted::yes : socket_.send_now(protocol::kAlive);
}

bool Connection::take(const protocol::CollectorNamed& named, Crew&, std::string& why) {
    why = "a role on top of another";
    if (role_ != Role::stranger) return false;
    role_ = Role::collector;
    house_.log.info("collector {} speaks for {}", peer_, house_.names.zone(named.zone));
    return true;
}

bool Connection::take(const event::ProxyJoined& joined, Crew& crew, std::string& why) {
    why = "a role on top of another";
    if (role_ != Role::stranger) return false;
    why = "no thread left for its writer";
    if (!crew.start([self = shared_from_this()] { self->write_on(); })) return false;
    role_ = Role::stream;
    proxy_ = joined.proxy;
    socket_.wait_at_most(std::chrono::milliseconds{0});
    house_.inbox.put(arrival::StreamBegun{id_, joined});
    return true;
}

bool Connection::take(const event::MarkApplied& applied, Crew&, std::string& why) {
    why = "an answer that is not this proxy's";
    if (role_ != Role::stream || applied.proxy != proxy_) return false;
    house_.inbox.put(arrival::StreamAnswered{id_, applied});
    return true;
}

bool Connection::take(const event::Outcomes& met, Crew&, std::string& why) {
    why = "outcomes from what is no collector";
    if (role_ != Role::collector) return false;
    house_.inbox.put(arrival::Reported{met});
    return true;
}

bool Connection::take(const event::Arrivals& came, Crew&, std::string& why) {
    why = "usage from what is neither a collector nor that proxy";
    if (role_ == Role::stranger || (role_ == Role::stream && came.proxy != proxy_)) return false;
    house_.inbox.put(arrival::Reported{came});
    return true;
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
