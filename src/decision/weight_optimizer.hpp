/// Learns the weights of endpoints from load reports.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/evidence.hpp"
#include "decision/gradient_step.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/method_settings.hpp"
#include "decision/pool_membership.hpp"
#include "decision/slow_start.hpp"
#include "decision/update_scheduler.hpp"

namespace micaroad::decision {

/// Changes the weights of all pools by one bounded gradient step at a time and publishes changed
/// shares to the update scheduler. Not thread-safe.
class WeightOptimizer {
 public:
    /// Posts the bindings of all pools to `scheduler`. Both arguments must outlive the optimizer.
    WeightOptimizer(DecisionContext& context, UpdateScheduler& scheduler);

    void on(const EndpointStatus& status);
    void on(const DemandEstimate& demand);
    /// Changes the weights if there is any evidence, and publishes. The trackers must have sent
    /// their evidence before.
    void on(const OptimizerStep&);
    /// Publishes if an endpoint has appeared, opened, closed, restarted, or started or ended its
    /// probation since the last publication.
    void on(const Tick&);

    Mailbox<EndpointStatus, Tick, DemandEstimate, OptimizerStep> mailbox;

 private:
    void optimize();
    [[nodiscard]] StepInput collect_input(const EndpointEstimates& estimates, double load_factor);
    [[nodiscard]] PoolSnapshot limited_snapshot(std::size_t pool_index, SnapshotScope scope);
    void publish();
    void publish_capacity(std::size_t pool_index, const PoolSnapshot& snapshot,
                          const RealVector& shares);
    [[nodiscard]] double capacity_fraction(const Pool& pool, const PoolSnapshot& snapshot,
                                           const RealVector& shares) const;

    DecisionContext& context_;
    UpdateScheduler& scheduler_;
    PoolMemberships memberships_{context_.settings};
    EvidenceEstimator evidence_{context_.settings};
    SlowStart slow_start_{context_};
    DemandEstimate demand_{};
    std::map<std::size_t, double> capacity_fractions_;  // as published, where not infinite
    bool publish_due_ = false;                          // publish at the next tick
};

}  // namespace micaroad::decision
