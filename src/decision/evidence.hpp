/// Attempt rates and latencies of endpoints, estimated from load reports.
#pragma once

#include <optional>
#include <vector>

#include "decision/pool.hpp"
#include "decision/queue_model.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// Each vector has an element for each endpoint.
struct EndpointEstimates {
    RealVector attempt_rates;  ///< attempts per second from this planner's proxies
    RealVector latencies;      ///< expected latency of an attempt, seconds
};

/// Weighs what load reports say of the endpoints.
///
/// A failed attempt counts as a response at twice the latency limit. This guards against endpoints
/// that fail fast and so look idle, that hang, or that cannot be reached. It could do harm where
/// few RPCs are seen; so thin evidence is shrunk to the mean: latencies to the mean of the
/// endpoint's kind, failure rates to the mean of all.
class EvidenceEstimator {
 public:
    /// `settings` must outlive the estimator.
    explicit EvidenceEstimator(const DeploymentSettings& settings) : settings_(settings) {}

    /// Returns nothing if no attempt at any of the endpoints succeeded.
    [[nodiscard]] std::optional<EndpointEstimates> estimate(
        const std::vector<PoolMember*>& endpoints);

    /// The latency past which a tail counts as late, seconds: twice the first mean latency, but at
    /// least the shortest soft deadline (the design's: twice the first median; what is in time has
    /// its full worth, so the deadline bounds it). 0 before the first estimate.
    [[nodiscard]] double latency_limit() const { return latency_limit_; }

 private:
    const DeploymentSettings& settings_;
    double latency_limit_ = 0;
};

}  // namespace micaroad::decision
