#include "background/worker.hpp"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <utility>

namespace micaroad::background {
namespace {

constexpr int kNiceness = 10;

double processor_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

}  // namespace

Worker::Worker(Budget budget, Clock clock) : clock_(std::move(clock)), turns_(budget, clock_()) {}

JobId Worker::add(int priority, Work work) {
    const JobId job = turns_.add(priority);
    work_[job] = std::move(work);
    return job;
}

bool Worker::start() {
    return threads_.start([this] { run(); });
}

void Worker::wake(JobId job) {
    {
        const std::lock_guard lock(mutex_);
        turns_.wake(job, clock_());
    }
    wake_.notify_one();
}

void Worker::stop() {
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(stopping_, true)) {
            return;
        }
    }
    wake_.notify_one();
    threads_.wait();
}

Spent Worker::work_on(JobId job) {
    const double begun = processor_seconds();
    Spent spent = work_.at(job)();
    spent.processor_seconds = processor_seconds() - begun;
    return spent;
}

void Worker::run() {
    // Linux keeps it by thread. Where it is refused the budget alone holds.
    (void)setpriority(PRIO_PROCESS, static_cast<id_t>(syscall(SYS_gettid)), kNiceness);
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = clock_();
        const auto job = turns_.next(now);
        if (!job) {
            const TimePoint free = turns_.free_at(now);
            wake_.wait_for(lock, free > now ? free - now : Duration{5'000});
            continue;
        }
        lock.unlock();
        const Spent spent = work_on(*job);
        lock.lock();
        turns_.spent(*job, spent, clock_());
    }
    lock.unlock();
    for (const auto& [job, work] : work_) {
        while (work().more) {
        }
    }
}

}  // namespace micaroad::background
