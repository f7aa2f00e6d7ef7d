#include "decision/queue_model.hpp"

#include <cmath>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

/// Fraction of RPCs with a latency above the 95th percentile.
constexpr double kLateFraction = 0.05;
/// Upper bound of the search for the 95th percentile: e^-3 is less than kLateFraction.
constexpr double kSearchExponent = 3;

/// Endpoints as M/M/1 queues, one element per endpoint.
struct QueueState {
    RealVector decay;           ///< factor on the spare capacity above the clamp; 1 below it
    RealVector spare_capacity;  ///< RPCs per second: the rate of the exponential latency
};

/// The time in seconds after which kLateFraction of all RPCs are still unanswered.
double find_p95(const RealVector& rate, double total_rate, const RealVector& spare_capacity) {
    const auto unanswered = [&](double time) {
        return (rate * std::exp(-spare_capacity * time)).sum() / total_rate;
    };
    return bisect_falling(0, kSearchExponent / spare_capacity.min(), kLateFraction, unanswered);
}

/// The derivative of the 95th percentile by the rate of each endpoint, from the implicit function
/// that defines it.
RealVector p95_gradient(const RealVector& rate, const QueueState& queues, double p95) {
    const RealVector unanswered = std::exp(-queues.spare_capacity * p95);
    return (unanswered - kLateFraction + rate * queues.decay * p95 * unanswered) /
           (rate * queues.spare_capacity * unanswered).sum();
}

}  // namespace

// The original design clamps the utilization. Here the queue length and the spare capacity keep
// changing above the clamp: a constant prediction would have no gradient at overloaded endpoints.
QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                               TailPenalty tail) {
    const RealVector utilization = rate / capacity;
    RealVector clamped = utilization;
    clamped[clamped > tail.clamp] = tail.clamp;
    const RealVector slope = 1.0 / ((1.0 - clamped) * (1.0 - clamped));
    QueueState queues;
    queues.decay = std::exp((clamped - utilization) / (1 - tail.clamp));
    queues.spare_capacity = capacity * (1.0 - clamped) * queues.decay;

    QueuePrediction prediction;
    prediction.cost = (clamped / (1.0 - clamped) + (utilization - clamped) * slope).sum();
    prediction.gradient = slope / capacity;
    const double total_rate = rate.sum();
    if (total_rate <= 0) {
        return prediction;
    }
    prediction.p95 = find_p95(rate, total_rate, queues.spare_capacity);
    prediction.cost += tail.factor * prediction.p95 / tail.limit;
    prediction.gradient += tail.factor / tail.limit * p95_gradient(rate, queues, prediction.p95);
    return prediction;
}

}  // namespace micaroad::decision
