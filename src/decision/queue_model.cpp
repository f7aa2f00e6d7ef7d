#include "decision/queue_model.hpp"

#include <cmath>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

/// The fraction of RPCs that is later than the 95th percentile.
constexpr double kLateFraction = 0.05;
/// Bounds the search for the 95th percentile: e^-3 is less than kLateFraction.
constexpr double kSearchExponent = 3;

/// Endpoints as M/M/1 queues, one element each.
struct QueueState {
    RealVector fading;  ///< factor on the spare capacity past the clamp; 1 below it
    RealVector spare;   ///< spare capacity, RPCs per second: the rate of the exponential latency
};

/// The time in seconds after which only kLateFraction of all RPCs are unanswered.
double find_p95(const RealVector& rate, double total_rate, const RealVector& spare) {
    const auto unanswered = [&](double time) {
        return (rate * std::exp(-spare * time)).sum() / total_rate;
    };
    return bisect_falling(0, kSearchExponent / spare.min(), kLateFraction, unanswered);
}

/// The derivative of the 95th percentile by the rate of each endpoint, from the implicit function
/// that defines it.
RealVector p95_gradient(const RealVector& rate, const QueueState& queues, double p95) {
    const RealVector unanswered = std::exp(-queues.spare * p95);
    return (unanswered - kLateFraction + rate * queues.fading * p95 * unanswered) /
           (rate * queues.spare * unanswered).sum();
}

}  // namespace

// The design clamps the utilization. Here both the queue and the spare capacity go on past the
// clamp, as a flat prediction has no slope where it matters.
QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                               TailPenalty tail) {
    const RealVector utilization = rate / capacity;
    RealVector clamped = utilization;
    clamped[clamped > tail.clamp] = tail.clamp;
    const RealVector slope = 1.0 / ((1.0 - clamped) * (1.0 - clamped));
    QueueState queues;
    queues.fading = std::exp((clamped - utilization) / (1 - tail.clamp));
    queues.spare = capacity * (1.0 - clamped) * queues.fading;

    QueuePrediction prediction;
    prediction.cost = (clamped / (1.0 - clamped) + (utilization - clamped) * slope).sum();
    prediction.gradient = slope / capacity;
    const double total_rate = rate.sum();
    if (total_rate <= 0) {
        return prediction;
    }
    prediction.p95 = find_p95(rate, total_rate, queues.spare);
    prediction.cost += tail.factor * prediction.p95 / tail.limit;
    prediction.gradient += tail.factor / tail.limit * p95_gradient(rate, queues, prediction.p95);
    return prediction;
}

}  // namespace micaroad::decision
