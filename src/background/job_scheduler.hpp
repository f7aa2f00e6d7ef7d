/// Decides which background job runs next, within budgets of bytes and of processor time.
#pragma once

#include <map>
#include <optional>

#include "micaroad/types.hpp"

namespace micaroad::background {

using JobId = Id<struct JobTag, int>;

/// What all background jobs together may use.
struct Budget {
    double bytes_per_second = 1e6;
    double processor_share = 0.05;  ///< of one core
};

/// What one run of a job has used.
struct Usage {
    double bytes = 0;
    double processor_seconds = 0;
    bool has_more_work = false;  ///< the job has work left
};

/// A token bucket for each budget, and jobs by priority.
///
/// Guards against slow work that takes the disk or the core from decisions. A run is not bounded in
/// advance: whatever it used past the budget is waited for before the next. A job gets nothing
/// while one of higher priority has work; so that it does not starve, a job that has waited for
/// kMaxWait runs next, once.
///
/// Does no I/O and reads no clock; the time passed to it must not go back. Not thread-safe.
class JobScheduler {
 public:
    static constexpr Duration kMaxWait = std::chrono::seconds(30);
    /// How many seconds of the budget may be used at once after a pause.
    static constexpr double kBurstSeconds = 2;

    JobScheduler(Budget budget, TimePoint now) : budget_(budget), refilled_at_(now) {}

    /// Adds a job, without work. The larger priority goes first.
    [[nodiscard]] JobId add(int priority);

    /// The job has work. Ignored if that is known, or the job is not.
    void wake(JobId job, TimePoint now);

    /// The job that is to run now; absent if none has work or the budget is used up.
    [[nodiscard]] std::optional<JobId> next(TimePoint now);

    /// Charges a run of the job to the budget.
    void charge(JobId job, const Usage& usage, TimePoint now);

    /// When the budget allows a run again; `now` if it does already.
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
