// The design's prediction: arithmetic over rates and capacities. Where it stops following the
// queue's curve, and what a late tail costs, is told by the module.
#include "decision/queue_model.hpp"

#include <cmath>

#include "decision/numeric.hpp"

namespace micaroad::decision {

// M/M/1's queues and tail. Past the design's clamp of u both go on: a flat one has no slope where
// it matters.
QueuePrediction predict_queues(const RealVector& rate, const RealVector& capacity,
                               TailPenalty tail) {
    const RealVector u = rate / capacity;
    RealVector v = u;
    v[v > tail.clamp] = tail.clamp;
    const RealVector steep = 1.0 / ((1.0 - v) * (1.0 - v));
    const RealVector fading = std::exp((v - u) / (1 - tail.clamp));
    const RealVector spare = capacity * (1.0 - v) * fading;
    QueuePrediction ahead{(v / (1.0 - v) + (u - v) * steep).sum(), 0, steep / capacity};
    const double total = rate.sum();
    if (total <= 0) {
        return ahead;
    }
    const auto unanswered = [&](double t) { return (rate * std::exp(-spare * t)).sum() / total; };
    const double t = ahead.p95 =
        crossing(0, 3 / spare.min(), 0.05, unanswered);  // e^-3 is under 0.05
    const RealVector rest = std::exp(-spare * t);
    const RealVector raise = (rest - 0.05 + rate * fading * t * rest) / (rate * spare * rest).sum();
    ahead.cost += tail.factor * t / tail.limit;
    ahead.gradient += tail.factor / tail.limit * raise;
    return ahead;
}

}  // namespace micaroad::decision
