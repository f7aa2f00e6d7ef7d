/// How much of a pool's traffic proxies may admit while all of its endpoints are warming up.
///
/// Where a pool has a warm endpoint, that one takes what exceeds the limits of the others. Without
/// one, slow start can limit no share, so the proxies have to admit fewer RPCs. Endpoints are put
/// into use one after the other, so the fraction grows with those that are: the first must not get
/// what is meant for all.
#pragma once

#include <cstddef>

#include "decision/scheduler_state.hpp"

namespace micaroad::decision {

/// By pool, 1 for pools that need no limit. Where admission is a rate at each proxy, a fraction is
/// 0 or 1, as the planner sends no other rates. Without admission control all are 1, and
/// endpoints are put into use once all of them together bear the traffic.
[[nodiscard]] RealVector admitted_pool_fractions(const SchedulerState& state);

/// Whether the endpoint may be put into use in the pool: with it, the endpoints of its subset bear
/// `admitted`, the fraction that proxies were told to admit.
[[nodiscard]] bool may_be_put_into_use(const SchedulerState& state, const RoutingEntry& entry,
                                       std::size_t pool, double admitted);

}  // namespace micaroad::decision
