/// Predicts what a set of servers costs at a load, and how that cost changes with the load of each
/// server.
#pragma once

#include <valarray>

namespace micaroad::decision {

/// A figure for each of some servers or methods.
using RealVector = std::valarray<double>;

/// What a late tail costs beside the queues.
struct TailPenalty {
    double factor = 0;  ///< cost of a predicted 95th percentile of one `limit`
    double limit = 1;   ///< seconds
    double clamp = 1;   ///< utilization of a server past which its queue goes on along the tangent
};

struct QueuePrediction {
    double cost = 0;
    double p95 = 0;       ///< 95th percentile of the latency, seconds
    RealVector gradient;  ///< of the cost, by the rate of each server
};

/// Rates and capacities are RPCs per second, one of each a server.
QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                               TailPenalty tail);

}  // namespace micaroad::decision
