/// What is known of one server: its listing, its state and the evidence of a window.
#pragma once

#include "decision/admission_controller.hpp"
#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/numeric.hpp"
#include "decision/slice_assigner.hpp"
#include "decision/weight_optimizer.hpp"

namespace micaroad::decision {

struct EndpointTracker {
    DecisionContext& context;
    WeightOptimizer& optimizer;
    SliceAssigner& slice_assigner;
    AdmissionController& admission;
    // There are many trackers: an empty mailbox keeps no memory.
    Mailbox<EndpointListed, EndpointUnlisted, event::EndpointLoadReport, EvidenceWindowClosed>
        mailbox{0};
    EndpointStatus self{};

    void on(const EndpointListed& message) {
        if (message.entry.phase == EndpointPhase::gone) {
            return on(EndpointUnlisted{});
        }
        if (message.entry.last_start && message.entry.last_start != self.entry.last_start) {
            self = EndpointStatus{};
        }
        self.entry = message.entry;
        if (!std::isfinite(self.entry.size) || self.entry.size <= 0) {
            self.entry.size = 1;
        }
        self.open = self.entry.phase == EndpointPhase::ready;
        self.steady = (self.steady || message.in_first_list) && self.open && !self.entry.last_start;
        tell();
    }

    // Guards against a list that drops servers which run, where the settings say that this does not
    // bind: what still answers stays. It costs RPCs where one is truly gone.
    void on(const EndpointUnlisted&) {
        if (std::exchange(self.entry.phase, EndpointPhase::gone) == EndpointPhase::gone) {
            return;
        }
        self.steady = false;
        self.open = self.open && self.last_ok && context.settings.unlisted_may_serve;
        tell();
    }

    void on(const event::EndpointLoadReport& met) {
        admission.mailbox.post(ZonedLoadReport{met, self.entry.zone});
        // Guards against reports of the life before a restart; it costs but a little evidence.
        if (!self.open ||
            (self.entry.last_start && context.now - met.window < *self.entry.last_start)) {
            return;
        }
        self.tries += met.attempts, self.bad += met.failures;
        self.answer_seconds += (met.attempts - met.failures) * seconds(met.mean_latency);
        if (!std::exchange(self.last_ok,
                           met.failures < met.attempts ? context.now : self.last_ok)) {
            tell();
        }
    }

    void on(const EvidenceWindowClosed&) {
        self.window += seconds(context.step);
        const bool lost =
            self.entry.phase == EndpointPhase::gone &&
            context.now - self.last_ok.value_or(TimePoint{}) >= context.settings.warm_up_duration;
        const bool was_open = std::exchange(self.open, self.open && !lost);
        if (was_open && !self.open) {
            tell();
        }
        if (self.open) {
            optimizer.mailbox.post(self);  // the evidence, which nobody else looks at
        }
        for (double* sum : {&self.tries, &self.bad, &self.answer_seconds, &self.window}) {
            *sum *= kMemory;
        }
    }

    void tell() { optimizer.mailbox.post(self), slice_assigner.mailbox.post(self); }
};

}  // namespace micaroad::decision
