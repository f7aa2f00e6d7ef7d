/// The one thread of background work.
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

/// Runs jobs one at a time, in the order and within the budget of JobScheduler, at low priority for
/// the system's scheduler.
class Worker {
 public:
    /// Works for a short while, without blocking. Returns the bytes it wrote and whether it has
    /// work left; the worker measures the processor time.
    using Work = std::function<Usage()>;

    Worker(Budget budget, Clock clock);
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Before start() only. The larger priority goes first.
    [[nodiscard]] JobId add(int priority, Work work);

    /// False if no thread could be started.
    [[nodiscard]] bool start();

    /// The job has work. Any thread; does not block but for the mutex.
    void wake(JobId job);

    /// Runs each job until it has no work left, whatever the budget, and ends the thread. Blocks
    /// until then. Does nothing the second time.
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
    net::ThreadGroup threads_{1, kStackBytes};  // last: its thread uses all of the above
};

}  // namespace micaroad::background
