/// Weights of endpoints, learnt from load reports.
#pragma once

#include <cstddef>
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

/// Moves the weights of all pools by one bounded gradient step at a time and publishes the shares
/// that change to the update scheduler. Not thread-safe.
class WeightOptimizer {
 public:
    /// Both arguments must outlive the optimizer. Posts the bindings of all pools.
    WeightOptimizer(DecisionContext& context, UpdateScheduler& scheduler);

    void on(const EndpointStatus& status);
    void on(const DemandEstimate& demand);
    /// Moves the weights, if there is any evidence, and publishes. The endpoints have sent their
    /// evidence before.
    void on(const OptimizerStep&);
    /// Publishes if an endpoint has appeared, opened, closed, restarted, or started or ended its
    /// probation.
    void on(const Tick&);

    Mailbox<EndpointStatus, Tick, DemandEstimate, OptimizerStep> mailbox;

 private:
    void optimize();
    [[nodiscard]] StepInput collect_input(const EndpointEstimates& estimates, double load_factor);
    [[nodiscard]] PoolSnapshot limited_snapshot(std::size_t pool_index, SnapshotScope scope);
    void publish();

    DecisionContext& context_;
    UpdateScheduler& scheduler_;
    PoolMemberships memberships_{context_.settings};
    EvidenceEstimator evidence_{context_.settings};
    SlowStart slow_start_{context_};
    DemandEstimate demand_{};
    bool publish_due_ = false;  // at the next tick
};

}  // namespace micaroad::decision
