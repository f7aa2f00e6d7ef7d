#include "routing/roster.hpp"

#include <algorithm>
#include <set>

namespace micaroad::routing {

Roster::Roster(const Plan& plan) : plan_(plan), chooser_(plan) {}

DeploymentSettings Roster::terms(DeploymentSettings base) const {
    base.methods.clear();
    base.zone_count = 1, base.slice_count = 0;
    const Service& service = plan_.service;
    base.proxy_count = service.proxies;
    base.channel_lines_per_second = service.lines_per_second,
    base.overhead_lines_per_message = service.lines_per_message;
    base.max_pending_lines = service.lines_waiting_most;
    base.report_interval = service.report_every, base.max_message_delay = service.message_longest,
    base.drain_grace = service.drain_grace;
    for (std::size_t k = 0; k < plan_.pools.size(); ++k) {
        const Pool& pool = plan_.pools[k];
        Method method;
        method.soft_deadline = pool.answer_within;
        method.only_kinds = {{static_cast<int>(k)}};
        base.methods.push_back(method);
        for (const Server& server : pool.servers) {
            base.warm_up_duration = std::max(base.warm_up_duration, server.slow_start);
        }
    }
    return base;
}

SymbolTable Roster::names() const {
    SymbolTable names;
    names.zones = {"here"};
    for (const Pool& pool : plan_.pools) {
        names.methods.push_back(pool.name), names.kinds.push_back(pool.name);
    }
    return names;
}

// The tier in use alone is ready: a backup on the list would be given RPCs. A server that drains is
// listed whatever its tier, as its drain must be told.
event::EndpointListUpdate Roster::list(const View& view) const {
    event::EndpointListUpdate list{event::EndpointListUpdate::Form::complete, {}};
    for (std::size_t k = 0; k < plan_.pools.size(); ++k) {
        const Pool& pool = plan_.pools[k];
        const Parts parts = chooser_.parts(pool, view);
        for (const Server& server : pool.servers) {
            const Standing standing = chooser_.standing(pool, server, view);
            if (standing == Standing::out) {
                continue;
            }
            const bool drains = standing == Standing::stuck_only;
            if (!drains && server.tier != parts.tier) {
                continue;
            }
            // Of backups only the first that can be used is in the parts, unless all are to serve.
            const bool in_use =
                std::any_of(parts.parts.begin(), parts.parts.end(),
                            [&server](const Part& part) { return part.server == server.name; });
            if (!drains && !in_use && standing != Standing::full) {
                continue;
            }
            ListedEndpoint entry;
            entry.server = {full_name(pool, server)};
            entry.kind = {static_cast<int>(k)};
            entry.phase = drains ? EndpointPhase::draining : EndpointPhase::ready;
            entry.size = std::max(server.weight, 1);
            const ServerNow& now = view.server(entry.server.value);
            if (server.slow_start > Duration{} && now.up_since != TimePoint{}) {
                entry.last_start = now.up_since;
            }
            list.servers.push_back(entry);
        }
    }
    return list;
}

std::map<ServerId, std::string> Roster::addresses() const {
    std::map<ServerId, std::string> addresses;
    for (const Pool& pool : plan_.pools) {
        for (const Server& server : pool.servers) {
            addresses[{full_name(pool, server)}] = server.address;
        }
    }
    return addresses;
}

}  // namespace micaroad::routing
