/// Tracks one endpoint: its entry in the endpoint list, its state and the evidence of recent
/// optimizer steps.
#pragma once

#include "decision/admission_controller.hpp"
#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/slice_assigner.hpp"
#include "decision/weight_optimizer.hpp"
#include "micaroad/event.hpp"

namespace micaroad::decision {

/// Tracks one endpoint and notifies the other components of changes. Not thread-safe.
///
///              listed as ready
///     closed -------------------> open
///       ^                          |
///       +--------------------------+
///          listed as draining, or withdrawn
///
/// A list that names the endpoint as gone, or a complete list that does not name it, withdraws it
/// at once, with one exception: if the settings allow unlisted endpoints to serve and the endpoint
/// has answered before, it stays open until it has not answered for the warm-up duration. The
/// planner removes the tracker of an endpoint that is closed and gone (EndpointStatus::gone).
///
/// An endpoint may be gone in the first list that names it. It is published like any other, as
/// proxies may have it in tables of another planner.
class EndpointTracker {
 public:
    /// All arguments must outlive the tracker.
    EndpointTracker(DecisionContext& context, WeightOptimizer& optimizer,
                    SliceAssigner& slice_assigner, AdmissionController& admission)
        : context_(context),
          optimizer_(optimizer),
          slice_assigner_(slice_assigner),
          admission_(admission) {}

    /// A new start time means a new incarnation: all evidence on the previous one is dropped.
    void on(const EndpointListed& message);
    void on(const EndpointUnlisted&);
    /// `report` must be valid (validation.hpp).
    void on(const event::EndpointLoadReport& report);
    /// Sends the evidence to the optimizer and decays it.
    void on(const EvidenceWindowClosed&);

    [[nodiscard]] const EndpointStatus& status() const { return status_; }

    // Keeps no memory while empty, as there are many trackers.
    Mailbox<EndpointListed, EndpointUnlisted, event::EndpointLoadReport, EvidenceWindowClosed>
        mailbox{0};

 private:
    void decay_evidence();
    void publish_status();

    DecisionContext& context_;
    WeightOptimizer& optimizer_;
    SliceAssigner& slice_assigner_;
    AdmissionController& admission_;
    EndpointStatus status_{};
};

}  // namespace micaroad::decision
