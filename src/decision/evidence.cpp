#include "decision/evidence.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

#include "decision/method_settings.hpp"
#include "decision/real_vectors.hpp"

namespace micaroad::decision {

namespace {

/// Prior weight of the mean latency, in successful attempts: latencies of single RPCs vary four to
/// five times more than endpoints of a kind do. The design has no prior; it takes the pool's mean
/// for endpoints without evidence.
constexpr double kLatencyPriorAttempts = 20;
/// Prior weight of the mean failure rate, in attempts: less, as failures are rare where nothing is
/// wrong. Not in the design.
constexpr double kFailurePriorAttempts = 10;
/// What a failed attempt counts as, in latency limits. Not in the design.
constexpr double kFailureLatencyInLimits = 2.0;
/// The latency limit over the first mean latency; the design's factor, there on the median.
constexpr double kLimitOverFirstMean = 2;

/// For each endpoint the sum of a figure over all endpoints of its kind.
RealVector sums_by_kind(const std::vector<PoolMember*>& endpoints, const RealVector& figures) {
    std::map<KindId, double> sums;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        sums[endpoints[i]->status.listed.kind] += figures[i];
    }
    return collect_figures(endpoints, [&sums](const PoolMember& member) {
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
        collect_figures(endpoints, [](const PoolMember& member) { return member.status.attempts; });
    const RealVector failures =
        collect_figures(endpoints, [](const PoolMember& member) { return member.status.failures; });
    const RealVector latency_sums = collect_figures(
        endpoints, [](const PoolMember& member) { return member.status.success_latency_sum; });
    const RealVector windows = collect_figures(
        endpoints, [](const PoolMember& member) { return member.status.window_seconds; });
    const RealVector successes = attempts - failures;
    if (successes.sum() <= 0) {
        return std::nullopt;
    }
    const double mean_latency = latency_sums.sum() / successes.sum();
    if (latency_limit_ == 0) {
        latency_limit_ =
            std::max(shortest_soft_deadline(settings_), kLimitOverFirstMean * mean_latency);
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
