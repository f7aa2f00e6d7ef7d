#include "net/acceptor.hpp"

#include <cerrno>
#include <cstring>
#include <thread>

namespace micaroad::net {

Acceptor::Acceptor(const ConnectionContext& context, std::size_t most_connections,
                   std::size_t most_unidentified)
    : context_(context),
      most_(most_connections),
      most_unidentified_(most_unidentified),
      loop_(context_, [this](StreamId id) {
          const std::lock_guard lock(mutex_);
          connections_.erase(id), unidentified_.erase(id);
      }) {}

Acceptor::~Acceptor() {
    shut();
}

bool Acceptor::open(const Address& address, std::string& why) {
    listener_ = Socket::listening(address, why);
    if (!listener_.open()) {
        return false;
    }
    why = "no thread";
    return threads_.start([this] { accept_on(); }) && threads_.start([this] { loop_.work(); });
}

void Acceptor::begin_shut() {
    listener_.shut_down();
    {
        const std::lock_guard lock(mutex_);
        shut_ = true;
        for (const auto& [id, connection] : connections_) {
            connection->close();
        }
    }
    loop_.stop();
}

void Acceptor::shut() {
    begin_shut();
    threads_.wait();
    // Guards against a peer that hangs in sending: a socket that is shut down and holds bytes that
    // nobody reads tells it nothing before it is closed.
    const std::lock_guard lock(mutex_);
    connections_.clear(), unidentified_.clear();
    loop_.let_go_all();
}

void Acceptor::accept_on() {
    for (;;) {
        Address from;
        from.length = sizeof from.storage;
        Socket socket(::accept4(listener_.fd(), reinterpret_cast<sockaddr*>(&from.storage),
                                &from.length, SOCK_CLOEXEC));
        const int error = errno;
        {
            const std::lock_guard lock(mutex_);
            if (shut_) {
                return;
            }
        }
        if (socket.open()) {
            take(std::move(socket), from);
        } else if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) {
            // The connection waits in the backlog; an unidentified peer's end makes room for it.
            context_.log.warn("no connection can be taken: {}", std::strerror(error));
            {
                const std::lock_guard lock(mutex_);
                shed_unidentified();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        } else if (error == EINVAL || error == EBADF) {
            return;
        }
    }
}

void Acceptor::take(Socket socket, const Address& from) {
    reach(context_.sync, SyncPoint::connection_accepted);
    std::unique_lock lock(mutex_);
    if (!has_room()) {
        return context_.log.warn("{} is turned away: {} connections", text_of(from),
                                 connections_.size());
    }
    const StreamId id{next_++};
    const auto connection =
        std::make_shared<Connection>(context_, id, std::move(socket), text_of(from));
    connections_[id] = unidentified_[id] = connection;
    lock.unlock();
    if (loop_.add(connection)) {
        return;
    }
    context_.log.warn("{} is turned away: it can't be watched", text_of(from));
    lock.lock();
    connections_.erase(id), unidentified_.erase(id);
}

// Who has joined since is no unidentified peer any more; that is looked up only where it matters.
bool Acceptor::has_room() {
    if (unidentified_.size() >= most_unidentified_) {
        std::erase_if(unidentified_,
                      [](const auto& one) { return one.second->role() != Role::unidentified; });
    }
    const bool full = connections_.size() >= most_ || unidentified_.size() >= most_unidentified_;
    return !full || shed_unidentified();
}

// Who says nothing before who is in the middle of saying it: that may be a proxy on a slow
// connection.
bool Acceptor::shed_unidentified() {
    for (const bool in_mid_line : {false, true}) {
        for (auto at = unidentified_.begin(); at != unidentified_.end(); ++at) {
            if (!at->second->close_if_idle(in_mid_line)) {
                continue;
            }
            connections_.erase(at->first), unidentified_.erase(at);
            return true;
        }
    }
    return false;
}

std::shared_ptr<Connection> Acceptor::find(StreamId stream) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(stream);
    return at == connections_.end() ? nullptr : at->second;
}

void Acceptor::write(StreamId stream, std::string_view message) {
    using Posted = Connection::Posted;
    const auto connection = find(stream);
    if (!connection) {
        return;
    }
    Posted posted = connection->post(message);
    while (posted == Posted::no_buffer && shed_unread()) {
        posted = connection->post(message);
    }
    if (posted == Posted::yes) {
        return;
    }
    context_.log.warn("stream {} is ended: {}", stream.value,
                      posted == Posted::not_read ? "its proxy does not read"
                                                 : "no buffer is left for its orders");
    connection->close();
}

// Who has left most unread goes before anyone who reads. False if nobody has left any.
bool Acceptor::shed_unread() {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<Connection> worst;
    std::size_t most = 0;
    for (const auto& [id, connection] : connections_) {
        if (const std::size_t unread = connection->unread(); unread > most) {
            most = unread, worst = connection;
        }
    }
    if (!worst) {
        return false;
    }
    context_.log.warn("stream {} is ended: its proxy has left {} bytes unread", worst->id().value,
                      most);
    worst->close();
    return true;
}

void Acceptor::close(StreamId stream) {
    if (const auto connection = find(stream)) {
        connection->close();
    }
}

}  // namespace micaroad::net
