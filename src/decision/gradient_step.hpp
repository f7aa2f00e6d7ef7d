/// One bounded gradient step of all weights on a predicted cost.
#pragma once

#include <optional>
#include <vector>

#include "decision/pool.hpp"
#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// A vector for each pool, with an element for each of its endpoints.
using PoolVectors = std::vector<RealVector>;

/// What a step starts from. Endpoints are numbered by their `step_index`.
struct StepInput {
    std::vector<PoolSnapshot> pools;        ///< those that have endpoints in the step
    std::vector<double> traffic_fractions;  ///< of this planner's traffic, by pool
    RealVector rates;                       ///< attempts per second from all proxies, by endpoint
    RealVector capacities;                  ///< RPCs per second, by endpoint
    double own_rate = 0;  ///< attempts per second from this planner's proxies, of all endpoints
    double latency_limit = 0;  ///< seconds; positive
};

/// Lowers each weight by `fraction * decreases`.
struct WeightChange {
    double fraction = 0;
    PoolVectors decreases;
};

/// Computes a step as docs/design.md describes it: the exact gradient of queues and tail over the
/// weights of all pools at once, a bound on the change of the shares, and halving while half the
/// step is predicted to cost less.
class GradientStep {
 public:
    explicit GradientStep(StepInput input);

    /// Returns nothing if the predicted gain is too small to be worth a change.
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
