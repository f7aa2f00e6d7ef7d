/// Events whose figures can be true.
#pragma once

#include <cmath>
#include <iterator>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// A positive finite count and a part of it.
inline bool is_count(double all, double part) {
    return std::isfinite(all + part) && all > 0 && part >= 0;
}

inline bool is_valid(const event::EndpointLoadReport& report) {
    return is_count(report.attempts, report.failures) && report.mean_latency >= Duration{} &&
           report.window > Duration{};
}

inline bool is_valid(const event::DemandReport& report, const DeploymentSettings& settings) {
    const bool known =
        report.method.value >= 0 && report.method.value < std::ssize(settings.methods);
    return known && is_count(report.requests, report.unanswered);
}

}  // namespace micaroad::decision
