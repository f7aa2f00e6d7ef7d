#include "routing/endpoint_registry.hpp"

#include <algorithm>

namespace micaroad::routing {
namespace {

KindId kind_of_pool(std::size_t pool) {
    return {static_cast<int>(pool)};
}

ListedEndpoint endpoint_of(const std::string& name, KindId kind, const Server& server,
                           bool draining, const View& view) {
    ListedEndpoint endpoint;
    endpoint.server = {name};
    endpoint.kind = kind;
    endpoint.phase = draining ? EndpointPhase::draining : EndpointPhase::ready;
    endpoint.size = std::max(server.weight, 1);
    const ServerState& state = view.server(name);
    if (server.slow_start > Duration{} && state.up_since != TimePoint{}) {
        endpoint.last_start = state.up_since;
    }
    return endpoint;
}

// Whether a server belongs on the endpoint list. Of the servers that take new RPCs, only those of
// the tier in use are listed, because a listed backup would be given RPCs. A draining server of
// either tier is listed, because its drain must be announced.
bool is_listed(const Server& server, ServerAvailability availability, const TrafficSplit& split) {
    if (availability == ServerAvailability::unavailable) {
        return false;
    }
    if (availability == ServerAvailability::sticky_only) {
        return true;
    }
    if (server.tier != split.tier) {
        return false;
    }
    if (availability == ServerAvailability::full) {
        return true;
    }
    // If only the first usable backup is used, the other backups have no share.
    return std::any_of(
        split.shares.begin(), split.shares.end(),
        [&server](const TrafficShare& share) { return share.server == server.name; });
}

}  // namespace

EndpointRegistry::EndpointRegistry(const Plan& plan) : plan_(plan), selector_(plan) {}

DeploymentSettings EndpointRegistry::settings(DeploymentSettings base) const {
    const Service& service = plan_.service;
    base.methods.clear();
    base.zone_count = 1;
    base.slice_count = 0;
    base.proxy_count = service.proxies;
    base.channel_lines_per_second = service.lines_per_second;
    base.overhead_lines_per_message = service.lines_per_message;
    base.max_pending_lines = service.max_pending_lines;
    base.report_interval = service.report_interval;
    base.max_message_delay = service.max_message_delay;
    base.drain_grace = service.drain_grace;
    for (std::size_t i = 0; i < plan_.pools.size(); ++i) {
        const Pool& pool = plan_.pools[i];
        Method method;
        method.soft_deadline = pool.response_timeout;
        method.only_kinds = {kind_of_pool(i)};
        base.methods.push_back(method);
        for (const Server& server : pool.servers) {
            base.warm_up_duration = std::max(base.warm_up_duration, server.slow_start);
        }
    }
    return base;
}

SymbolTable EndpointRegistry::names() const {
    SymbolTable names;
    names.zones = {"here"};
    for (const Pool& pool : plan_.pools) {
        names.methods.push_back(pool.name);
        names.kinds.push_back(pool.name);
    }
    return names;
}

event::EndpointListUpdate EndpointRegistry::list(const View& view) const {
    event::EndpointListUpdate list;
    list.form = event::EndpointListUpdate::Form::complete;
    for (std::size_t i = 0; i < plan_.pools.size(); ++i) {
        const Pool& pool = plan_.pools[i];
        const TrafficSplit split = selector_.split(pool, view);
        for (const Server& server : pool.servers) {
            const ServerAvailability availability =
                selector_.status(pool, server, view).availability;
            if (is_listed(server, availability, split)) {
                const bool draining = availability == ServerAvailability::sticky_only;
                list.servers.push_back(
                    endpoint_of(full_name(pool, server), kind_of_pool(i), server, draining, view));
            }
        }
    }
    return list;
}

std::map<ServerId, std::string> EndpointRegistry::addresses() const {
    std::map<ServerId, std::string> addresses;
    for (const Pool& pool : plan_.pools) {
        for (const Server& server : pool.servers) {
            const ServerId id{full_name(pool, server)};
            addresses[id] = server.address;
        }
    }
    return addresses;
}

}  // namespace micaroad::routing
