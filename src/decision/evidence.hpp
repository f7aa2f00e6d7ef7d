/// Attempt rates and latencies of endpoints, estimated from load reports.
#pragma once

#include <optional>
#include <vector>

#include "decision/pool.hpp"
#include "decision/queue_model.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// The estimates for a set of endpoints. Each vector has one element per endpoint.
struct EndpointEstimates {
    RealVector attempt_rates;  ///< attempts per second from this planner's proxies
    RealVector latencies;      ///< expected latency of an attempt, seconds
};

/// Estimates the attempt rates and latencies of endpoints from load reports.
///
/// A failed attempt counts as a response at twice the latency limit. This moves traffic away
/// from endpoints that fail fast and so look idle, that hang, or that cannot be reached. It could
/// do harm where few RPCs are observed, so estimates from little evidence are shrunk to the mean:
/// latencies to that of the endpoint's kind, failure rates to that of all endpoints.
class EvidenceEstimator {
 public:
    /// `settings` must outlive the estimator.
    explicit EvidenceEstimator(const DeploymentSettings& settings) : settings_(settings) {}

    /// Returns nullopt if no attempt at any of the endpoints succeeded.
    [[nodiscard]] std::optional<EndpointEstimates> estimate(
        const std::vector<PoolMember*>& endpoints);

    /// The limit for tail latencies, in seconds: twice the first mean latency, but at least the
    /// shortest soft deadline, as answers before that deadline keep their full value. The original
    /// design uses twice the first median. 0 before the first estimate.
    [[nodiscard]] double latency_limit() const { return latency_limit_; }

 private:
    const DeploymentSettings& settings_;
    double latency_limit_ = 0;
};

}  // namespace micaroad::decision
