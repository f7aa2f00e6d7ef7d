#include "net/connection.hpp"

#include <algorithm>
#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxLoggedLineBytes = 200;

std::string to_printable(std::string_view line) {
    std::string text(line.substr(0, kMaxLoggedLineBytes));
    std::replace_if(
        text.begin(), text.end(), [](char byte) { return byte < ' ' || byte > '~'; }, '?');
    return text;
}

tl::unexpected<MessageError> make_message_error(MessageFault fault, std::string detail = {}) {
    return tl::unexpected(MessageError{fault, std::move(detail)});
}

}  // namespace

Connection::Connection(ConnectionContext& context, StreamId id, Socket socket, std::string peer)
    : context_(context),
      id_(id),
      socket_(std::move(socket)),
      peer_(std::move(peer)),
      last_message_at_(steady_clock::now()),
      line_reader_(context.line_buffers, kMaxUnidentifiedLineBytes),
      accepted_at_(last_message_at_) {
    socket_.set_options(kSendBufferBytes, kReceiveBufferBytes);
}

bool Connection::watch() {
    const std::lock_guard lock(mutex_);
    return state_ == State::closing || poller_->watch(socket_, id_.value);
}

void Connection::on_closed(const CloseReason& reason) {
    close();
    poller_->unwatch(socket_);
    switch (role()) {
        case Role::proxy:
            context_.inbox.put(core_event::StreamClosed{id_, describe(reason)});
            break;
        case Role::collector:
            context_.log.info("connection: collector closed peer={} reason=\"{}\"", peer_,
                              describe(reason));
            break;
        case Role::unidentified:
            context_.log.info("connection: unidentified peer closed peer={} reason=\"{}\"", peer_,
                              describe(reason));
            break;
    }
}

// Received bytes are read before the deadline is checked.
std::optional<CloseReason> Connection::on_readable(std::span<char> buffer) {
    {
        const std::lock_guard lock(mutex_);
        reading_ = true;
    }
    reach(context_.sync, SyncPoint::connection_ready);
    const ssize_t received = socket_.receive_now(buffer.data(), buffer.size());
    reach(context_.sync, SyncPoint::bytes_received);
    bool closing = false;
    {
        const std::lock_guard lock(mutex_);
        closing = state_ == State::closing;
    }
    std::optional<CloseReason> reason;
    if (received == Socket::kEndOfStream) {
        const bool mid_line = line_reader_.in_mid_line();
        reason =
            CloseReason{mid_line ? CloseCause::peer_closed_mid_line : CloseCause::peer_closed, {}};
    } else if (received == Socket::kFailed) {
        reason = CloseReason{CloseCause::reset, {}};
    } else if (received > 0 && !closing) {
        reason = handle_bytes({buffer.data(), static_cast<std::size_t>(received)});
    }
    {
        const std::lock_guard lock(mutex_);
        reading_ = false;
        mid_line_ = line_reader_.in_mid_line();
    }
    if (reason) {
        return reason;
    }
    if (const auto limit = deadline(); limit && *limit <= steady_clock::now()) {
        return timeout_reason();
    }
    return std::nullopt;
}

std::optional<CloseReason> Connection::handle_bytes(std::string_view bytes) {
    if (linger_) {
        linger_->bytes_read += bytes.size();
        return linger_->bytes_read > kMaxLingerBytes ? std::optional{linger_->reason}
                                                     : std::nullopt;
    }
    MessageResult result;
    const auto fault = line_reader_.feed(bytes, [&](std::string_view line) {
        result = handle_line(line);
        return result.has_value();
    });
    if (fault == protocol::LineFault::none) {
        return std::nullopt;
    }
    const CloseReason reason{CloseCause::invalid_input,
                             result ? protocol::describe(fault) : describe(result.error())};
    context_.log.warn("connection: invalid input peer={} reason=\"{}\"", peer_, describe(reason));
    return role_ == Role::unidentified ? reject(reason) : reason;
}

