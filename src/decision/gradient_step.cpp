#include "decision/gradient_step.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "decision/numeric.hpp"
#include "decision/real_vectors.hpp"
#include "decision/share_assignment.hpp"

namespace micaroad::decision {

namespace {

/// Maximum 2-norm of the change of all shares in a step; value of the original design.
constexpr double kMaxShareChange = 0.15;
/// Utilization above which the queue length continues along its tangent. The original design clamps
/// the utilization at this value.
constexpr double kUtilizationClamp = 0.95;
/// The tail penalty is kTailFactor e^(kTailExponent (p95 / limit - 1)); values of the original
/// design.
constexpr double kTailFactor = 5;
constexpr double kTailExponent = 10;
/// Upper bound of p95 / limit in the exponent of the tail penalty, which the original design does
/// not bound. Above it the model is so stiff that a larger factor allows no step.
constexpr double kMaxLateness = 1.0;
/// Step factor on the gradient of the logarithm of the cost, multiplied by the number of endpoints,
/// so that the learning rate depends neither on the number of endpoints nor on the traffic. The
/// original design applies 0.5 to the gradient of the cost.
constexpr double kStepScale = 0.2;
/// Prevents a division by zero if the cost is 0.
constexpr double kMinCost = 1e-9;
/// Minimum gain of a step, as a fraction of the cost. The original design requires a tenth, which
/// is more than the cost of one slow endpoint among twenty.
constexpr double kMinGain = 0.01;
/// Steps are not halved below this fraction.
constexpr double kMinFraction = 1e-3;

}  // namespace

GradientStep::GradientStep(StepInput input) : input_(std::move(input)) {
    for (const PoolSnapshot& pool : input_.pools) {
        current_shares_.push_back(capped_softmax(pool, pool.weights));
    }
}

std::optional<WeightChange> GradientStep::compute() const {
    const TailPenalty tail = tail_penalty();
    const QueuePrediction current = predict(current_shares_, tail);
    WeightChange change;
    change.decreases = weight_decreases(current);
    change.fraction = bounded_fraction(change.decreases);

    // A step within the bound can still overshoot the minimum of the predicted cost in its
    // direction.
    const auto cost_after = [&](double fraction) {
        return predict(shares_after(fraction, change.decreases), tail).cost;
    };
    double cost = cost_after(change.fraction);
    while (change.fraction > kMinFraction) {
        const double cost_of_half = cost_after(change.fraction / 2);
        if (!(cost_of_half < cost)) {
            break;
        }
        cost = cost_of_half;
        change.fraction /= 2;
    }
    if (!(current.cost - cost > kMinGain * current.cost)) {
        return std::nullopt;
    }
    return change;
}

PoolVectors GradientStep::shares_after(double fraction, const PoolVectors& decreases) const {
    PoolVectors shares(input_.pools.size());
    for (std::size_t k = 0; k < shares.size(); ++k) {
        const PoolSnapshot& pool = input_.pools[k];
        shares[k] = capped_softmax(pool, RealVector(pool.weights - fraction * decreases[k]));
    }
    return shares;
}

QueuePrediction GradientStep::predict(const PoolVectors& shares, const TailPenalty& tail) const {
    RealVector rates = input_.rates;
    for (std::size_t k = 0; k < input_.pools.size(); ++k) {
        const double pool_rate = input_.own_rate * input_.traffic_fractions[k];
        add_rate_changes(input_.pools[k], shares[k], pool_rate, rates);
    }
    rates[rates < 0.0] = 0;
    return predict_queues(rates, input_.capacities, tail);
}

TailPenalty GradientStep::tail_penalty() const {
    const TailPenalty without_tail{0, 1, kUtilizationClamp};
    const double p95 = predict(current_shares_, without_tail).p95;
    const double lateness = std::min(p95 / input_.latency_limit, kMaxLateness);
    const double factor = kTailFactor * std::exp(kTailExponent * (lateness - 1));
    return {factor, input_.latency_limit, kUtilizationClamp};
}

/// The decrease of each weight in a full step: the scaled gradient of the cost by the weights, from
/// the gradient by the rates and the derivative of the softmax.
PoolVectors GradientStep::weight_decreases(const QueuePrediction& current) const {
    const auto endpoint_count = static_cast<double>(input_.rates.size());
    const double scale =
        kStepScale * endpoint_count / std::max(current.cost, kMinCost) * input_.own_rate;
    PoolVectors decreases = current_shares_;
    for (std::size_t k = 0; k < decreases.size(); ++k) {
        const RealVector gradient = select_values(current.gradient, input_.pools[k].step_indices);
        const double mean_gradient = (current_shares_[k] * gradient).sum();
        decreases[k] *= scale * input_.traffic_fractions[k] * (gradient - mean_gradient);
    }
    return decreases;
}

/// The largest fraction of a full step that keeps the change of all shares within the bound.
double GradientStep::bounded_fraction(const PoolVectors& decreases) const {
    const auto remaining = [&](double fraction) {
        const PoolVectors shares = shares_after(fraction, decreases);
        double sum = 0;
        for (std::size_t k = 0; k < shares.size(); ++k) {
            sum += squared_distance(current_shares_[k], shares[k]);
        }
        return kMaxShareChange - std::sqrt(sum);
    };
    return remaining(1) >= 0 ? 1 : bisect_falling(0, 1, 0, remaining);
}

}  // namespace micaroad::decision
