// What is known of servers and pools at one instant. Whoever watches them fills it; decisions only
// read it.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "routing/plan.hpp"

namespace micaroad::routing {

// A server's full name.
inline std::string full_name(const Pool& pool, const Server& server) {
    return pool.name + "/" + server.name;
}

struct ServerNow {
    bool up = true;
    TimePoint up_since{};       // the epoch: long ago
    std::optional<State> told;  // by the operator since the plan was read; goes before the plan's
    std::optional<TimePoint> draining_since;  // absent while it does not drain
    int running = 0, waiting = 0;             // RPCs at it, and in its own queue
};

struct PoolNow {
    int running = 0, waiting = 0;
};

struct View {
    TimePoint now{};
    Duration drain_grace{20'000};  // how long stuck RPCs may go on to a server that drains
    std::map<std::string, ServerNow> servers;  // by full name; absent: up since long ago, idle
    std::map<std::string, PoolNow> pools;      // by name; absent: idle

    const ServerNow& server(const std::string& name) const {
        static const ServerNow kUsual;
        const auto at = servers.find(name);
        return at == servers.end() ? kUsual : at->second;
    }
    PoolNow pool(const std::string& name) const {
        const auto at = pools.find(name);
        return at == pools.end() ? PoolNow{} : at->second;
    }
};

}  // namespace micaroad::routing
