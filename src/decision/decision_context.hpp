/// What all components of the decision package share: settings, random engine, current time and the
/// order sink.
#pragma once

#include <chrono>
#include <random>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

// The design starts at 5 s. Shorter steps act again before what the last one did is heard.
constexpr Duration kStepEvery = std::chrono::seconds(4);
constexpr Duration kTick = std::chrono::milliseconds(100);  // short beside a message's way
constexpr double kMemory =
    0.25;  // of what was heard before a step: one alone sees few RPCs a server

struct DecisionContext {  // what every part may look at
    const DeploymentSettings settings;
    std::minstd_rand chance;
    // A whole number of report periods, as one that cuts through them sees now more, now fewer.
    Duration step = (kStepEvery + settings.report_interval - Duration{1}) /
                    settings.report_interval * settings.report_interval;
    TimePoint now{};
    std::vector<Order> orders{};
};

// When discovery could not be asked: a wait that instances do not share.
inline Duration resubscribe_after(DecisionContext& context) {
    return Duration{2'000 + context.chance() % 8'000};
}

}  // namespace micaroad::decision
