/// Predicts what a set of endpoints costs at a load, and how that cost changes with the load of
/// each endpoint. Each endpoint is an M/M/1 queue; docs/design.md gives the source and departures.
#pragma once

#include <valarray>

namespace micaroad::decision {

/// A figure for each of some endpoints or methods.
using RealVector = std::valarray<double>;

/// What a late tail costs besides the queues.
struct TailPenalty {
    double factor = 0;  ///< cost of a predicted 95th percentile of one `limit`
    double limit = 1;   ///< seconds
    double clamp = 1;   ///< utilization of an endpoint past which its queue follows the tangent
};

struct QueuePrediction {
    double cost = 0;      ///< the sum of the queue lengths plus the tail penalty
    double p95 = 0;       ///< 95th percentile of the latency, seconds; 0 without load
    RealVector gradient;  ///< of the cost, by the rate of each endpoint
};

/// Predicts cost, tail and gradient. `rate` and `capacity` have an element for each endpoint, in
/// RPCs per second; rates are at least 0, capacities positive. Pure function.
[[nodiscard]] QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                                             TailPenalty tail);

}  // namespace micaroad::decision
