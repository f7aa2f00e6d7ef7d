#include "net/acceptor.hpp"

#include <cerrno>
#include <cstring>
#include <thread>

namespace micaroad::net {

namespace {

bool is_out_of_resources(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

bool is_shut_down(int error) {
    return error == EINVAL || error == EBADF;
}

}  // namespace

std::string describe(const AcceptorError& error) {
    switch (error.cause) {
        case AcceptorError::Cause::not_listening:
            return describe(error.socket);
        case AcceptorError::Cause::no_thread:
            return "no thread";
    }
    return "unknown cause";
}

Acceptor::Acceptor(const ConnectionContext& context, std::size_t max_connections,
                   std::size_t max_unidentified)
    : context_(context),
      max_connections_(max_connections),
      max_unidentified_(max_unidentified),
      loop_(context_, [this](StreamId id) {
          const std::lock_guard lock(mutex_);
          connections_.erase(id);
          unidentified_.erase(id);
      }) {}

Acceptor::~Acceptor() {
    shutdown();
}

tl::expected<void, AcceptorError> Acceptor::open(const Address& address) {
    auto listener = Socket::listen(address);
    if (!listener) {
        return tl::unexpected(AcceptorError{AcceptorError::Cause::not_listening, listener.error()});
    }
    listener_ = std::move(*listener);
    const bool started =
        threads_.start([this] { run(); }) && threads_.start([this] { loop_.run(); });
    if (!started) {
        return tl::unexpected(AcceptorError{AcceptorError::Cause::no_thread});
    }
    return {};
}

void Acceptor::begin_shutdown() {
    listener_.shut_down();
    {
        const std::lock_guard lock(mutex_);
        shutting_down_ = true;
        for (const auto& [id, connection] : connections_) {
            connection->close();
        }
    }
    loop_.stop();
}

void Acceptor::shutdown() {
    begin_shutdown();
    threads_.wait();
    // Closes the sockets. A peer that blocks in send() would otherwise hang: a socket that is shut
    // down but still holds unread bytes signals nothing to the peer until it is closed.
    const std::lock_guard lock(mutex_);
    connections_.clear();
    unidentified_.clear();
    loop_.release_all();
}

void Acceptor::run() {
    for (;;) {
        Address peer;
        peer.length = sizeof peer.storage;
        Socket socket(::accept4(listener_.fd(), reinterpret_cast<sockaddr*>(&peer.storage),
                                &peer.length, SOCK_CLOEXEC));
        const int error = errno;
        {
            const std::lock_guard lock(mutex_);
            if (shutting_down_) {
                return;
            }
        }
        if (socket.is_open()) {
            add(std::move(socket), peer);
        } else if (is_out_of_resources(error)) {
            // The connection stays in the backlog; closing an unidentified peer frees a descriptor
            // for it.
            context_.log.warn("acceptor: accept failed error=\"{}\"", std::strerror(error));
            {
                const std::lock_guard lock(mutex_);
                (void)shed_for_connection();
            }
            std::this_thread::sleep_for(kAcceptBackoff);
        } else if (is_shut_down(error)) {
            return;
        }
    }
}

void Acceptor::add(Socket socket, const Address& peer) {
    reach(context_.sync, SyncPoint::connection_accepted);
    std::unique_lock lock(mutex_);
    if (!make_room()) {
        context_.log.warn("acceptor: connection rejected peer={} connections={}", text_of(peer),
                          connections_.size());
        return;
    }
    const StreamId id{next_id_++};
    const auto connection =
        std::make_shared<Connection>(context_, id, std::move(socket), text_of(peer));
    connections_[id] = connection;
    unidentified_[id] = connection;
    lock.unlock();
    if (loop_.add(connection)) {
        return;
    }
    context_.log.warn(
        "acceptor: connection rejected peer={} reason=\"poller cannot watch the socket\"",
        text_of(peer));
    lock.lock();
    connections_.erase(id);
    unidentified_.erase(id);
}

// Closes a connection if a limit is reached; returns false if none could be closed. Peers that have
// identified themselves since they were accepted are removed from unidentified_ only here, when the
// limit is reached.
bool Acceptor::make_room() {
    if (unidentified_.size() >= max_unidentified_) {
        std::erase_if(unidentified_, [](const Connections::value_type& entry) {
            return entry.second->role() != Role::unidentified;
        });
    }
    if (unidentified_.size() >= max_unidentified_) {
        return shed_unidentified(false) || shed_unidentified(true);
    }
    return connections_.size() < max_connections_ || shed_for_connection();
}

// Closes a connection to make room for another, or for its descriptor. Excess collectors go first,
// as an unidentified peer may be about to join; peers that are in the middle of a line go last, as
// they may be proxies on slow links.
bool Acceptor::shed_for_connection() {
    return shed_excess_collector() || shed_unidentified(false) || shed_unidentified(true);
}

// Closes the oldest idle unidentified peer, also one in the middle of a line if `mid_line`; returns
// false if there is none.
bool Acceptor::shed_unidentified(bool mid_line) {
    for (auto at = unidentified_.begin(); at != unidentified_.end(); ++at) {
        if (!at->second->close_if_idle(mid_line)) {
            continue;
        }
        connections_.erase(at->first);
        unidentified_.erase(at);
        return true;
    }
    return false;
}

// Closes the collector that has been silent the longest if there are more than zones need; returns
// false if there are not. Any stranger may say that it is a collector.
bool Acceptor::shed_excess_collector() {
    std::size_t collectors = 0;
    std::shared_ptr<Connection> most_silent;
    for (const auto& [id, connection] : connections_) {
        if (connection->role() != Role::collector) {
            continue;
        }
        ++collectors;
        if (!most_silent || connection->last_message_at() < most_silent->last_message_at()) {
            most_silent = connection;
        }
    }
    if (collectors <= kMaxCollectorsPerZone * context_.names.zones.size()) {
        return false;
    }
    context_.log.warn("acceptor: collector shed peer={} collectors={}", most_silent->peer(),
                      collectors);
    most_silent->close();
    connections_.erase(most_silent->id());
    unidentified_.erase(most_silent->id());
    return true;
}

std::shared_ptr<Connection> Acceptor::find(StreamId stream) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(stream);
    return at == connections_.end() ? nullptr : at->second;
}

void Acceptor::write(StreamId stream, std::string_view message) {
    using SendResult = Connection::SendResult;
    const auto connection = find(stream);
    if (!connection) {
        return;
    }
    SendResult result = connection->send(message);
    while (result == SendResult::no_buffer && shed_slowest_reader()) {
        result = connection->send(message);
    }
    if (result == SendResult::accepted) {
        return;
    }
    context_.log.warn(
        "acceptor: stream closed stream={} peer={} reason=\"{}\"", stream.value, connection->peer(),
        result == SendResult::peer_not_reading ? "proxy does not read" : "no write buffer left");
    connection->close();
}

// Closes the connection with the most unread bytes, so that connections that do read lose no
// messages. Returns false if no connection has unread bytes.
bool Acceptor::shed_slowest_reader() {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<Connection> slowest;
    std::size_t most_bytes = 0;
    for (const auto& [id, connection] : connections_) {
        const std::size_t bytes = connection->pending_bytes();
        if (bytes > most_bytes) {
            most_bytes = bytes;
            slowest = connection;
        }
    }
    if (!slowest) {
        return false;
    }
    context_.log.warn("acceptor: stream shed stream={} peer={} unread_bytes={}",
                      slowest->id().value, slowest->peer(), most_bytes);
    slowest->close();
    return true;
}

void Acceptor::close(StreamId stream) {
    if (const auto connection = find(stream)) {
        connection->close();
    }
}

}  // namespace micaroad::net
