/// What is known of one endpoint: its entry in the list, its state and the evidence of recent
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

/// Follows one endpoint and notifies the other components of changes. Not thread-safe.
///
///              listed as ready
///     closed -------------------> open
///       ^                          |
///       +--------------------------+
///          listed as draining, or withdrawn
///
/// A list that names the endpoint as gone, or a complete one that does not name it, withdraws it at
/// once. Only if the settings let unlisted endpoints serve and it has answered before does it stay
/// open, until it has been silent for the warm-up duration. An endpoint that is closed and gone is
/// forgotten (EndpointStatus::gone).
class EndpointTracker {
 public:
    /// All arguments must outlive the tracker.
    EndpointTracker(DecisionContext& context, WeightOptimizer& optimizer,
                    SliceAssigner& slice_assigner, AdmissionController& admission)
        : context_(context),
          optimizer_(optimizer),
          slice_assigner_(slice_assigner),
          admission_(admission) {}

    /// A new start time begins a new incarnation: all evidence of the former one is dropped.
    void on(const EndpointListed& message);
    void on(const EndpointUnlisted&);
    /// `report` is valid (validation.hpp).
    void on(const event::EndpointLoadReport& report);
    /// Sends the evidence to the optimizer.
    void on(const EvidenceWindowClosed&);

    [[nodiscard]] const EndpointStatus& status() const { return status_; }

    // There are many trackers: an empty mailbox keeps no memory.
    Mailbox<EndpointListed, EndpointUnlisted, event::EndpointLoadReport, EvidenceWindowClosed>
        mailbox{0};

 private:
    void fade_evidence();
    void publish_status();

    DecisionContext& context_;
    WeightOptimizer& optimizer_;
    SliceAssigner& slice_assigner_;
    AdmissionController& admission_;
    EndpointStatus status_{};
};

}  // namespace micaroad::decision
