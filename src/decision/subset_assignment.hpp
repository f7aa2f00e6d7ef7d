/// Decides how many subsets of the endpoints there are, which endpoint belongs to which, which
/// subset a proxy is bound to, and which proxy moves where loads differ.
///
/// The channel may be unable to carry tables of all endpoints, or each withdrawal, to all proxies
/// in time. The tables and withdrawals of a subset are therefore sent to its own proxies only. This
/// could do harm where few endpoints are left in a subset, so its proxies then move to other
/// subsets. The design has one table per pool for all proxies; docs/design.md, "Subsets", says
/// where and why this departs from it.
#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "decision/scheduler_state.hpp"

namespace micaroad::decision {

/// A proxy that is to leave its subset for another one.
struct ProxyMove {
    ProxyId proxy;
    std::size_t to = 0;
};

/// Changes the subsets and RoutingEntry::subset; sends nothing. Where the settings limit the
/// messages to a proxy, no move is proposed that would exceed the limit.
class SubsetAssignment {
 public:
    /// `state` has to live as long as this object.
    explicit SubsetAssignment(SchedulerState& state) : state_(state) {}

    /// Creates the subsets, as long as no entry is sent and no proxy is bound, and assigns the
    /// endpoints of which no entry is sent. `pools` have changed since the last call.
    void assign(const RoutingTables::PoolSet& pools, bool weights_published);

    /// The subset with the least load for a proxy of this zone and rate, among those that have
    /// endpoints of the most pools.
    [[nodiscard]] std::size_t least_loaded(ZoneId zone, double rpcs_per_second);

    /// A move of a proxy whose subset has no endpoint in use of a pool to one that has endpoints of
    /// more pools; absent if there is no such proxy and subset.
    [[nodiscard]] std::optional<ProxyMove> next_move_to_endpoints();

    /// A move from the most loaded subset; absent where loads differ by no more than chance. Where
    /// messages are limited, only displaced proxies move.
    [[nodiscard]] std::optional<ProxyMove> next_move_by_load();

 private:
    void create_subsets();
    [[nodiscard]] double wanted_table_entries() const;
    void assign_unsent();
    void measure_success(bool weights_published);
    [[nodiscard]] std::size_t subset_for(const RoutingEntry& entry) const;
    [[nodiscard]] double load(std::size_t subset, ZoneId zone, double more_rpcs_per_second);

    [[nodiscard]] std::optional<ProxyId> first_to_rebalance(const Subset& subset) const;

    using LimitCheck = bool (MessageLimit::*)(const BindingTimes&, TimePoint) const;
    /// The first of the proxies that the limit on messages allows to be bound again now.
    [[nodiscard]] std::optional<ProxyId> first_allowed(const std::set<ProxyId>& proxies,
                                                       LimitCheck is_allowed) const;

    SchedulerState& state_;
};

}  // namespace micaroad::decision
