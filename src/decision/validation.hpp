/// Validity checks on the numbers of a report. The planner drops invalid reports before any
/// component gets them.
#pragma once

#include <cmath>
#include <iterator>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// Whether both counts are finite, `all` is positive and `part` is not negative. `part` may exceed
/// `all`.
[[nodiscard]] inline bool is_valid_count(double all, double part) {
    return std::isfinite(all + part) && all > 0 && part >= 0;
}

/// Whether the report covers at least one attempt in a window of positive length.
[[nodiscard]] inline bool is_valid(const event::EndpointLoadReport& report) {
    return is_valid_count(report.attempts, report.failures) && report.mean_latency >= Duration{} &&
           report.window > Duration{};
}

/// Whether the report covers at least one request of a method that the deployment has.
[[nodiscard]] inline bool is_valid(const event::DemandReport& report,
                                   const DeploymentSettings& settings) {
    const bool is_known_method =
        report.method.value >= 0 && report.method.value < std::ssize(settings.methods);
    return is_known_method && is_valid_count(report.requests, report.unanswered);
}

}  // namespace micaroad::decision
