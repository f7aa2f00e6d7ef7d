#include "routing/health_checked_endpoints.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace micaroad::routing {
namespace {

// Zone and cell are not compared, since they are the same for all endpoints of a plan.
bool equal_entries(const ListedEndpoint& left, const ListedEndpoint& right) {
    return left.server == right.server && left.kind == right.kind && left.phase == right.phase &&
           left.size == right.size && left.last_start == right.last_start;
}

std::vector<std::string> pool_names(const Plan& plan) {
    std::vector<std::string> names;
    names.reserve(plan.pools.size());
    for (const Pool& pool : plan.pools) {
        names.push_back(pool.name);
    }
    return names;
}

}  // namespace

std::string describe(const HealthChange& change) {
    return fmt::format("{} is {}: {}", change.server, change.up ? "up" : "down",
                       describe(change.reason));
}

HealthCheckedEndpoints::HealthCheckedEndpoints(Plan plan, TimePoint now) {
    install(std::move(plan), now);
}

void HealthCheckedEndpoints::install(Plan plan, TimePoint now) {
    plan_ = std::make_unique<Plan>(std::move(plan));
    registry_ = std::make_unique<EndpointRegistry>(*plan_);
    std::map<std::string, HealthTracker> trackers;
    std::map<std::string, ServerState> servers;
    for (const Pool& pool : plan_->pools) {
        HealthTracker tracker(pool, now);
        for (const Server& server : pool.servers) {
            const ServerState state = carried_over(pool, server, now);
            if (!state.up) {
                tracker.set_down(server.name);
            }
            servers[full_name(pool, server)] = state;
        }
        trackers.emplace(pool.name, std::move(tracker));
    }
    trackers_ = std::move(trackers);
    view_.servers = std::move(servers);
}

// The known state of a server, as far as it still applies under the new plan.
ServerState HealthCheckedEndpoints::carried_over(const Pool& pool, const Server& server,
                                                 TimePoint now) const {
    const auto known = view_.servers.find(full_name(pool, server));
    ServerState state = known == view_.servers.end() ? ServerState{} : known->second;
    if (server.state != State::draining) {
        state.draining_since.reset();
    } else if (!state.draining_since) {
        state.draining_since = now;
    }
    // A server that is no longer checked counts as up. One that is still checked and was down stays
    // down until health checks succeed.
    if (!server.health_checked && server.health_source.empty()) {
        state.up = true;
    }
    return state;
}

std::vector<HealthCheck> HealthCheckedEndpoints::take_due(TimePoint now) {
    std::vector<HealthCheck> checks;
    for (const Pool& pool : plan_->pools) {
        for (const std::string& name : trackers_.at(pool.name).take_due(now)) {
            const auto server =
                std::find_if(pool.servers.begin(), pool.servers.end(),
                             [&name](const Server& candidate) { return candidate.name == name; });
            checks.push_back({.server = full_name(pool, *server),
                              .address = server->address,
                              .rule = pool.health});
        }
    }
    return checks;
}

std::optional<TimePoint> HealthCheckedEndpoints::next_due() const {
    std::optional<TimePoint> first;
    for (const auto& [pool, tracker] : trackers_) {
        const std::optional<TimePoint> due = tracker.next_due();
        if (due && (!first || *due < *first)) {
            first = due;
        }
    }
    // The end of a drain changes the list without a health check.
    for (const auto& [name, server] : view_.servers) {
        if (!server.draining_since) {
            continue;
        }
        const TimePoint drained_at = *server.draining_since + view_.drain_grace;
        if (drained_at > view_.now && (!first || drained_at < *first)) {
            first = drained_at;
        }
    }
    return first;
}

std::optional<HealthChange> HealthCheckedEndpoints::on_check_result(const std::string& server,
                                                                    bool healthy, TimePoint now) {
    const std::size_t slash = server.find('/');
    const auto tracker = trackers_.find(server.substr(0, slash));
    if (slash == std::string::npos || tracker == trackers_.end()) {
        return std::nullopt;
    }
    std::optional<HealthChange> change =
        tracker->second.on_check_result(server.substr(slash + 1), healthy, now);
    if (!change) {
        return std::nullopt;
    }
    change->server = server;
    ServerState& state = view_.servers[server];
    state.up = change->up;
    if (change->up) {
        state.up_since = now;
    }
    return change;
}

bool HealthCheckedEndpoints::replace(Plan plan, TimePoint now) {
    if (pool_names(plan) != pool_names(*plan_)) {
        return false;
    }
    install(std::move(plan), now);
    return true;
}

std::optional<event::EndpointListUpdate> HealthCheckedEndpoints::take_changed_list(TimePoint now) {
    view_.now = now;
    event::EndpointListUpdate list = registry_->list(view_);
    if (last_list_ && std::equal(last_list_->begin(), last_list_->end(), list.servers.begin(),
                                 list.servers.end(), equal_entries)) {
        return std::nullopt;
    }
    last_list_ = list.servers;
    return list;
}

}  // namespace micaroad::routing
