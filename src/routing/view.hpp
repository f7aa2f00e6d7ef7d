/// The observed state of servers and pools at one time. The caller fills it; routing decisions only
/// read it.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// A server's full name, "pool/server".
[[nodiscard]] inline std::string full_name(const Pool& pool, const Server& server) {
    return pool.name + "/" + server.name;
}

struct ServerState {
    bool up = true;
    TimePoint up_since;                       ///< the epoch if it has been up for long
    std::optional<State> state_override;      ///< set by the operator since the plan was read
    std::optional<TimePoint> draining_since;  ///< absent unless it drains
    int running = 0;                          ///< RPCs that run at the server
    int waiting = 0;                          ///< RPCs in the server's own queue
};

struct PoolState {
    int running = 0;
    int waiting = 0;
};

struct View {
    TimePoint now;
    Duration drain_grace{20'000};  ///< how long a draining server still gets sticky RPCs
    std::map<std::string, ServerState> servers;  ///< by full name; absent: up for long, and idle
    std::map<std::string, PoolState> pools;      ///< by name; absent: idle

    [[nodiscard]] const ServerState& server(const std::string& name) const {
        static const ServerState kDefault;
        const auto found = servers.find(name);
        return found == servers.end() ? kDefault : found->second;
    }

    [[nodiscard]] PoolState pool(const std::string& name) const {
        const auto found = pools.find(name);
        return found == pools.end() ? PoolState{} : found->second;
    }
};

}  // namespace micaroad::routing
