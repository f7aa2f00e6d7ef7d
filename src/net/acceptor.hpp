// The planner's address: takes connections, up to a number, and has its event loop serve them.
#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "net/event_loop.hpp"
#include "net/thread_group.hpp"

namespace micaroad::net {

class Acceptor {
 public:
    // At a time. Past either number the oldest idle unidentified peer goes; where there is none,
    // the newcomer.
    Acceptor(const ConnectionContext& context, std::size_t most_connections,
             std::size_t most_unidentified);
    ~Acceptor();

    bool open(const Address& address, std::string& why);
    Address address() const { return listener_.local(); }
    void begin_shut();  // ends every connection, and takes no more
    void shut();        // and returns when all threads are gone
    void write(StreamId stream, std::string_view message);
    void close(StreamId stream);

 private:
    static constexpr std::size_t kThreads = 2;  // the acceptor and the event loop

    void accept_on();
    void take(Socket socket, const Address& from);
    bool has_room();           // under the mutex; makes it, where it can
    bool shed_unidentified();  // under the mutex; false if there is none that is idle
    bool shed_unread();
    std::shared_ptr<Connection> find(StreamId stream);

    ConnectionContext context_;
    const std::size_t most_, most_unidentified_;
    Socket listener_;
    std::mutex mutex_;
    std::map<StreamId, std::shared_ptr<Connection>> connections_;
    std::map<StreamId, std::shared_ptr<Connection>>
        unidentified_;  // and who was one when it was last looked at
    std::uint64_t next_ = 1;
    bool shut_ = false;
    EventLoop loop_;
    ThreadGroup threads_{kThreads};  // last: its threads use all of the above
};

}  // namespace micaroad::net
