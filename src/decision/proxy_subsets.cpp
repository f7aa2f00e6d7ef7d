#include "decision/proxy_subsets.hpp"

#include <algorithm>

namespace micaroad::decision {

void ProxySubsets::create_subsets(std::size_t count, int zone_count, std::size_t max_proxies) {
    const std::size_t pool_count = tables_.pools().size();
    subsets_.assign(count, {});
    for (std::size_t i = 0; i < count; ++i) {
        Subset& subset = subsets_[i];
        if (zone_count > 1) {
            subset.zone = ZoneId{static_cast<int>(i) % zone_count};
        }
        subset.endpoint_count = RealVector(pool_count);
        subset.wanted_weight = RealVector(pool_count);
        subset.usable_count = RealVector(pool_count);
    }
    wanted_weight_ = RealVector(pool_count);
    usable_count_ = RealVector(pool_count);
    groups_.reset(count, count + max_proxies);
    tables_.set_subset_count(count);
}

void ProxySubsets::recount(const RoutingTables::PoolSet& pools) {
    for (const std::size_t pool : pools) {
        recount_pool(pool);
    }
    coverages_.clear();
}

void ProxySubsets::recount_pool(std::size_t pool) {
    for (Subset& subset : subsets_) {
        subset.endpoint_count[pool] = 0;
        subset.wanted_weight[pool] = 0;
        subset.usable_count[pool] = 0;
    }
    for (const auto& [server, table_entry] : tables_.pools()[pool].entries) {
        if (table_entry.endpoint->sent() == 0) {
            continue;
        }
        Subset& subset = subsets_[table_entry.endpoint->subset];
        subset.wanted_weight[pool] += table_entry.wanted;
        subset.endpoint_count[pool] += table_entry.wanted > 0 ? 1 : 0;
        const bool usable = table_entry.wanted > 0 && !table_entry.endpoint->withdrawn;
        subset.usable_count[pool] += usable ? 1 : 0;
    }
    wanted_weight_[pool] = 0;
    usable_count_[pool] = 0;
    for (const Subset& subset : subsets_) {
        usable_count_[pool] += subset.usable_count[pool];
        wanted_weight_[pool] += subset.wanted_weight[pool];
    }
}

void ProxySubsets::add_endpoint(const RoutingEntry& entry, double sign) {
    Subset& subset = subsets_[entry.subset];
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        if (pool_entry.table_entry->wanted > 0) {
            subset.endpoint_count[pool_entry.pool] += sign;
        }
    }
}

PoolCoverage ProxySubsets::coverage(std::size_t subset, ZoneId zone) {
    const auto [it, added] = coverages_.try_emplace({subset, zone});
    PoolCoverage& coverage = it->second;
    if (!added || subsets_.size() == 1) {
        return coverage;
    }
    for (std::size_t pool = 0; pool < tables_.pools().size(); ++pool) {
        if (!tables_.pools()[pool].serves(zone) || wanted_weight_[pool] <= 0) {
            continue;
        }
        const double weight = subsets_[subset].wanted_weight[pool];
        const bool missing = usable_count_[pool] > 0 && subsets_[subset].usable_count[pool] <= 0;
        coverage.missing_pools += missing ? 1 : 0;
        coverage.min_pool_share = std::min(coverage.min_pool_share, weight / wanted_weight_[pool]);
    }
    return coverage;
}

void ProxySubsets::reset_success_margins() {
    for (Subset& subset : subsets_) {
        subset.success_margin = 0;
    }
}

void ProxySubsets::bind(ProxyId proxy, const BoundProxy& binding) {
    release(proxy);
    bound_proxies_[proxy] = binding;
    Subset& subset = subsets_[binding.subset];
    subset.proxies.insert(proxy);
    subset.proxies_by_zone[binding.zone].insert(proxy);
    if (binding.displaced) {
        subset.displaced_proxies.insert(proxy);
    }
    if (!binding.partial) {
        groups_.add_proxy(binding.group, proxy);
    }
    subset.rpcs_per_second += binding.rpcs_per_second;
}

void ProxySubsets::release(ProxyId proxy) {
    const auto bound = bound_proxies_.extract(proxy);
    if (!bound) {
        return;
    }
    if (!bound.mapped().partial) {
        groups_.remove_proxy(bound.mapped().group, proxy);
    }
    Subset& subset = subsets_[bound.mapped().subset];
    subset.proxies.erase(proxy);
    subset.displaced_proxies.erase(proxy);
    const auto of_zone = subset.proxies_by_zone.find(bound.mapped().zone);
    of_zone->second.erase(proxy);
    if (of_zone->second.empty()) {
        subset.proxies_by_zone.erase(of_zone);
    }
    subset.rpcs_per_second -= bound.mapped().rpcs_per_second;
}

}  // namespace micaroad::decision
