/// Predicts the cost of a load on a set of endpoints, and the gradient of that cost by the load of
/// each endpoint. Each endpoint is modelled as an M/M/1 queue; docs/design.md gives the source of
/// the model and the departures from it.
#pragma once

#include <valarray>

namespace micaroad::decision {

/// One number for each element of a set of endpoints, methods or pools.
using RealVector = std::valarray<double>;

/// The cost of tail latency, in addition to that of the queues.
struct TailPenalty {
    double factor = 0;  ///< cost if the predicted 95th percentile equals `limit`
    double limit = 1;   ///< seconds
    double clamp = 1;   ///< utilization above which a queue length follows its tangent
};

struct QueuePrediction {
    double cost = 0;      ///< the sum of the queue lengths plus the tail penalty
    double p95 = 0;       ///< 95th percentile of the latency, seconds; 0 without load
    RealVector gradient;  ///< derivative of the cost by the rate of each endpoint
};

/// Predicts cost, tail latency and gradient. `rate` and `capacity` have one element per endpoint,
/// in RPCs per second; rates must not be negative, capacities must be positive. Pure function.
[[nodiscard]] QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                                             TailPenalty tail);

}  // namespace micaroad::decision
