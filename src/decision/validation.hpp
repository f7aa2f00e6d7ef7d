/// Checks on reported figures: a report that cannot be true is dropped before any component sees
/// it.
#pragma once

#include <cmath>
#include <iterator>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// Both are finite, `all` is positive and `part` is not negative. `part` may exceed `all`.
[[nodiscard]] inline bool is_count(double all, double part) {
    return std::isfinite(all + part) && all > 0 && part >= 0;
}

/// There was an attempt, and a window in which it was counted.
[[nodiscard]] inline bool is_valid(const event::EndpointLoadReport& report) {
    return is_count(report.attempts, report.failures) && report.mean_latency >= Duration{} &&
           report.window > Duration{};
}

/// There was a request, of a method that the deployment has.
[[nodiscard]] inline bool is_valid(const event::DemandReport& report,
                                   const DeploymentSettings& settings) {
    const bool is_known_method =
        report.method.value >= 0 && report.method.value < std::ssize(settings.methods);
    return is_known_method && is_count(report.requests, report.unanswered);
}

}  // namespace micaroad::decision