// Sends `error` and lets the connection linger: the sending half is shut down and input is read for
// a while, so that `error` is not lost. Returns the reason if `error` cannot be sent.
std::optional<CloseReason> Connection::reject(CloseReason reason) {
    {
        const std::lock_guard lock(mutex_);
        if (state_ == State::closing || !socket_.send_now(protocol::kError)) {
            return reason;
        }
        state_ = State::lingering;
    }
    socket_.end_sending();
    linger_ = Linger{std::move(reason), steady_clock::now()};
    return std::nullopt;
}

std::optional<Connection::TimePoint> Connection::deadline() const {
    if (linger_) {
        return linger_->since + kLingerTimeout;
    }
    switch (role()) {
        case Role::unidentified:
            return accepted_at_ + (line_reader_.in_mid_line() ? kMidLineJoinTimeout : kJoinTimeout);
        case Role::collector:
            return last_message_at() + kCollectorIdleTimeout;
        case Role::proxy:
            break;
    }
    return std::nullopt;
}

CloseReason Connection::timeout_reason() const {
    if (linger_) {
        return linger_->reason;
    }
    const bool unidentified = role_ == Role::unidentified;
    return {unidentified ? CloseCause::join_timeout : CloseCause::idle_timeout, {}};
}

// Returns an error if the connection must be closed: for an unparseable line, and for any error of
// an unidentified peer. Another error of an identified peer is logged and costs only that line.
Connection::MessageResult Connection::handle_line(std::string_view line) {
    const auto parsed = protocol::parse_message(line, context_.names, context_.bounds);
    if (const auto* unparseable = std::get_if<protocol::Unparseable>(&parsed)) {
        return make_message_error(MessageFault::unparseable, protocol::describe(*unparseable));
    }
    MessageResult result;
    if (const auto* malformed = std::get_if<protocol::Malformed>(&parsed)) {
        result = make_message_error(MessageFault::malformed, protocol::describe(*malformed));
    } else {
        last_message_at_ = steady_clock::now();
        result = std::visit([&](const auto& message) { return handle(message); },
                            std::get<protocol::Message>(parsed));
    }
    if (result || role_ == Role::unidentified) {
        return result;
    }
    context_.log.warn("connection: message dropped peer={} reason=\"{}\" line=\"{}\"", peer_,
                      describe(result.error()), to_printable(line));
    return {};
}

// Returns false if the connection is closing: an unidentified peer that was closed to make room
// must not become a stream.
bool Connection::identify(Role role) {
    const std::lock_guard lock(mutex_);
    if (state_ == State::closing) {
        return false;
    }
    role_ = role;
    // Takes effect at once, as a long line may directly follow the joining message.
    line_reader_.set_max_line_bytes(protocol::LineReader::kMaxLineBytes);
    return true;
}

Connection::MessageResult Connection::handle(const protocol::LivenessQuery& /*query*/) {
    const bool sent = role_ == Role::proxy ? send(protocol::kAlive) == SendResult::accepted
                                           : socket_.send_now(protocol::kAlive);
    if (!sent) {
        return make_message_error(MessageFault::peer_not_reading);
    }
    return {};
}

Connection::MessageResult Connection::handle(const protocol::CollectorIdentified& collector) {
    if (role_ != Role::unidentified) {
        return make_message_error(MessageFault::already_identified);
    }
    if (!identify(Role::collector)) {
        return make_message_error(MessageFault::connection_closing);
    }
    context_.log.info("connection: collector identified peer={} zone={}", peer_,
                      context_.names.zone(collector.zone));
    return {};
}

Connection::MessageResult Connection::handle(const event::ProxyJoined& joined) {
    if (role_ != Role::unidentified) {
        return make_message_error(MessageFault::already_identified);
    }
    if (!identify(Role::proxy)) {
        return make_message_error(MessageFault::connection_closing);
    }
    proxy_ = joined.proxy;
    context_.inbox.put(core_event::StreamOpened{id_, joined});
    return {};
}

Connection::MessageResult Connection::handle(const event::Acknowledgement& acknowledgement) {
    if (role_ != Role::proxy || acknowledgement.proxy != proxy_) {
        return make_message_error(MessageFault::foreign_acknowledgement);
    }
    put_bounded(kMaxAcknowledgements, core_event::StreamAcknowledged{id_, acknowledgement});
    return {};
}

