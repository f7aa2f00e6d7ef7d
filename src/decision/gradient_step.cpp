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

/// The largest 2-norm of the change of all shares in a step; the design's value.
constexpr double kMaxShareChange = 0.15;
/// Utilization past which a queue follows its tangent; the design's value, where it is a clamp.
constexpr double kUtilizationClamp = 0.95;
/// The tail penalty is kTailFactor e^(kTailExponent (p95 / limit - 1)); the design's values.
constexpr double kTailFactor = 5;
constexpr double kTailExponent = 10;
/// The tail penalty's exponent stops growing where p95 is at the limit; it has no end in the
/// design. Past that the model is so stiff that a larger factor allows no step.
constexpr double kMaxLateness = 1.0;
/// Step factor on the gradient of the cost's logarithm, times the number of endpoints, so that the
/// speed of learning depends neither on size nor on traffic. The design's is 0.5 on the gradient.
constexpr double kStepScale = 0.2;
/// Guards against a division by zero where nothing costs anything.
constexpr double kMinCost = 1e-9;
/// Smaller gains, as a fraction of the cost, are skipped. The design's is a tenth; one slow
/// endpoint of twenty costs less than that.
constexpr double kMinGain = 0.01;
/// A step is not halved any further.
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

    // A step within the bound can still overshoot the minimum of the prediction along it.
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

/// How far a whole step lowers the weights: the gradient of the cost by the weights, through the
/// derivative of the softmax.
PoolVectors GradientStep::weight_decreases(const QueuePrediction& current) const {
    const auto endpoint_count = static_cast<double>(input_.rates.size());
    const double scale =
        kStepScale * endpoint_count / std::max(current.cost, kMinCost) * input_.own_rate;
    PoolVectors decreases = current_shares_;
    for (std::size_t k = 0; k < decreases.size(); ++k) {
        const RealVector gradient = select_figures(current.gradient, input_.pools[k].step_indices);
        const double mean_gradient = (current_shares_[k] * gradient).sum();
        decreases[k] *= scale * input_.traffic_fractions[k] * (gradient - mean_gradient);
    }
    return decreases;
}

/// The largest fraction of a step that keeps the change of all shares within the bound.
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
