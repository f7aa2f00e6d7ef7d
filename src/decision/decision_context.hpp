/// What all components of the decision package share: settings, random engine, current time and the
/// order sink.
#pragma once

#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// Least time between two optimizer steps. The design starts at 5 s; a step much shorter than this
/// one would act again before the effect of the last has been reported.
constexpr Duration kOptimizerStepInterval = std::chrono::seconds(4);

/// Time between two ticks: short beside the time that a message to a proxy travels.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// The part of the older evidence that is kept from one optimizer step to the next. The evidence of
/// one step alone holds few RPCs a server.
constexpr double kEvidenceRetention = 0.25;

/// Owned by the planner, which sets `now` and takes `orders` at each decide(); the components hold
/// references to it. Not thread-safe.
struct DecisionContext {
    DecisionContext(DeploymentSettings settings, std::minstd_rand::result_type seed)
        : settings(std::move(settings)), random_engine(seed) {}

    const DeploymentSettings settings;

    /// The one source of chance: equal seeds and equal events make equal orders.
    std::minstd_rand random_engine;

    /// Time between two optimizer steps: a whole number of report intervals. A step that cut
    /// through them would see now more, now fewer reports.
    Duration step = (kOptimizerStepInterval + settings.report_interval - Duration{1}) /
                    settings.report_interval * settings.report_interval;

    /// The time that the host passed to this decide().
    TimePoint now;

    /// The orders of this decide(), in the order in which they are to take effect.
    std::vector<Order> orders;
};

/// Time until discovery is asked again, where it could not be asked: 0.2 s to 1 s, by chance, so
/// that planners that failed together do not retry together.
inline Duration random_backoff(DecisionContext& context) {
    constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
    constexpr Duration kBackoffRange = std::chrono::milliseconds(800);
    return kMinBackoff + Duration{context.random_engine() % kBackoffRange.count()};
}

}  // namespace micaroad::decision
