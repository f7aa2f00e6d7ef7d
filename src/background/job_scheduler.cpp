#include "background/job_scheduler.hpp"

#include <algorithm>
#include <chrono>

namespace micaroad::background {

JobId JobScheduler::add(int priority) {
    const JobId job{next_job_};
    ++next_job_;
    jobs_[job] = {priority, std::nullopt};
    return job;
}

void JobScheduler::wake(JobId job, TimePoint now) {
    const auto found = jobs_.find(job);
    if (found != jobs_.end() && !found->second.waiting_since) {
        found->second.waiting_since = now;
    }
}

std::optional<JobId> JobScheduler::next(TimePoint now) {
    refill(now);
    if (bytes_ < 0 || processor_seconds_ < 0) {
        return std::nullopt;
    }
    std::optional<JobId> best;
    for (const auto& [job, state] : jobs_) {
        if (!state.waiting_since) {
            continue;
        }
        if (now - *state.waiting_since >= kMaxWait) {
            return job;
        }
        if (!best || state.priority > jobs_.at(*best).priority) {
            best = job;
        }
    }
    return best;
}

void JobScheduler::charge(JobId job, const Usage& usage, TimePoint now) {
    refill(now);
    bytes_ -= usage.bytes;
    processor_seconds_ -= usage.processor_seconds;
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return;
    }
    found->second.waiting_since = usage.has_more_work ? std::optional(now) : std::nullopt;
}

TimePoint JobScheduler::available_at(TimePoint now) const {
    const double seconds_for_bytes = -bytes_ / budget_.bytes_per_second;
    const double seconds_for_processor = -processor_seconds_ / budget_.processor_share;
    const double seconds = std::max({0.0, seconds_for_bytes, seconds_for_processor});
    return now + std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

void JobScheduler::refill(TimePoint now) {
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - refilled_at_).count());
    refilled_at_ = std::max(refilled_at_, now);
    const double max_bytes = kBurstSeconds * budget_.bytes_per_second;
    const double max_processor_seconds = kBurstSeconds * budget_.processor_share;
    bytes_ = std::min(bytes_ + elapsed * budget_.bytes_per_second, max_bytes);
    processor_seconds_ =
        std::min(processor_seconds_ + elapsed * budget_.processor_share, max_processor_seconds);
}

}  // namespace micaroad::background
