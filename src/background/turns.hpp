// Whose turn it is among background jobs, within budgets of bytes and of processor time. Free of
// I/O, threads and clocks.
//
// Guards against slow work that takes the disk or the core from decisions: what was spent over the
// budget is waited for, and a job of lower priority gets nothing while one of higher has work. It
// should not starve for good: a job that has waited for kLongestWait goes before all others once.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "micaroad/types.hpp"

namespace micaroad::background {

using JobId = Id<struct JobTag, int>;

struct Budget {
    double bytes_per_second = 1e6;
    double processor_share = 0.05;  // of one core
};

struct Spent {
    double bytes = 0, processor_seconds = 0;
    bool more = false;  // it has work left
};

class Turns {
 public:
    static constexpr Duration kLongestWait = std::chrono::seconds(30);
    // What may be spent at once after a pause, in seconds of the budget.
    static constexpr double kBurst = 2;

    Turns(Budget budget, TimePoint now) : budget_(budget), since_(now) {}

    JobId add(int priority) {  // larger goes first
        const JobId job{next_++};
        jobs_[job] = {priority, std::nullopt};
        return job;
    }
    // It has work.
    void wake(JobId job, TimePoint now) {
        const auto at = jobs_.find(job);
        if (at != jobs_.end() && !at->second.waits_since) {
            at->second.waits_since = now;
        }
    }
    // Who works now; absent: nobody may, or nobody has work.
    std::optional<JobId> next(TimePoint now) {
        refill(now);
        if (bytes_ < 0 || seconds_ < 0) {
            return std::nullopt;
        }
        std::optional<JobId> best;
        for (const auto& [job, state] : jobs_) {
            if (!state.waits_since) {
                continue;
            }
            if (now - *state.waits_since >= kLongestWait) {
                return job;
            }
            if (!best || state.priority > jobs_.at(*best).priority) {
                best = job;
            }
        }
        return best;
    }
    void spent(JobId job, const Spent& what, TimePoint now) {
        refill(now);
        bytes_ -= what.bytes, seconds_ -= what.processor_seconds;
        const auto at = jobs_.find(job);
        if (at == jobs_.end()) {
            return;
        }
        at->second.waits_since = what.more ? std::optional(now) : std::nullopt;
    }
    // When the budget allows anything again; `now` where it does already.
    TimePoint free_at(TimePoint now) const {
        const double wait = std::max(
            {0.0, -bytes_ / budget_.bytes_per_second, -seconds_ / budget_.processor_share});
        return now + std::chrono::ceil<Duration>(std::chrono::duration<double>(wait));
    }

 private:
    struct Job {
        int priority = 0;
        std::optional<TimePoint> waits_since;
    };
    void refill(TimePoint now) {
        const double passed = std::max(0.0, std::chrono::duration<double>(now - since_).count());
        since_ = std::max(since_, now);
        bytes_ =
            std::min(bytes_ + passed * budget_.bytes_per_second, kBurst * budget_.bytes_per_second);
        seconds_ =
            std::min(seconds_ + passed * budget_.processor_share, kBurst * budget_.processor_share);
    }

    const Budget budget_;
    TimePoint since_;
    double bytes_ = 0, seconds_ = 0;
    int next_ = 0;
    std::map<JobId, Job> jobs_;
};

}  // namespace micaroad::background
