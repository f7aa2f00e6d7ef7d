#include "decision/evidence.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

#include "decision/method_settings.hpp"
#include "decision/real_vectors.hpp"

namespace micaroad::decision {

namespace {

/// Prior weight of the mean latency, in successful attempts: the latencies of single RPCs vary four
/// to five times as much as those of endpoints of the same kind. The original design has no prior;
/// it uses the pool's mean for endpoints without evidence.
constexpr double kLatencyPriorAttempts = 20;
/// Prior weight of the mean failure rate, in attempts: lower than that of the latency, as failures
/// are rare in normal operation. Not in the original design.
constexpr double kFailurePriorAttempts = 10;
/// Latency that a failed attempt counts as, in latency limits. Not in the original design.
constexpr double kFailureLatencyInLimits = 2.0;
/// Latency limit as a multiple of the first mean latency. The original design applies the same
/// factor to the median.
constexpr double kLimitPerFirstMean = 2;

/// For each endpoint, the sum of `values` over all endpoints of its kind.
RealVector sums_by_kind(const std::vector<PoolMember*>& endpoints, const RealVector& values) {
    std::map<KindId, double> sums;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        sums[endpoints[i]->status.listed.kind] += values[i];
    }
    return collect_values(endpoints, [&sums](const PoolMember& member) {
        return sums.at(member.status.listed.kind);
    });
}

}  // namespace

std::optional<EndpointEstimates> EvidenceEstimator::estimate(
    const std::vector<PoolMember*>& endpoints) {
    if (endpoints.empty()) {
        return std::nullopt;
    }
    const RealVector attempts =
        collect_values(endpoints, [](const PoolMember& member) { return member.status.attempts; });
    const RealVector failures =
        collect_values(endpoints, [](const PoolMember& member) { return member.status.failures; });
    const RealVector latency_sums = collect_values(
        endpoints, [](const PoolMember& member) { return member.status.success_latency_sum; });
    const RealVector windows = collect_values(
        endpoints, [](const PoolMember& member) { return member.status.window_seconds; });
    const RealVector successes = attempts - failures;
    if (successes.sum() <= 0) {
        return std::nullopt;
    }
    const double mean_latency = latency_sums.sum() / successes.sum();
    if (latency_limit_ == 0) {
        latency_limit_ =
            std::max(shortest_soft_deadline(settings_), kLimitPerFirstMean * mean_latency);
    }
    const RealVector kind_latencies =
        (sums_by_kind(endpoints, latency_sums) + kLatencyPriorAttempts * mean_latency) /
        (sums_by_kind(endpoints, successes) + kLatencyPriorAttempts);
    const RealVector failure_rates =
        (failures + kFailurePriorAttempts * failures.sum() / attempts.sum()) /
        (attempts + kFailurePriorAttempts);
    EndpointEstimates estimates;
    estimates.latencies = kFailureLatencyInLimits * latency_limit_ * failure_rates +
                          (1.0 - failure_rates) *
                              (latency_sums + kLatencyPriorAttempts * kind_latencies) /
                              (successes + kLatencyPriorAttempts);
    estimates.attempt_rates = attempts / windows.max();
    return estimates;
}

}  // namespace micaroad::decision
