// Asks servers whether they answer, a few at a time.
#pragma once

#include <chrono>
#include <mutex>
#include <set>
#include <string>

#include "net/socket.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"
#include "planner/sync_points.hpp"
#include "protocol/buffer_pool.hpp"

namespace micaroad::net {

class Prober {
 public:
    static constexpr std::size_t kMost = 16;  // at a time; one more counts as not answered
    static constexpr std::chrono::milliseconds kPatience{
        1'000};  // for the connection, then for the answer

    Prober(protocol::BufferPool& pool, Inbox& inbox, Clock clock, SyncPoints* sync = nullptr)
        : pool_(pool), inbox_(inbox), clock_(std::move(clock)), sync_(sync) {}
    ~Prober() { stop(); }

    void ask(const ServerId& server, const std::string& address);
    void begin_stop();  // all that is under way ends; stop() waits for it
    void stop();

 private:
    bool answers(const Address& address, const std::string& host);
    bool stopping();

    protocol::BufferPool& pool_;
    Inbox& inbox_;
    const Clock clock_;
    SyncPoints* const sync_;
    std::mutex mutex_;
    std::set<const Socket*> live_;
    bool stopping_ = false;
    ThreadGroup threads_{kMost};
};

}  // namespace micaroad::net
