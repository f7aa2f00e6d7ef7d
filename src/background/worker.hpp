/// The thread that runs background jobs.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>

#include "background/job_scheduler.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"

namespace micaroad::background {

/// Runs jobs one at a time on its own thread, in the order and within the budget of JobScheduler.
/// The thread has a low scheduling priority.
class Worker {
 public:
    /// Does a short portion of the job's work without blocking. Returns the bytes it wrote and
    /// whether it has work left; the worker measures the processor time.
    using Work = std::function<Usage()>;

    Worker(Budget budget, Clock clock);
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Adds a job. Must be called before start(). A larger number is a higher priority.
    [[nodiscard]] JobId add(int priority, Work work);

    /// Starts the thread. Returns false if that fails.
    [[nodiscard]] bool start();

    /// Marks the job as having work. Any thread; waits for the mutex only.
    void wake(JobId job);

    /// Runs each job until it has no work left, regardless of the budget, and ends the thread.
    /// Blocks until then. Further calls do nothing.
    void stop();

 private:
    static constexpr std::size_t kStackBytes = 512 * 1024;

    void run();
    void run_all_to_end();
    [[nodiscard]] Usage run_job(JobId job);

    const Clock clock_;
    std::mutex mutex_;
    std::condition_variable wake_;
    JobScheduler scheduler_;
    std::map<JobId, Work> work_;
    bool stopping_ = false;
    net::ThreadGroup threads_{1, kStackBytes};  // last, as its thread uses all members above
};

}  // namespace micaroad::background
