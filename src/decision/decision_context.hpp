/// The state that all components of the decision package share: settings, random engine, current
/// time and the orders of the current decision.
#pragma once

#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// Minimum time between two optimizer steps. With a much shorter interval, a step would start
/// before reports show the effect of the previous one. The original design starts at 5 s.
constexpr Duration kOptimizerStepInterval = std::chrono::seconds(4);

/// Time between two ticks: short compared to the transmission time of a message to a proxy.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// Fraction of the accumulated evidence that is kept from one optimizer step to the next. The
/// evidence of a single step covers only a few RPCs per server.
constexpr double kEvidenceRetention = 0.25;

/// The planner owns it, sets `now` and takes `orders` in each decide(); the components hold
/// references to it. Not thread-safe.
struct DecisionContext {
    DecisionContext(DeploymentSettings settings, std::minstd_rand::result_type seed)
        : settings(std::move(settings)), random_engine(seed) {}

    const DeploymentSettings settings;

    /// The only source of randomness: equal seeds and equal events give equal orders.
    std::minstd_rand random_engine;

    /// Time between two optimizer steps: a whole number of report intervals, as otherwise the
    /// number of reports would differ from step to step.
    Duration step = (kOptimizerStepInterval + settings.report_interval - Duration{1}) /
                    settings.report_interval * settings.report_interval;

    /// The time that the host passed to the current decide().
    TimePoint now;

    /// The orders of the current decide(), in the order in which they take effect.
    std::vector<Order> orders;
};

/// Time until the next request to discovery after a list could not be fetched: random, 0.2 s to 1
/// s, so that planners that failed at the same time do not all retry at the same time.
inline Duration random_backoff(DecisionContext& context) {
    constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
    constexpr Duration kBackoffRange = std::chrono::milliseconds(800);
    return kMinBackoff + Duration{context.random_engine() % kBackoffRange.count()};
}

}  // namespace micaroad::decision
