#include "decision/pool_membership.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <iterator>
#include <utility>

#include "decision/method_settings.hpp"
#include "decision/real_vectors.hpp"

namespace micaroad::decision {

namespace {

/// Methods with equal keys share a pool.
struct PoolKey {
    std::vector<KindId> kinds;
    std::vector<ZoneId> zones;
    std::optional<ZoneId> home_zone;

    auto operator<=>(const PoolKey&) const = default;
};

/// Divides the values by their sum, unless that is 0.
void normalize(RealVector& values) {
    const double sum = values.size() > 0 ? values.sum() : 0;
    if (sum > 0) {
        values /= sum;
    }
}

/// Whether any field differs that is published or that shares depend on.
bool published_state_differs(const EndpointStatus& before, const EndpointStatus& after) {
    return before.open != after.open || before.listed.kind != after.listed.kind ||
           before.listed.zone != after.listed.zone || before.steady != after.steady ||
           before.is_new != after.is_new || before.gone() != after.gone() ||
           before.listed.size != after.listed.size ||
           before.listed.last_start != after.listed.last_start;
}

}  // namespace

PoolMemberships::PoolMemberships(const DeploymentSettings& settings) {
    if (settings.slice_count != 0) {
        return;
    }
    std::map<PoolKey, std::size_t> pool_indices;
    for (int number = 0; number < std::ssize(settings.methods); ++number) {
        const Method& method = settings.methods[number];
        const int zone_count = method.own_zone_only ? settings.zone_count : 1;
        for (int zone = 0; zone < zone_count; ++zone) {
            const auto home_zone =
                method.own_zone_only ? std::optional{ZoneId{zone}} : std::nullopt;
            const PoolKey key{method.only_kinds, method.only_zones, home_zone};
            const auto [entry, added] = pool_indices.try_emplace(key, pools_.size());
            if (added) {
                add_pool(method, home_zone);
            }
            pools_[entry->second].binding.methods.push_back(MethodId{number});
        }
    }
}

PoolMemberships::FoundMember PoolMemberships::find_or_add(const ServerId& server) {
    const auto [entry, added] = members_.try_emplace(server);
    if (added) {
        entry->second.server = &entry->first;
    }
    return {entry->second, added};
}

void PoolMemberships::update(PoolMember& member, const EndpointStatus& status, bool on_probation,
                             double initial_weight) {
    const EndpointStatus& before = member.status;
    const bool opens = status.open && !before.open;
    const bool moves =
        status.listed.kind != before.listed.kind || status.listed.zone != before.listed.zone;
    const bool changed =
        published_state_differs(before, status) || on_probation != member.on_probation;
    if (opens) {
        set_initial_weight(member, initial_weight);
    }
    member.status = status;
    member.on_probation = on_probation;
    if (status.open && (opens || moves)) {
        join_pools(member);
    }
    if (status.listed.last_start && !member.in_warming_list) {
        member.in_warming_list = true;
        warming_.push_back(&member);
    }
    if (changed) {
        queue_for_publishing(member);
        mark_pools_stale(member);
    }
}

void PoolMemberships::update_traffic(const RealVector& rates) {
    for (Pool& pool : pools_) {
        const double pool_rate = sum_over_methods(rates, pool.binding.methods);
        if (pool_rate > 0) {
            pool.traffic_fraction = pool_rate / rates.sum();
        }
    }
}

std::vector<PoolMember*> PoolMemberships::open_members() {
    std::vector<PoolMember*> open;
    for (auto& [server, member] : members_) {
        if (member.status.open) {
            open.push_back(&member);
        }
    }
    return open;
}

void PoolMemberships::assign_step_indices(const std::vector<PoolMember*>& open,
                                          const std::vector<PoolMember*>& step_members) {
    for (PoolMember* const member : open) {
        member->step_index.reset();
    }
    for (std::size_t i = 0; i < step_members.size(); ++i) {
        step_members[i]->step_index = i;
    }
}

PoolSnapshot PoolMemberships::snapshot(std::size_t pool_index, SnapshotScope scope) {
    Pool& pool = pools_[pool_index];
    PoolSnapshot snapshot;
    snapshot.places.reserve(pool.places.size());
    for (auto& [server, place] : pool.places) {
        const bool in_scope =
            scope == SnapshotScope::open_endpoints || place.member->step_index.has_value();
        if (place.member->status.open && in_scope) {
            snapshot.places.push_back(&place);
        }
    }
    snapshot.step_indices.reserve(snapshot.places.size());
    for (const PoolPlace* const place : snapshot.places) {
        snapshot.step_indices.push_back(place->member->step_index.value_or(0));
    }
    snapshot.weights =
        collect_values(snapshot.places, [](const PoolPlace& place) { return place.weight; });
    snapshot.published_shares =
        collect_values(snapshot.places, [](const PoolPlace& place) { return place.share; });
    normalize(snapshot.published_shares);
    snapshot.sizes = collect_values(snapshot.places, [&pool](const PoolPlace& place) {
        const ListedEndpoint& endpoint = place.member->status.listed;
        return may_serve(endpoint, pool.method, pool.binding.zone) ? endpoint.size : 0;
    });
    snapshot.size_sum = snapshot.places.empty() ? 0 : snapshot.sizes.sum();
    return snapshot;
}

void PoolMemberships::lower_weights(const std::vector<PoolMember*>& step_members,
                                    const std::vector<PoolSnapshot>& snapshots, double fraction,
                                    const std::vector<RealVector>& decreases, double log_floor) {
    const auto floor_of = [log_floor](const PoolMember& member) {
        return std::log(member.status.listed.size) + log_floor;
    };
    for (std::size_t k = 0; k < snapshots.size(); ++k) {
        for (std::size_t i = 0; i < snapshots[k].places.size(); ++i) {
            PoolPlace& place = *snapshots[k].places[i];
            place.weight =
                std::max(place.weight - fraction * decreases[k][i], floor_of(*place.member));
        }
    }
    for (PoolMember* const member : step_members) {
        member->initial_weight = std::max(member->initial_weight, floor_of(*member));
    }
    mark_all_pools_stale();
}

bool PoolMemberships::refresh_warming(const SlowStart& slow_start) {
    bool any_cold = false;
    std::erase_if(warming_, [&](PoolMember* member) {
        const double warm_up_fraction = slow_start.warm_up_fraction(*member);
        const bool cold = warm_up_fraction < 1;
        any_cold |= cold && member->status.open;
        if (cold != member->cold) {
            queue_for_publishing(*member);
        }
        mark_pools_stale(*member);
        member->in_warming_list = !(warm_up_fraction >= 1);
        return !member->in_warming_list;
    });
    return any_cold;
}

void PoolMemberships::set_shares(const PoolSnapshot& snapshot, const RealVector& shares) {
    for (std::size_t i = 0; i < snapshot.places.size(); ++i) {
        PoolPlace& place = *snapshot.places[i];
        if (std::exchange(place.share, shares[i]) != shares[i]) {
            queue_for_publishing(*place.member);
        }
    }
}

void PoolMemberships::queue_for_publishing(PoolMember& member) {
    if (!member.in_publish_queue) {
        member.in_publish_queue = true;
        publish_queue_.push_back(&member);
    }
}

std::vector<PoolMember*> PoolMemberships::take_publish_queue() {
    for (PoolMember* const member : publish_queue_) {
        member->in_publish_queue = false;
    }
    return std::exchange(publish_queue_, {});
}

std::set<std::size_t> PoolMemberships::take_stale_pools() {
    return std::exchange(stale_pools_, {});
}

DesiredWeights PoolMemberships::take_weights(PoolMember& member) {
    const EndpointStatus& status = member.status;
    if (!status.open) {
        leave_pools(member);
    }
    DesiredWeights weights;
    weights.server = status.listed.server;
    weights.zone = status.listed.zone;
    weights.steady = status.steady;
    weights.is_new = status.is_new;
    weights.cold = member.cold;
    weights.last = status.gone();
    for (const PlaceInPool& held : member.places) {
        if (held.place->share != 0) {
            weights.shares.emplace_back(held.pool, held.place->share);
        }
    }
    if (weights.last) {
        erase(member);
    }
    return weights;
}

void PoolMemberships::add_pool(const Method& method, std::optional<ZoneId> home_zone) {
    const std::size_t pool_index = pools_.size();
    Pool& pool = pools_.emplace_back();
    pool.binding.table = {static_cast<int>(pool_index) + 1};
    pool.binding.zone = home_zone;
    pool.method = method;
    if (method.only_kinds.empty()) {
        pools_of_any_kind_.push_back(pool_index);
    }
    for (const KindId kind : std::set(method.only_kinds.begin(), method.only_kinds.end())) {
        pools_by_kind_[kind].push_back(pool_index);
    }
}

void PoolMemberships::set_initial_weight(PoolMember& member, double weight) {
    member.initial_weight = weight;
    for (const PlaceInPool& held : member.places) {
        held.place->weight = weight;
    }
}

void PoolMemberships::join_pools(PoolMember& member) {
    const ListedEndpoint& endpoint = member.status.listed;
    std::vector<std::size_t> candidates = pools_of_any_kind_;
    if (const auto of_kind = pools_by_kind_.find(endpoint.kind); of_kind != pools_by_kind_.end()) {
        candidates.insert(candidates.end(), of_kind->second.begin(), of_kind->second.end());
    }
    for (const std::size_t pool_index : candidates) {
        Pool& pool = pools_[pool_index];
        if (!may_serve(endpoint, pool.method, pool.binding.zone)) {
            continue;
        }
        const auto [entry, added] =
            pool.places.try_emplace(member.server, PoolPlace{&member, member.initial_weight, 0});
        if (added) {
            member.places.push_back({pool_index, &entry->second});
        }
    }
    std::sort(
        member.places.begin(), member.places.end(),
        [](const PlaceInPool& left, const PlaceInPool& right) { return left.pool < right.pool; });
}

void PoolMemberships::leave_pools(PoolMember& member) {
    for (const PlaceInPool& held : member.places) {
        pools_[held.pool].places.erase(member.server);
    }
    member.places.clear();
}

void PoolMemberships::erase(PoolMember& member) {
    if (member.in_warming_list) {
        std::erase(warming_, &member);
    }
    members_.erase(members_.find(*member.server));
}

void PoolMemberships::mark_pools_stale(const PoolMember& member) {
    for (const PlaceInPool& held : member.places) {
        stale_pools_.insert(held.pool);
    }
}

void PoolMemberships::mark_all_pools_stale() {
    for (std::size_t k = 0; k < pools_.size(); ++k) {
        if (!pools_[k].places.empty()) {
            stale_pools_.insert(k);
        }
    }
}

}  // namespace micaroad::decision
