#include "net/connection.hpp"

#include <algorithm>
#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

namespace {

constexpr const char *kSecondRole = "a role on top of another",
                     *kShed = "its place went to another";

std::string printable(std::string_view line) {
    std::string text(line.substr(0, 200));
    std::replace_if(text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

}  // namespace

Connection::Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer)
    : context_(context),
      id_(id),
      socket_(std::move(socket)),
      peer_(std::move(peer)),
      lines_(context.lines, kUnidentifiedLine),
      taken_(steady_clock::now()),
      heard_(taken_) {
    socket_.set_up(kKernelSend, kKernelReceive);
}

// One that was closed meanwhile needs no watching: it ends with its last owner.
bool Connection::watch() {
    const std::lock_guard lock(mutex_);
    return closing_ || poller_->watch(socket_, id_.value);
}

void Connection::ended(const std::string& why) {
    close();
    poller_->leave(socket_);
    if (role_ == Role::stream) {
        context_.inbox.put(core_event::StreamClosed{id_, why});
    } else if (role_ == Role::collector) {
        context_.log.info("collector {}: ended, {}", peer_, why);
    } else {
        context_.log.info("unidentified peer {}: ended, {}", peer_, why);
    }
}

// What has come is read before its date is looked at.
std::optional<std::string> Connection::handle(char* into, std::size_t most) {
    {
        const std::lock_guard lock(mutex_);
        hearing_ = true;
    }
    reach(context_.sync, SyncPoint::connection_ready);
    const ssize_t got = socket_.receive_now(into, most);
    reach(context_.sync, SyncPoint::bytes_received);
    std::optional<std::string> why;
    if (got == 0) {
        why = lines_.in_mid_line() ? "its end, in mid-line" : "its end";
    }
    if (got == -1) {
        why = "reset";
    }
    if (got > 0) {
        why = take_bytes({into, static_cast<std::size_t>(got)});
    }
    {
        const std::lock_guard lock(mutex_);
        hearing_ = false, in_mid_line_ = lines_.in_mid_line();
    }
    if (const auto by = due(); !why && by && *by <= steady_clock::now()) {
        why = overdue();
    }
    return why;
}

std::optional<std::string> Connection::take_bytes(std::string_view bytes) {
    if (refused_) {
        refused_->read += bytes.size();
        return refused_->read > kMostLingered ? std::optional{refused_->why} : std::nullopt;
    }
    std::string why;
    const auto fault =
        lines_.feed(bytes, [&](std::string_view line) { return (why = take(line)).empty(); });
    if (fault == protocol::LineFault::none) {
        return std::nullopt;
    }
    if (why.empty()) {
        why = protocol::describe(fault);
    }
    context_.log.warn("{} sent what can't be used: {}", peer_, why);
    return role_ == Role::unidentified ? refuse(why) : why;
}

// Guards against the `error` that is owed getting lost: its own half is closed, and the peer's read
// on for a while.
std::optional<std::string> Connection::refuse(const std::string& why) {
    {
        const std::lock_guard lock(mutex_);
        if (closing_ || !socket_.send_now(protocol::kError)) {
            return why;
        }
        lingering_ = true;
    }
    socket_.end_sending();
    refused_ = {why, steady_clock::now()};
    return std::nullopt;
}

std::optional<steady_clock::time_point> Connection::due() const {
    if (refused_) {
        return refused_->since + kLinger;
    }
    switch (role_) {
        case Role::unidentified:
            return taken_ + (lines_.in_mid_line() ? kLineDue : kJoinDue);
        case Role::collector:
            return heard_ + kCollectorPatience;
        case Role::stream:
            break;
    }
    return std::nullopt;
}

std::string Connection::overdue() const {
    if (refused_) {
        return refused_->why;
    }
    return role_ == Role::unidentified ? "it did not join in time" : "it fell silent";
}

// What a joined peer says amiss costs it that line; an unidentified peer has nothing to lose.
std::string Connection::take(std::string_view line) {
    const auto verdict = protocol::parse_message(line, context_.names, context_.bounds);
    if (const auto* unreadable = std::get_if<protocol::Unparseable>(&verdict)) {
        return protocol::describe(*unreadable);
    }
    std::string why;
    if (const auto* spoilt = std::get_if<protocol::Malformed>(&verdict)) {
        why = protocol::describe(*spoilt);
    } else {
        heard_ = steady_clock::now();
        why = std::visit([&](const auto& said) { return take(said); },
                         std::get<protocol::Message>(verdict));
    }
    if (why.empty() || role_ == Role::unidentified) {
        return why;
    }
    context_.log.warn("{}: a line is dropped: {}: {}", peer_, why, printable(line));
    return {};
}

// Not once it is to end: an unidentified peer that is shed is not taken any more.
bool Connection::become(Role role) {
    const std::lock_guard lock(mutex_);
    if (closing_) {
        return false;
    }
    role_ = role;
    lines_.allow(
        protocol::LineReader::kLongest);  // at once: a long line may stand right behind its joining
    return true;
}

std::string Connection::take(const protocol::LivenessQuery&) {
    const bool sent = role_ == Role::stream ? post(protocol::kAlive) == Posted::yes
                                            : socket_.send_now(protocol::kAlive);
    return sent ? "" : "it does not read";
}

std::string Connection::take(const protocol::CollectorIdentified& named) {
    if (role_ != Role::unidentified) {
        return kSecondRole;
    }
    if (!become(Role::collector)) {
        return kShed;
    }
    context_.log.info("collector {} speaks for {}", peer_, context_.names.zone(named.zone));
    return {};
}

std::string Connection::take(const event::ProxyJoined& joined) {
    if (role_ != Role::unidentified) {
        return kSecondRole;
    }
    if (!become(Role::stream)) {
        return kShed;
    }
    proxy_ = joined.proxy;
    context_.inbox.put(core_event::StreamOpened{id_, joined});
    return {};
}

std::string Connection::take(const event::Acknowledgement& applied) {
    if (role_ != Role::stream || applied.proxy != proxy_) {
        return "an answer that is not this proxy's";
    }
    if (!context_.inbox.put_bounded(id_, kMostAnswers,
                                    core_event::StreamAcknowledged{id_, applied})) {
        count_dropped();
    }
    return {};
}

std::string Connection::take(const event::EndpointLoadReport& met) {
    if (role_ != Role::collector) {
        return "outcomes from what is no collector";
    }
    if (!context_.inbox.put_bounded(id_, Inbox::kMostReportsOfOne,
                                    core_event::ReportReceived{met})) {
        count_dropped();
    }
    return {};
}

std::string Connection::take(const event::DemandReport& came) {
    if (role_ == Role::unidentified || (role_ == Role::stream && came.proxy != proxy_)) {
        return "usage from what is neither a collector nor that proxy";
    }
    const std::size_t most = role_ == Role::stream ? kMostAnswers : Inbox::kMostReportsOfOne;
    if (!context_.inbox.put_bounded(id_, most, core_event::ReportReceived{came})) {
        count_dropped();
    }
    return {};
}

// Guards against a peer that floods: what it says past its part costs it that, and the log a line
// in a while.
void Connection::count_dropped() {
    ++dropped_;
    const auto now = steady_clock::now();
    if (now - counted_ < kDroppedSaidEvery) {
        return;
    }
    context_.log.warn("{}: {} messages dropped: more came at once than one peer may say", peer_,
                      std::exchange(dropped_, 0));
    counted_ = now;
}

Connection::Posted Connection::post(std::string_view message) {
    const std::lock_guard lock(mutex_);
    if (closing_) {
        return Posted::yes;  // its end is on the way
    }
    if (unread_.size() > kMostUnread) {
        return Posted::not_read;
    }
    if (!unread_.append(context_.writing, message)) {
        return Posted::no_buffer;
    }
    if (!waits_for_room_) {
        send_on();
    }
    return Posted::yes;
}

std::size_t Connection::unread() {
    const std::lock_guard lock(mutex_);
    return unread_.size();
}

void Connection::flush() {
    const std::lock_guard lock(mutex_);
    if (!closing_) {
        send_on();
    }
}

// As much as the kernel takes at once. What is left waits for room, of which the event loop tells.
void Connection::send_on() {
    bool full = false;
    while (!full && (first_ || !unread_.empty())) {
        if (!first_) {
            first_ = unread_.take_front(), sent_ = 0;
        }
        const ssize_t sent = socket_.send_some(first_->view().substr(sent_));
        if (sent < 0) {
            return socket_.shut_down();  // the event loop hears its end
        }
        sent_ += static_cast<std::size_t>(sent);
        full = sent_ < first_->size;
        if (!full) {
            first_.reset();
        }
    }
    if (poller_ != nullptr && full != waits_for_room_) {
        poller_->watch_room(socket_, id_.value, full);
    }
    waits_for_room_ = full;
}

void Connection::close() {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    unread_.clear(), first_.reset();  // at once: others may need the room
    socket_.shut_down();
}

bool Connection::close_if_idle(bool in_mid_line) {
    const std::lock_guard lock(mutex_);
    if (role_ != Role::unidentified || closing_ || hearing_) {
        return false;
    }
    if (!lingering_ && socket_.has_bytes()) {
        return false;
    }
    if (in_mid_line_ && !in_mid_line) {
        return false;
    }
    closing_ = true;
    socket_.shut_down();
    return true;
}

}  // namespace micaroad::net
