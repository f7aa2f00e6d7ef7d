/// Gradient descent on the predicted cost: one bounded step for all weights.
#pragma once

#include <optional>
#include <vector>

#include "decision/pool.hpp"
#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// One vector per pool, with one element per endpoint of the pool.
using PoolVectors = std::vector<RealVector>;

/// The input of a step. Endpoints are indexed by their `step_index`.
struct StepInput {
    std::vector<PoolSnapshot> pools;        ///< the pools that have endpoints in the step
    std::vector<double> traffic_fractions;  ///< fraction of this planner's traffic, by pool
    RealVector rates;                       ///< attempts per second from all proxies, by endpoint
    RealVector capacities;                  ///< RPCs per second, by endpoint
    double own_rate = 0;       ///< attempts per second from this planner's proxies to all endpoints
    double latency_limit = 0;  ///< seconds; positive
};

/// A change that lowers each weight by `fraction` times its element of `decreases`.
struct WeightChange {
    double fraction = 0;
    PoolVectors decreases;
};

/// Computes a step as docs/design.md describes it: from the exact gradient of the queue and tail
/// costs by the weights of all pools, with a bound on the change of the shares. The step is halved
/// while the half step has a lower predicted cost.
class GradientStep {
 public:
    explicit GradientStep(StepInput input);

    /// Returns nullopt if the predicted gain is too small to justify a change.
    [[nodiscard]] std::optional<WeightChange> compute() const;

    /// The pools of the step's input.
    [[nodiscard]] const std::vector<PoolSnapshot>& pools() const { return input_.pools; }

 private:
    [[nodiscard]] PoolVectors shares_after(double fraction, const PoolVectors& decreases) const;
    [[nodiscard]] QueuePrediction predict(const PoolVectors& shares, const TailPenalty& tail) const;
    [[nodiscard]] TailPenalty tail_penalty() const;
    [[nodiscard]] PoolVectors weight_decreases(const QueuePrediction& current) const;
    [[nodiscard]] double bounded_fraction(const PoolVectors& decreases) const;

    StepInput input_;
    PoolVectors current_shares_;
};

}  // namespace micaroad::decision
