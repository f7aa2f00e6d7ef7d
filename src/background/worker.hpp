// The one thread of background work: jobs take turns on it, within a budget, at low priority for
// the system's scheduler.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>

#include "background/turns.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"

namespace micaroad::background {

class Worker {
 public:
    // Works for a while and says what it wrote and whether it has more to do. It must not wait.
    using Work = std::function<Spent()>;

    Worker(Budget budget, Clock clock);
    ~Worker() { stop(); }

    JobId add(int priority, Work work);  // before start()
    bool start();
    void wake(JobId job);  // any thread
    void stop();           // after a last turn for each job that has work, whatever the budget

 private:
    void run();
    Spent work_on(JobId job);

    const Clock clock_;
    std::mutex mutex_;
    std::condition_variable wake_;
    Turns turns_;
    std::map<JobId, Work> work_;
    bool stopping_ = false;
    net::ThreadGroup threads_{1, 512 * 1024};
};

}  // namespace micaroad::background
