// Follows discovery's list on one connection, and opens it anew whenever it breaks or falls silent.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "log/log.hpp"
#include "net/crew.hpp"
#include "net/socket.hpp"
#include "planner/inbox.hpp"
#include "protocol/pool.hpp"
#include "protocol/server_list.hpp"

namespace micaroad::net {

struct WatchPatience {
    // Something comes every 2 s. A list may take longer to come whole than its first byte.
    std::chrono::milliseconds silence{2'600}, whole_line{5'000}, connect{400};
    std::chrono::milliseconds first_wait{100}, longest_wait{500};
};

class DiscoveryWatch {
 public:
    using Patience = WatchPatience;
    DiscoveryWatch(std::string host, Address address, Names names, std::int64_t version, protocol::Pool& pool,
                   Inbox& inbox, Log& log, Patience patience = {});
    ~DiscoveryWatch();

    bool start();
    void stop();
    void fetch();  // the whole list, once more

 private:
    void watch_on();
    bool wants_fetch();                                          // or the end
    std::string follow(const std::string& target, bool& heard);  // until it breaks: why
    bool take(std::string_view line);
    bool pause(std::chrono::milliseconds time);  // false: it is to end

    const std::string host_;
    const Address address_;
    const Patience patience_;
    protocol::ListReader reader_;
    std::int64_t version_;
    protocol::Pool& pool_;
    Inbox& inbox_;
    Log& log_;
    std::mutex mutex_;
    std::condition_variable wake_;
    const Socket* live_ = nullptr;
    bool stopping_ = false, fetch_ = false;
    Crew crew_{1};
};

}  // namespace micaroad::net
