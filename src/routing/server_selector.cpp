#include "routing/server_selector.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "routing/sticky_key.hpp"

namespace micaroad::routing {
namespace {

// Number of steps of a slow start. Weights change in whole steps so that tables change rarely.
constexpr int kSlowStartSteps = 16;

// Hashes are shortened to the number of bits that a double represents exactly.
constexpr unsigned kDroppedHashBits = 11;
constexpr double kHashRange = 9007199254740992.0;  // 2^53

const char* tier_name(Tier tier) {
    return tier == Tier::active ? "active" : "backup";
}

bool takes_new_rpcs(const ServerStatus& status) {
    return status.availability == ServerAvailability::usable ||
           status.availability == ServerAvailability::full;
}

// The fraction of its weight that a server gets during its slow start, 1/16 to 1.
double slow_start_fraction(const Server& server, const ServerState& state, TimePoint now) {
    if (server.slow_start <= Duration{} || state.up_since == TimePoint{}) {
        return 1;
    }
    const Duration age = std::max(now - state.up_since, Duration{});
    if (age >= server.slow_start) {
        return 1;
    }
    const auto step = kSlowStartSteps * age.count() / server.slow_start.count();
    return static_cast<double>(std::max<Duration::rep>(step, 1)) / kSlowStartSteps;
}

// A server's score for a key by weighted rendezvous hashing, -share/ln(u) with u uniform in (0, 1).
// The server with the highest score is chosen, which happens with a probability equal to its share.
// When a server is removed, only its own keys move.
double rendezvous_score(const std::string& key, const TrafficShare& share) {
    const XXH64_hash_t seed = XXH64(share.server.data(), share.server.size(), 0);
    const XXH64_hash_t hash = XXH64(key.data(), key.size(), seed);
    const double uniform =
        (static_cast<double>(hash >> kDroppedHashBits) + 0.5) / kHashRange;  // within (0, 1)
    return -share.share / std::log(uniform);
}

std::string server_by_hash(const TrafficSplit& split, const std::string& key) {
    const auto best =
        std::max_element(split.shares.begin(), split.shares.end(),
                         [&key](const TrafficShare& left, const TrafficShare& right) {
                             return rendezvous_score(key, left) < rendezvous_score(key, right);
                         });
    return best == split.shares.end() ? "" : best->server;
}

// The status that follows from a server's state; absent if the state allows new RPCs. `shared`
// means that the status is determined for another server, which takes its health from this one.
std::optional<ServerStatus> status_by_state(const Server& server, const ServerState& now,
                                            const View& view, bool shared) {
    using Availability = ServerAvailability;
    using Reason = AvailabilityReason;
    const State state = now.state_override.value_or(server.state);
    if (state == State::disabled) {
        return ServerStatus{Availability::unavailable, Reason::disabled};
    }
    if (state == State::maintenance) {
        return ServerStatus{Availability::unavailable, Reason::maintenance};
    }
    // A drain that is expressed as weight 0 applies to the server alone; any other drain also
    // applies to the servers that take their health from it.
    if (state == State::draining && (!shared || server.weight > 0)) {
        const TimePoint since = now.draining_since.value_or(view.now);
        if (view.now - since >= view.drain_grace) {
            return ServerStatus{Availability::unavailable, Reason::drained};
        }
        if (!now.up) {
            return ServerStatus{Availability::unavailable, Reason::down};
        }
        return ServerStatus{Availability::sticky_only, Reason::draining};
    }
    if (server.health_source.empty() && !now.up) {
        return ServerStatus{Availability::unavailable, Reason::down};
    }
    return std::nullopt;
}

std::string explain(const Pool& pool, const TrafficSplit& split) {
    std::string remark;
    if (split.tier == Tier::backup && !pool.all_backups) {
        remark = ", only its first usable backup";
    } else if (split.all_full) {
        remark = ", all at their limits";
    } else if (split.tier == Tier::backup) {
        remark = ", as no active server is usable";
    }
    return fmt::format("usable servers: {} {} in pool {}{}", split.shares.size(),
                       tier_name(split.tier), pool.name, remark);
}

}  // namespace

ServerSelector::ServerSelector(const Plan& plan) {
    for (const Pool& pool : plan.pools) {
        pools_[pool.name] = &pool;
        for (const Server& server : pool.servers) {
            servers_[full_name(pool, server)] = &server;
        }
    }
}

// Maintenance and drains are inherited together with health, because servers that share the health
// of a process also share its shutdown.
ServerStatus ServerSelector::status(const Pool& pool, const Server& server,
                                    const View& view) const {
    const std::string own_name = full_name(pool, server);
    const Server* source = &server;  // the server whose state is examined
    std::string source_name = own_name;
    std::size_t steps = 0;
    while (true) {
        const bool shared = source != &server;
        if (const auto status = status_by_state(*source, view.server(source_name), view, shared)) {
            return *status;
        }
        if (source->health_source.empty()) {
            break;
        }
        const auto next = servers_.find(source->health_source);
        if (next == servers_.end() || steps > servers_.size()) {
            return {ServerAvailability::unavailable, AvailabilityReason::unknown_health};
        }
        source_name = source->health_source;
        source = next->second;
        ++steps;
    }
    if (server.weight <= 0) {
        return {ServerAvailability::sticky_only, AvailabilityReason::zero_weight};
    }
    if (server.max_connections > 0 && view.server(own_name).running >= server.max_connections) {
        return {ServerAvailability::full, AvailabilityReason::full};
    }
    return {ServerAvailability::usable, AvailabilityReason::ready};
}

int ServerSelector::usable_count(const std::string& pool, const View& view) const {
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return 0;
    }
    int active = 0;
    int backup = 0;
    for (const Server& server : found->second->servers) {
        if (takes_new_rpcs(status(*found->second, server, view))) {
            ++(server.tier == Tier::active ? active : backup);
        }
    }
    if (active > 0) {
        return active;
    }
    return found->second->all_backups ? backup : std::min(backup, 1);
}

