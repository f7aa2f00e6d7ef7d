#include "decision/share_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace micaroad::decision {

namespace {

RealVector softmax(const PoolSnapshot& pool, const RealVector& weights) {
    const double largest = RealVector(weights[pool.sizes > 0.0]).max();
    RealVector shares = std::exp(weights - largest);
    shares[pool.sizes == 0.0] = 0;
    shares /= shares.sum();
    return shares;
}

}  // namespace

RealVector capped_softmax(const PoolSnapshot& pool, const RealVector& weights) {
    if (pool.size_sum == 0) {
        return RealVector(pool.places.size());
    }
    RealVector shares = softmax(pool, weights);
    RealVector limited = shares;    // of the endpoints with a limit; 0 for the others
    RealVector unlimited = shares;  // of the endpoints without one
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double limit = pool.share_limits[i];
        if (limit < 1) {
            limited[i] = std::min(limited[i], limit);
            unlimited[i] = 0;
        } else {
            limited[i] = 0;
        }
    }
    const double unlimited_sum = unlimited.sum();
    if (!(unlimited_sum > 0)) {
        return shares;
    }
    return limited + unlimited * (1 - limited.sum()) / unlimited_sum;
}

void add_rate_changes(const PoolSnapshot& pool, const RealVector& shares, double pool_rate,
                      RealVector& rates) {
    for (std::size_t i = 0; i < shares.size(); ++i) {
        rates[pool.step_indices[i]] += pool_rate * (shares[i] - pool.published_shares[i]);
    }
}

double squared_distance(const RealVector& from, const RealVector& to) {
    return std::pow(to - from, 2.0).sum();
}

}  // namespace micaroad::decision
