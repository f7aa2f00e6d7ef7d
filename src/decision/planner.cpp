/// Forwards events to the components of the decision package and collects their orders. The planner
/// itself makes no decisions; docs/decision-messages.md shows which component gets which message.
#include "micaroad/planner.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "decision/admission_controller.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoint_tracker.hpp"
#include "decision/slice_assigner.hpp"
#include "decision/update_scheduler.hpp"
#include "decision/validation.hpp"
#include "decision/weight_optimizer.hpp"

namespace micaroad {

using namespace decision;

class Planner::Impl {
 public:
    Impl(DeploymentSettings settings, std::uint64_t seed)
        : context_(std::move(settings), static_cast<std::minstd_rand::result_type>(seed)) {
        context_.orders.push_back(order::StartTimer{kTimer, kTickInterval});
        if (context_.settings.subscription_required) {
            subscriptions_due_.insert(TimePoint{});
        }
    }

    void handle(Event event) { events_.push_back(std::move(event)); }

    std::vector<Order> decide(TimePoint now) {
        context_.now = now;
        for (Event& event : std::exchange(events_, {})) {
            std::visit([this](auto& any) { dispatch(any); }, event);
        }
        renew_subscriptions();
        deliver_messages();
        return std::exchange(context_.orders, {});
    }

 private:
    static constexpr TimerId kTimer{1};

    // Runs the components in a fixed order, in which no component sends to one that has already
    // run. Trackers run first, in the order in which they got their first message. The scheduler
    // runs last; it gets its tick after all its other messages of this decision.
    void deliver_messages() {
        for (EndpointTracker* tracker : std::exchange(trackers_with_messages_, {})) {
            deliver(*tracker);
        }
        slice_assigner_.mailbox.post(Tick{});
        admission_.mailbox.post(Tick{});
        optimizer_.mailbox.post(Tick{});
        deliver(slice_assigner_);
        deliver(admission_);
        deliver(optimizer_);
        deliver(scheduler_);
        scheduler_.mailbox.post(Tick{});
        deliver(scheduler_);
    }

    template <class Component>
    static void deliver(Component& component) {
        component.mailbox.deliver([&component](const auto& message) { component.on(message); });
    }

    void renew_subscriptions() {
        while (!subscriptions_due_.empty() && *subscriptions_due_.begin() <= context_.now) {
            scheduler_.mailbox.post(RenewSubscription{});
            subscriptions_due_.erase(subscriptions_due_.begin());
        }
    }

    // Creates trackers for new servers. Servers that a complete list omits count as unlisted.
    void dispatch(const event::EndpointListUpdate& list) {
        if (list.form == event::EndpointListUpdate::Form::unavailable) {
            subscriptions_due_.insert(context_.now + random_backoff(context_));
            return;
        }
        std::set<ServerId> listed;
        for (const ListedEndpoint& entry : list.servers) {
            if (entry.server.value.empty()) {
                continue;
            }
            listed.insert(entry.server);
            const auto tracker =
                trackers_
                    .try_emplace(entry.server, context_, optimizer_, slice_assigner_, admission_)
                    .first;
            post(tracker->second, EndpointListed{entry, !has_list_});
        }
        has_list_ = true;
        if (list.form == event::EndpointListUpdate::Form::incremental) {
            return;
        }
        for (auto& [server, tracker] : trackers_) {
            if (!listed.contains(server)) {
                post(tracker, EndpointUnlisted{});
            }
        }
    }

    // Restarts the tick timer, and closes the evidence window if an optimizer step is due. Before
    // that, the trackers of servers that are gone are removed.
    void dispatch(const event::TimerExpired& expired) {
        if (expired.timer != kTimer) {
            return;
        }
        context_.orders.push_back(order::StartTimer{kTimer, kTickInterval});
        if (context_.now < next_step_) {
            return;
        }
        next_step_ = context_.now + context_.step;
        std::erase_if(trackers_, [](const auto& entry) {
            const EndpointTracker& tracker = entry.second;
            return tracker.mailbox.empty() && tracker.status().gone();
        });
        admission_.mailbox.post(EvidenceWindowClosed{});
        for (auto& [server, tracker] : trackers_) {
            post(tracker, EvidenceWindowClosed{});
        }
    }

    // Limits the failures to the number of attempts, and drops reports on unknown servers.
    void dispatch(event::EndpointLoadReport& report) {
        const auto found = trackers_.find(report.server);
        report.failures = std::min(report.failures, report.attempts);
        if (found == trackers_.end() || !is_valid(report)) {
            return;
        }
        post(found->second, report);
        scheduler_.mailbox.post(report);
    }

    void dispatch(const event::DemandReport& report) {
        if (is_valid(report, context_.settings)) {
            admission_.mailbox.post(report);
        }
    }

    void dispatch(const event::ProxyJoined& joined) {
        admission_.mailbox.post(joined);
        scheduler_.mailbox.post(joined);
    }

    void dispatch(const event::ProxyLeft& left) {
        admission_.mailbox.post(left);
        scheduler_.mailbox.post(left);
    }

    void dispatch(const event::Acknowledgement& acknowledgement) {
        scheduler_.mailbox.post(acknowledgement);
    }

    void dispatch(const event::SliceAssigned& assigned) { slice_assigner_.mailbox.post(assigned); }

    void dispatch(const event::SliceOwnerReported& reported) {
        slice_assigner_.mailbox.post(reported);
    }

    // No component acts on these events.
    void dispatch(const event::SliceDemandReport&) {}
    void dispatch(const event::HealthCheckResult&) {}
    void dispatch(const event::PeerMessage&) {}

    template <class Message>
    void post(EndpointTracker& tracker, const Message& message) {
        tracker.mailbox.post(message);
        trackers_with_messages_.push_back(&tracker);
    }

    DecisionContext context_;
    TimePoint next_step_;  // earliest time at which the next evidence window closes
    std::multiset<TimePoint> subscriptions_due_;  // one entry for each retry of a subscription
    std::vector<Event> events_;                   // since the last decide()
    bool has_list_ = false;                       // an endpoint list has arrived, complete or not
    // Components hold references to their receivers: receivers are declared before their senders.
    UpdateScheduler scheduler_{context_};
    WeightOptimizer optimizer_{context_, scheduler_};
    AdmissionController admission_{context_, optimizer_, scheduler_};
    SliceAssigner slice_assigner_{context_, scheduler_};
    std::map<ServerId, EndpointTracker> trackers_;          // servers that are not yet gone
    std::vector<EndpointTracker*> trackers_with_messages_;  // one entry for each message
};

Planner::Planner(DeploymentSettings settings, std::uint64_t seed)
    : impl_(std::make_shared<Impl>(std::move(settings), seed)) {}

void Planner::handle(Event event) {
    impl_->handle(std::move(event));
}

std::vector<Order> Planner::decide(TimePoint now) {
    return impl_->decide(now);
}

}  // namespace micaroad