// The servers of a tier that can be in use.
std::vector<ServerSelector::Candidate> ServerSelector::candidates(const Pool& pool, Tier tier,
                                                                  const View& view) const {
    std::vector<Candidate> found;
    for (const Server& server : pool.servers) {
        if (server.tier != tier) {
            continue;
        }
        const ServerStatus status = this->status(pool, server, view);
        if (!takes_new_rpcs(status)) {
            continue;
        }
        found.push_back({&server, status.availability == ServerAvailability::full});
        if (tier == Tier::backup && !pool.all_backups) {
            break;
        }
    }
    return found;
}

TrafficSplit ServerSelector::split(const Pool& pool, const View& view) const {
    TrafficSplit split;
    std::vector<Candidate> in_use = candidates(pool, Tier::active, view);
    if (in_use.empty()) {
        in_use = candidates(pool, Tier::backup, view);
        if (in_use.empty()) {
            split.explanation = fmt::format("no server of pool {} is usable", pool.name);
            return split;
        }
        split.tier = Tier::backup;
    }
    split.all_full = std::all_of(in_use.begin(), in_use.end(),
                                 [](const Candidate& candidate) { return candidate.full; });
    double total_weight = 0;
    for (const Candidate& candidate : in_use) {
        if (candidate.full && !split.all_full) {
            continue;
        }
        const Server& server = *candidate.server;
        const ServerState& state = view.server(full_name(pool, server));
        const double weight = server.weight * slow_start_fraction(server, state, view.now);
        split.shares.push_back({server.name, weight});
        total_weight += weight;
    }
    for (TrafficShare& share : split.shares) {
        share.share /= total_weight;
    }
    split.explanation = explain(pool, split);
    return split;
}

std::string ServerSelector::sticky_server(const Pool& pool, const Rpc& rpc, const View& view,
                                          const TrafficSplit& split) const {
    const std::string key = sticky_key(pool.stickiness, rpc);
    if (key.empty()) {
        return "";
    }
    return pool.stickiness.by == Stickiness::By::cookie ? server_by_cookie(pool, key, view)
                                                        : server_by_hash(split, key);
}

// Several servers may have the same cookie value, such as an active server and its backup; the
// first available one is chosen.
std::string ServerSelector::server_by_cookie(const Pool& pool, const std::string& cookie_value,
                                             const View& view) const {
    std::string first_down;
    for (const Server& server : pool.servers) {
        if (server.cookie_value.empty() || server.cookie_value != cookie_value) {
            continue;
        }
        const ServerStatus status = this->status(pool, server, view);
        if (status.availability != ServerAvailability::unavailable) {
            return server.name;
        }
        if (first_down.empty() && status.reason == AvailabilityReason::down) {
            first_down = server.name;
        }
    }
    return pool.stickiness.stay_when_down ? first_down : "";
}

}  // namespace micaroad::routing
