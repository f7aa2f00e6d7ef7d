/// Selects the background job that runs next, within budgets of bytes and of processor time.
#pragma once

#include <map>
#include <optional>

#include "micaroad/types.hpp"

namespace micaroad::background {

using JobId = Id<struct JobTag, int>;

/// The resources that all background jobs together may use.
struct Budget {
    double bytes_per_second = 1e6;
    double processor_share = 0.05;  ///< of one core
};

/// The resources that one run of a job has used.
struct Usage {
    double bytes = 0;
    double processor_seconds = 0;
    bool has_more_work = false;  ///< the job must run again
};

/// Schedules jobs by priority, limited by a token bucket for each budget.
///
/// Guards against background work that takes the disk or the processor core from decisions. A run
/// is not bounded in advance: if it exceeds the budget, the next run waits until the excess is paid
/// off. A job does not run while one of higher priority has work; to prevent starvation, a job that
/// has waited for kMaxWait runs next, once.
///
/// Does no I/O and reads no clock; the times passed to it must not go back. Not thread-safe.
class JobScheduler {
 public:
    static constexpr Duration kMaxWait = std::chrono::seconds(30);
    /// The capacity of the token buckets, in seconds of the budget.
    static constexpr double kBurstSeconds = 2;

    JobScheduler(Budget budget, TimePoint now) : budget_(budget), refilled_at_(now) {}

    /// Adds a job that has no work yet. A larger number is a higher priority.
    [[nodiscard]] JobId add(int priority);

    /// Marks the job as having work. Ignored if it is already marked, or if the job is unknown.
    void wake(JobId job, TimePoint now);

    /// Returns the job that has to run now; absent if none has work or the budget is used up.
    [[nodiscard]] std::optional<JobId> next(TimePoint now);

    /// Charges a run of the job to the budget, and marks whether the job has work left.
    void charge(JobId job, const Usage& usage, TimePoint now);

    /// The time at which the budget allows the next run; `now` if it allows one already.
    [[nodiscard]] TimePoint available_at(TimePoint now) const;

 private:
    struct Job {
        int priority = 0;
        std::optional<TimePoint> waiting_since;  // absent: no work
    };
    void refill(TimePoint now);

    const Budget budget_;
    TimePoint refilled_at_;
    double bytes_ = 0;              // negative: overdrawn
    double processor_seconds_ = 0;  // negative: overdrawn
    int next_job_ = 0;
    std::map<JobId, Job> jobs_;
};

}  // namespace micaroad::background