Connection::MessageResult Connection::handle(const event::EndpointLoadReport& report) {
    if (role_ != Role::collector) {
        return make_message_error(MessageFault::report_not_allowed);
    }
    put_bounded(Inbox::kMaxReportsPerPeer, core_event::ReportReceived{report});
    return {};
}

Connection::MessageResult Connection::handle(const event::DemandReport& report) {
    const bool of_collector = role_ == Role::collector;
    const bool of_that_proxy = role_ == Role::proxy && report.proxy == proxy_;
    if (!of_collector && !of_that_proxy) {
        return make_message_error(MessageFault::demand_not_allowed);
    }
    put_bounded(of_that_proxy ? kMaxAcknowledgements : Inbox::kMaxReportsPerPeer,
                core_event::ReportReceived{report});
    return {};
}

void Connection::put_bounded(std::size_t max_events, CoreEvent event) {
    if (!context_.inbox.put_bounded(id_, max_events, std::move(event))) {
        count_dropped();
    }
}

// Counts a message dropped because its peer exceeds its bound, and logs one line per
// kDropLogInterval, so that a flood of messages does not flood the log.
void Connection::count_dropped() {
    ++dropped_messages_;
    const auto now = steady_clock::now();
    if (now - drops_logged_at_ < kDropLogInterval) {
        return;
    }
    context_.log.warn("connection: messages dropped peer={} count={} reason=\"over its bound\"",
                      peer_, std::exchange(dropped_messages_, 0));
    drops_logged_at_ = now;
}

Connection::SendResult Connection::send(std::string_view message) {
    const std::lock_guard lock(mutex_);
    if (state_ == State::closing) {
        return SendResult::accepted;
    }
    if (pending_.size() > kMaxPendingBytes) {
        return SendResult::peer_not_reading;
    }
    if (!pending_.append(context_.write_buffers, message)) {
        return SendResult::no_buffer;
    }
    if (!watches_writable_) {
        send_pending();
    }
    return SendResult::accepted;
}

std::size_t Connection::pending_bytes() {
    const std::lock_guard lock(mutex_);
    return pending_.size();
}

void Connection::on_writable() {
    const std::lock_guard lock(mutex_);
    if (state_ != State::closing) {
        send_pending();
    }
}

// Sends as many bytes as the kernel accepts. The rest waits until the socket is writable.
void Connection::send_pending() {
    bool kernel_full = false;
    while (!kernel_full && (partly_sent_ || !pending_.empty())) {
        if (!partly_sent_) {
            partly_sent_ = pending_.take_front();
            partly_sent_bytes_ = 0;
        }
        const ssize_t sent = socket_.send_some(partly_sent_->view().substr(partly_sent_bytes_));
        if (sent < 0) {
            socket_.shut_down();  // the event loop reads the end of the stream
            return;
        }
        partly_sent_bytes_ += static_cast<std::size_t>(sent);
        kernel_full = partly_sent_bytes_ < partly_sent_->size;
        if (!kernel_full) {
            partly_sent_.reset();
        }
    }
    if (poller_ != nullptr && kernel_full != watches_writable_) {
        poller_->watch_writable(socket_, id_.value, kernel_full);
    }
    watches_writable_ = kernel_full;
}

void Connection::close() {
    const std::lock_guard lock(mutex_);
    state_ = State::closing;
    // Freed at once, as other connections may need the buffers.
    pending_.clear();
    partly_sent_.reset();
    socket_.shut_down();
}

bool Connection::close_if_idle(bool include_mid_line) {
    const std::lock_guard lock(mutex_);
    if (role_ != Role::unidentified || state_ == State::closing || reading_) {
        return false;
    }
    if (state_ != State::lingering && socket_.has_bytes()) {
        return false;
    }
    if (mid_line_ && !include_mid_line) {
        return false;
    }
    state_ = State::closing;
    socket_.shut_down();
    return true;
}

}  // namespace micaroad::net
