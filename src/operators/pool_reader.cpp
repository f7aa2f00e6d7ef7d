// Readers of pools, their servers, retry rules and stickiness.
#include <fmt/format.h>

#include <utility>

#include "operators/address.hpp"
#include "operators/enum_tables.hpp"
#include "operators/readers.hpp"

namespace micaroad::operators {
namespace {

constexpr std::uint32_t kMaxWeight = 256;
constexpr std::uint32_t kMaxRetries = 100;
constexpr std::uint32_t kMaxPathLength = 65'536;

void read_server_limits(const Server& message, const LocatedMessage& location,
                        routing::Server& server) {
    if (message.has_connections_most()) {
        server.max_connections = location.read_number(
            "connections_most", message.connections_most(), 1, kMaxConnections);
    }
    if (message.has_queue_most()) {
        server.max_queued =
            location.read_number("queue_most", message.queue_most(), 1, kMaxConnections);
    }
    if (message.has_slow_start()) {
        server.slow_start = location.read_duration("slow_start", message.slow_start());
    }
}

// Returns false if the server lacks a required field and is left out.
bool read_server(const Server& message, const LocatedMessage& location, FileState& state,
                 routing::Pool& pool) {
    if (!location.check_required()) {
        return false;
    }
    routing::Server server;
    server.name = location.check_name("name", message.name());
    server.address = message.address();
    if (!is_socket_address(server.address, HostForm::address)) {
        location.add_fault("address", server.address, "invalid address",
                           "10.0.0.1:80 or [::1]:80; host names are not resolved");
    }
    server.weight = location.read_number("weight", message.weight(), 0, kMaxWeight);
    server.tier = to_plan(kTiers, message.tier());
    server.state = to_plan(kStates, message.state());
    read_server_limits(message, location, server);
    server.cookie_value = message.mark();
    server.health_checked = message.checked();
    server.health_source = message.health_of();
    const std::string full_name = pool.name + "/" + server.name;
    if (!server.health_source.empty()) {
        state.health_chains.add_follower(full_name, server.health_source, location);
    }
    state.health_chains.add_server(full_name);
    pool.servers.push_back(std::move(server));
    return true;
}

void read_servers(const Pool& message, const LocatedMessage& location, FileState& state,
                  routing::Pool& pool) {
    std::set<std::string> names;
    bool any_ready = false;
    bool any_weight = false;
    for (int i = 0; i < message.server_size(); ++i) {
        const LocatedMessage inner = location.nested("server", message.server(i), i);
        if (!read_server(message.server(i), inner, state, pool)) {
            continue;
        }
        const routing::Server& server = pool.servers.back();
        if (!names.insert(server.name).second) {
            inner.add_fault("name", server.name, "duplicate server name in this pool");
        }
        const bool ready = server.state == routing::State::ready;
        any_ready = any_ready || ready;
        any_weight = any_weight || (ready && server.weight > 0);
    }
    if (any_ready && !any_weight) {
        location.add_fault("name", pool.name,
                           "its shares are undefined: every ready server has weight 0",
                           "a weight over 0, or state: DRAINING");
    }
    if (pool.servers.empty()) {
        state.result.notices.push_back(
            fmt::format("pool {} has no servers: RPCs sent to it are rejected", pool.name));
    }
}

void read_retry_policy(const FurtherTries& message, const LocatedMessage& location,
                       routing::RetryRule& policy) {
    if (!location.check_required()) {
        return;
    }
    policy.max_retries = location.read_number("most", message.most(), 0, kMaxRetries);
    policy.condition = to_plan(kRetryConditions, message.proof());
    policy.target = to_plan(kRetryTargets, message.where());
}

void read_stickiness(const Stickiness& message, const LocatedMessage& location,
                     routing::Stickiness& stickiness) {
    if (!location.check_required()) {
        return;
    }
    using By = routing::Stickiness::By;
    stickiness.by = to_plan(kStickinessKeys, message.by());
    stickiness.name = message.name();
    const bool needs_name =
        stickiness.by == By::header || stickiness.by == By::query || stickiness.by == By::cookie;
    if (needs_name && stickiness.name.empty()) {
        location.add_fault("by", Stickiness::By_Name(message.by()),
                           "required field 'name' is missing");
    }
    if (message.has_path_depth()) {
        stickiness.path_depth =
            location.read_number("path_depth", message.path_depth(), 1, kMaxPathLength);
    }
    if (message.has_path_length()) {
        stickiness.path_length =
            location.read_number("path_length", message.path_length(), 1, kMaxPathLength);
    }
    stickiness.include_query = message.with_query();
    stickiness.stay_when_down = message.keeps_down();
}

void read_pool_settings(const Pool& message, const LocatedMessage& location, routing::Pool& pool) {
    pool.all_backups = message.all_backups();
    if (message.has_connections_most()) {
        pool.max_connections = location.read_number("connections_most", message.connections_most(),
                                                    1, kMaxConnections);
    }
    pool.queue_timeout = location.read_duration_or_zero("queue_patience", message.queue_patience());
    pool.connect_timeout = location.read_duration("connect_within", message.connect_within());
    pool.response_timeout = location.read_duration("answer_within", message.answer_within());
    if (message.has_further_tries()) {
        const FurtherTries& policy = message.further_tries();
        read_retry_policy(policy, location.nested("further_tries", policy), pool.retry_rule);
    }
    if (message.has_stickiness()) {
        const Stickiness& stickiness = message.stickiness();
        read_stickiness(stickiness, location.nested("stickiness", stickiness), pool.stickiness);
    }
    if (message.has_health()) {
        const HealthRule& rule = message.health();
        read_health_rule(rule, location.nested("health", rule), pool.health);
    }
}

}  // namespace

void read_pool(const Pool& message, const LocatedMessage& location, FileState& state) {
    if (!location.check_required()) {
        return;
    }
    routing::Pool pool;
    pool.name = location.check_name("name", message.name());
    if (!state.pools_read.insert(pool.name).second) {
        location.add_fault("name", pool.name, "duplicate pool name");
    }
    read_pool_settings(message, location, pool);
    read_servers(message, location, state, pool);
    state.result.plan.pools.push_back(std::move(pool));
}

}  // namespace micaroad::operators
