// Drives a routing::Keeper: probes servers by their pools' rules, a few at a time, and tells each
// new list.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "net/socket.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"
#include "routing/keeper.hpp"

namespace micaroad::net {

class HealthProber {
 public:
    static constexpr std::size_t kMost = 16;  // probes at a time; one more waits for its next turn
    using Tell = std::function<void(event::EndpointListUpdate, std::map<ServerId, std::string>)>;

    HealthProber(routing::Plan plan, Clock clock, Tell tell, Log& log);
    ~HealthProber() { stop(); }

    bool start();
    void stop();
    bool replace(routing::Plan plan);  // false: its pools differ, nothing is changed

 private:
    void keep();
    void ask(const routing::Keeper::Probe& probe);  // on a thread of its own
    bool answers(const routing::Keeper::Probe& probe);

    const Clock clock_;
    const Tell tell_;
    Log& log_;
    std::mutex mutex_;
    std::condition_variable wake_;
    routing::Keeper keeper_;  // under the mutex
    std::vector<std::pair<std::string, bool>> answers_;
    std::set<const Socket*> live_;
    bool stopping_ = false, replaced_ = false;
    ThreadGroup threads_{kMost}, keeping_{1, 256 * 1024};
};

}  // namespace micaroad::net
