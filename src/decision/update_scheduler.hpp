/// Decides what is sent to the proxies, and when.
///
/// Proxies must not keep using outdated tables, and the planner's own orders must not congest its
/// channel. Withdrawals therefore are sent first, learnt changes use at most half the channel's
/// pace, and proxies that join are bound within the rest of the send window, the busiest first.
/// Acknowledgements tell what is still pending; where they are lost, the assured part of the
/// channel's pace frees the window.
#pragma once

#include "decision/admission_updates.hpp"
#include "decision/decision_context.hpp"
#include "decision/group_sender.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/proxy_binder.hpp"
#include "decision/scheduler_state.hpp"
#include "decision/subset_assignment.hpp"
#include "decision/update_planner.hpp"
#include "decision/update_sender.hpp"

namespace micaroad::decision {

/// Receives the messages of all other components and orders the updates that follow from them. It
/// runs last in each decision; a Tick makes it act. Not thread-safe: all components of a planner
/// run on one thread.
class UpdateScheduler {
 public:
    /// `context` has to live as long as this object.
    explicit UpdateScheduler(DecisionContext& context) : state_(context) {}

    void on(const RenewSubscription& renew);
    /// Adds a pool. All pools are added before any weights are published.
    void on(const PoolBinding& binding);
    void on(const AdmissionFractions& fractions);
    void on(const DesiredWeights& desired);
    void on(const PoolCapacity& capacity);
    void on(const WeightsPublished& published);
    void on(const OwnershipTransfer& transfer);
    void on(const event::ProxyJoined& joined);
    void on(const event::ProxyLeft& left);
    void on(const event::Acknowledgement& acknowledgement);
    void on(const event::EndpointLoadReport& report);
    /// Plans, binds proxies and sends what the window allows.
    void on(const Tick& tick);

    Mailbox<RenewSubscription, PoolBinding, AdmissionFractions, PoolCapacity, WeightsPublished,
            OwnershipTransfer, event::ProxyJoined, event::ProxyLeft, event::Acknowledgement,
            DesiredWeights, event::EndpointLoadReport, Tick>
        mailbox;

 private:
    void advance_send_window();
    void bind_proxies();
    void send_updates();
    [[nodiscard]] bool are_changes_held() const;

    SchedulerState state_;
    SubsetAssignment assignment_{state_};
    AdmissionUpdates admission_{state_};
    ProxyBinder binder_{state_, assignment_, admission_};
    UpdatePlanner planner_{state_, assignment_};
    UpdateSender sender_{state_, admission_};
    GroupSender group_sender_{state_, admission_};
    TimePoint last_tick_;
    /// When an acknowledgement last arrived, or nothing was pending.
    TimePoint last_acknowledgement_;
};

}  // namespace micaroad::decision
