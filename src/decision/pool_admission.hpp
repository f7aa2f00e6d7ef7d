/// How much of a pool's traffic proxies may admit while all of its endpoints are warming up.
///
/// Where a pool has a warm endpoint, that one takes what exceeds the limits of the others. Without
/// one, slow start can limit no share, so the proxies have to admit fewer RPCs. Endpoints are put
/// into use one after the other, so the fraction grows with those that are: the first must not get
/// what is meant for all.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "decision/scheduler_state.hpp"

namespace micaroad::decision {

/// Computes from the tables what each pool may admit. Keeps sums over a pool's endpoints until
/// forget_sums(), so that a check of each endpoint does not iterate over all.
class PoolAdmission {
 public:
    /// `state` has to live as long as this object.
    explicit PoolAdmission(const SchedulerState& state) : state_(state) {}

    /// Has to be called after table entries, withdrawals or what groups were sent have changed.
    void forget_sums() { sums_.clear(); }

    /// By pool, 1 for pools that need no limit. Where admission is a rate at each proxy, a fraction
    /// is 0 or 1, as the planner sends no other rates. Without admission control all are 1, and
    /// endpoints are put into use once all of them together bear the traffic.
    [[nodiscard]] RealVector fractions();

    /// Whether the endpoint may be put into use in the pool: with it, the endpoints of its subset
    /// bear `admitted`, the fraction that proxies were told to admit.
    [[nodiscard]] bool may_be_put_into_use(const RoutingEntry& entry, std::size_t pool,
                                           double admitted);

 private:
    /// Shares of the pool's endpoints in one subset, as published.
    struct SubsetShares {
        double all = 0;
        double in_use = 0;  ///< of the endpoints that proxies use
    };

    [[nodiscard]] bool is_in_use(const TableEntry& table_entry) const;
    [[nodiscard]] const std::vector<SubsetShares>& shares_by_subset(std::size_t pool);
    [[nodiscard]] double fraction(std::size_t pool);

    const SchedulerState& state_;
    std::map<std::size_t, std::vector<SubsetShares>> sums_;  // by pool
};

}  // namespace micaroad::decision
