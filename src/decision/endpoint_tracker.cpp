#include "decision/endpoint_tracker.hpp"

#include <cmath>
#include <utility>

#include "decision/numeric.hpp"

namespace micaroad::decision {

void EndpointTracker::on(const EndpointListed& message) {
    const bool first_listed = status_.listed.server.value.empty();
    if (message.entry.phase == EndpointPhase::gone && !first_listed) {
        on(EndpointUnlisted{});
        return;
    }
    const bool restarted =
        message.entry.last_start && message.entry.last_start != status_.listed.last_start;
    const bool is_new = first_listed ? !message.in_first_list : status_.is_new && !restarted;
    if (restarted) {
        status_ = EndpointStatus{};
    }
    status_.listed = message.entry;
    if (!std::isfinite(status_.listed.size) || status_.listed.size <= 0) {
        status_.listed.size = 1;
    }
    status_.open = status_.listed.phase == EndpointPhase::ready;
    status_.steady =
        (status_.steady || message.in_first_list) && status_.open && !status_.listed.last_start;
    status_.is_new = is_new && status_.open && status_.listed.last_start;
    publish_status();
}

// If the settings say that lists may omit running endpoints, an endpoint that still answers stays
// open. The cost is RPCs sent to endpoints that are really gone.
void EndpointTracker::on(const EndpointUnlisted&) {
    const EndpointPhase previous = std::exchange(status_.listed.phase, EndpointPhase::gone);
    if (previous == EndpointPhase::gone) {
        return;
    }
    status_.steady = false;
    status_.is_new = false;
    status_.open = status_.open && status_.last_success && context_.settings.unlisted_may_serve;
    publish_status();
}

void EndpointTracker::on(const event::EndpointLoadReport& report) {
    admission_.mailbox.post(ZonedLoadReport{report, status_.listed.zone});
    // Ignores reports that may cover the incarnation before a restart, at the cost of some
    // evidence.
    const bool before_start =
        status_.listed.last_start && context_.now - report.window < *status_.listed.last_start;
    if (!status_.open || before_start) {
        return;
    }
    const double successes = report.attempts - report.failures;
    status_.attempts += report.attempts;
    status_.failures += report.failures;
    status_.success_latency_sum += successes * seconds(report.mean_latency);
    const bool answered_before = status_.last_success.has_value();
    if (report.failures < report.attempts) {
        status_.last_success = context_.now;
    }
    // Publishes each report at once until a success has been reported, as the first failure starts
    // the endpoint's probation and the first success ends it.
    if (!answered_before) {
        publish_status();
    }
}

void EndpointTracker::on(const EvidenceWindowClosed&) {
    status_.window_seconds += seconds(context_.step);
    const Duration silent_for = context_.now - status_.last_success.value_or(TimePoint{});
    const bool lost = status_.listed.phase == EndpointPhase::gone &&
                      silent_for >= context_.settings.warm_up_duration;
    if (status_.open && lost) {
        status_.open = false;
        publish_status();
    }
    if (status_.open) {
        optimizer_.mailbox.post(status_);  // not to the slice assigner, which uses no evidence
    }
    decay_evidence();
}

void EndpointTracker::decay_evidence() {
    status_.attempts *= kEvidenceRetention;
    status_.failures *= kEvidenceRetention;
    status_.success_latency_sum *= kEvidenceRetention;
    status_.window_seconds *= kEvidenceRetention;
}

void EndpointTracker::publish_status() {
    optimizer_.mailbox.post(status_);
    slice_assigner_.mailbox.post(status_);
}

}  // namespace micaroad::decision
