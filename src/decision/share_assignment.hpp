/// Shares of a pool's traffic from the weights of its endpoints.
#pragma once

#include "decision/pool.hpp"
#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// The softmax over `weights`, bounded by the share limits of `pool`. Endpoints of size 0 get
/// nothing. What exceeds a limit is distributed over the endpoints without one, in proportion to
/// their shares; if all have a limit, no limit applies. All shares are 0 if all sizes are.
[[nodiscard]] RealVector capped_softmax(const PoolSnapshot& pool, const RealVector& weights);

/// Adds to `rates`, which has an element for each endpoint of the optimizer step, the change of
/// each endpoint's rate when the pool's shares move from the published ones to `shares`.
/// `pool_rate`: RPCs per second of the pool.
void add_rate_changes(const PoolSnapshot& pool, const RealVector& shares, double pool_rate,
                      RealVector& rates);

/// The square of the Euclidean distance. Both vectors have the same length, at least 1.
[[nodiscard]] double squared_distance(const RealVector& from, const RealVector& to);

}  // namespace micaroad::decision
