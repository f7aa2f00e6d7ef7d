#include "net/door.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>

namespace micaroad::net {

Door::Door(const House& house, std::size_t most_connections, std::size_t most_strangers)
    : house_(house),
      most_(most_connections),
      most_strangers_(most_strangers),
      crew_(2 * most_connections + kThreadsToSpare) {}

Door::~Door() { shut(); }

bool Door::open(const Address& address, std::string& why) {
    listener_ = Socket::listening(address, why);
    if (!listener_.open()) return false;
    why = "no thread";
    return crew_.start([this] { accept_on(); });
}

void Door::shut() {
    listener_.shut_down();
    {
        const std::lock_guard lock(mutex_);
        shut_ = true;
        for (const auto& [id, connection] : connections_) connection->close();
    }
    crew_.wait();
}

void Door::accept_on() {
    for (;;) {
        Address from;
        from.length = sizeof from.storage;
        Socket socket(::accept4(listener_.fd(), reinterpret_cast<sockaddr*>(&from.storage), &from.length,
                                SOCK_CLOEXEC));
        const int error = errno;
        {
            const std::lock_guard lock(mutex_);
            if (shut_) return;
        }
        if (socket.open()) {
            take(std::move(socket), from);
        } else if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) {
            // The connection waits in the backlog; a stranger's end makes room for it.
            house_.log.warn("no connection can be taken: {}", std::strerror(error));
            {
                const std::lock_guard lock(mutex_);
                shed_stranger();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        } else if (error == EINVAL || error == EBADF) {
            return;
        }
    }
}

void Door::take(Socket socket, const Address& from) {
    std::unique_lock lock(mutex_);
    if (!has_room())
        return house_.log.warn("{} is turned away: {} connections", text_of(from), connections_.size());
    const StreamId id{next_++};
    const auto connection = std::make_shared<Connection>(house_, crew_, id, std::move(socket), text_of(from));
    connections_[id] = connection;
    lock.unlock();
    const bool started = crew_.start([this, connection] {
        connection->read();
        const std::lock_guard gone(mutex_);
        connections_.erase(connection->id());
    });
    if (started) return;
    house_.log.warn("{} is turned away: no thread for it", text_of(from));
    lock.lock();
    connections_.erase(id);
}

bool Door::has_room() {
    const auto strangers = std::count_if(connections_.begin(), connections_.end(), [](const auto& one) {
        return one.second->role() == Role::stranger;
    });
    const bool full = connections_.size() >= most_ || static_cast<std::size_t>(strangers) >= most_strangers_;
    return !full || shed_stranger();
}

bool Door::shed_stranger() {
    for (auto at = connections_.begin(); at != connections_.end(); ++at) {
        if (!at->second->close_if_idle()) continue;
        connections_.erase(at);
        return true;
    }
    return false;
}

std::shared_ptr<Connection> Door::find(StreamId stream) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(stream);
    return at == connections_.end() ? nullptr : at->second;
}

void Door::write(StreamId stream, std::string_view message) {
    using Posted = Connection::Posted;
    const auto connection = find(stream);
    if (!connection) return;
    Posted posted = connection->post(message);
    while (posted == Posted::no_buffer && shed_unread()) posted = connection->post(message);
    if (posted == Posted::yes) return;
    house_.log.warn(
        "stream {} is ended: {}", stream.value,
        posted == Posted::not_read ? "its proxy does not read" : "no buffer is left for its orders");
    connection->close();
}

// Who has left most unread goes before anyone who reads. False if nobody has left any.
bool Door::shed_unread() {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<Connection> worst;
    std::size_t most = 0;
    for (const auto& [id, connection] : connections_) {
        if (const std::size_t unread = connection->unread(); unread > most) most = unread, worst = connection;
    }
    if (!worst) return false;
    house_.log.warn("stream {} is ended: its proxy has left {} bytes unread", worst->id().value, most);
    worst->close();
    return true;
}

void Door::close(StreamId stream) {
    if (const auto connection = find(stream)) connection->close();
}

}  // namespace micaroad::net
