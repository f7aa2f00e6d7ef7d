/// Keeps the subsets of the endpoints and the proxies that are bound to each. SubsetAssignment
/// decides how many subsets there are and which endpoints and proxies belong to each.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decision/message_limit.hpp"
#include "decision/proxy_groups.hpp"
#include "decision/queue_model.hpp"
#include "decision/routing_tables.hpp"

namespace micaroad::decision {

/// A proxy that is bound to the tables of a subset.
struct BoundProxy {
    ZoneId zone;
    double rpcs_per_second = 0;
    std::size_t subset = 0;
    /// Bound to tables of its own with a few of the subset's endpoints, until the whole tables fit
    /// into the send window.
    bool partial = false;
    /// Moved here because its subset had no endpoint of a pool in use, and not moved again since.
    bool displaced = false;
    BindingTimes binding_times;  ///< on its current stream
    std::size_t group = 0;       ///< in ProxyGroups; without a meaning if the binding is partial
};

/// How much of the pools that the proxies of a zone use a subset has.
struct PoolCoverage {
    /// Pools of which the subset has no endpoint in use although another subset has one.
    int missing_pools = 0;
    /// The subset's smallest share of a pool, by wanted weight; 0 to 1.
    double min_pool_share = 1;
};

/// Some of the endpoints. Each proxy of the subset has the table entries of all of them, and no
/// others.
struct Subset {
    std::optional<ZoneId> zone;  ///< of all its endpoints; absent: it has endpoints of all zones
    RealVector endpoint_count;   ///< by pool
    RealVector wanted_weight;    ///< by pool
    /// Endpoints in use, by pool. Those that still have to be reinstated are not in use.
    RealVector usable_count;
    double rpcs_per_second = 0;  ///< of its proxies
    /// Sum over its warmed-up endpoints of their success fraction less kOverloadedSuccessFraction,
    /// multiplied by their weight.
    double success_margin = 0;
    std::set<ProxyId> proxies;
    std::map<ZoneId, std::set<ProxyId>> proxies_by_zone;  ///< the same; has no empty sets
    std::set<ProxyId> displaced_proxies;                  ///< those with BoundProxy::displaced

    [[nodiscard]] bool is_overloaded() const { return success_margin < 0; }
    /// Whether proxies of this zone reach its endpoints across zones.
    [[nodiscard]] bool is_remote_to(ZoneId proxy_zone) const {
        return zone.value_or(proxy_zone) != proxy_zone;
    }
};

/// All subsets of a planner. Not thread-safe.
class ProxySubsets {
 public:
    /// `tables` has to live as long as this object.
    explicit ProxySubsets(RoutingTables& tables) : tables_(tables) {}

    /// 0 until the first create_subsets().
    [[nodiscard]] std::size_t size() const { return subsets_.size(); }
    [[nodiscard]] bool empty() const { return subsets_.empty(); }
    [[nodiscard]] const std::vector<Subset>& all() const { return subsets_; }
    [[nodiscard]] const Subset& operator[](std::size_t index) const { return subsets_[index]; }
    [[nodiscard]] const std::map<ProxyId, BoundProxy>& bound_proxies() const {
        return bound_proxies_;
    }

    /// The groups of all subsets.
    [[nodiscard]] const ProxyGroups& groups() const { return groups_; }
    [[nodiscard]] ProxyGroups& groups() { return groups_; }

    /// Creates `count` empty subsets with one group each; allowed only while no proxy is bound and
    /// no table entry is sent. Table sets of further groups follow those of the proxies, of which
    /// there are at most `max_proxies`. With more than one zone the subsets are assigned to the
    /// zones in rotation; otherwise each has endpoints of all zones.
    void create_subsets(std::size_t count, int zone_count, std::size_t max_proxies);
    /// Recomputes the endpoint counts and wanted weights of all subsets for these pools.
    void recount(const RoutingTables::PoolSet& pools);
    /// Add an endpoint to the counts of its subset, or remove it again. recount() counts only
    /// endpoints of which an entry is sent.
    void count_endpoint(const RoutingEntry& entry) { add_endpoint(entry, 1); }
    void uncount_endpoint(const RoutingEntry& entry) { add_endpoint(entry, -1); }
    /// What proxies of the zone would get from the subset.
    [[nodiscard]] PoolCoverage coverage(std::size_t subset, ZoneId zone);

    void reset_success_margins();
    void add_success_margin(std::size_t subset, double margin) {
        subsets_[subset].success_margin += margin;
    }

    /// Binds a proxy; one that is already bound is bound anew.
    void bind(ProxyId proxy, const BoundProxy& binding);
    /// Removes a proxy, if it is bound.
    void release(ProxyId proxy);

 private:
    struct SubsetInZone {
        std::size_t subset = 0;
        ZoneId zone;
        auto operator<=>(const SubsetInZone&) const = default;
    };

    void add_endpoint(const RoutingEntry& entry, double sign);
    void recount_pool(std::size_t pool);

    RoutingTables& tables_;
    std::vector<Subset> subsets_;
    ProxyGroups groups_;
    std::map<ProxyId, BoundProxy> bound_proxies_;
    RealVector wanted_weight_;                        // by pool, summed over the subsets
    RealVector usable_count_;                         // by pool, summed over the subsets
    std::map<SubsetInZone, PoolCoverage> coverages_;  // computed on demand since recount()
};

}  // namespace micaroad::decision
