#include "background/worker.hpp"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <optional>
#include <utility>

namespace micaroad::background {
namespace {

constexpr int kNiceness = 10;

// How long the thread waits for a job to get work before it checks again.
constexpr Duration kIdleWait = std::chrono::milliseconds(500);

double thread_processor_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

// Raises the niceness of the calling thread only: Linux keeps it per thread. If that is not
// permitted, only the budget limits the thread.
void lower_thread_priority() {
    (void)setpriority(PRIO_PROCESS, static_cast<id_t>(syscall(SYS_gettid)), kNiceness);
}

}  // namespace

Worker::Worker(Budget budget, Clock clock)
    : clock_(std::move(clock)), scheduler_(budget, clock_()) {}

JobId Worker::add(int priority, Work work) {
    const JobId job = scheduler_.add(priority);
    work_[job] = std::move(work);
    return job;
}

bool Worker::start() {
    return threads_.start([this] { run(); });
}

void Worker::wake(JobId job) {
    {
        const std::lock_guard lock(mutex_);
        scheduler_.wake(job, clock_());
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

Usage Worker::run_job(JobId job) {
    const double start = thread_processor_seconds();
    Usage usage = work_.at(job)();
    usage.processor_seconds = thread_processor_seconds() - start;
    return usage;
}

void Worker::run() {
    lower_thread_priority();
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = clock_();
        const std::optional<JobId> job = scheduler_.next(now);
        if (!job) {
            const TimePoint available = scheduler_.available_at(now);
            wake_.wait_for(lock, available > now ? available - now : kIdleWait);
            continue;
        }
        lock.unlock();
        const Usage usage = run_job(*job);
        lock.lock();
        scheduler_.charge(*job, usage, clock_());
    }
    lock.unlock();
    run_all_to_end();
}

void Worker::run_all_to_end() {
    for (const auto& [job, work] : work_) {
        bool more = true;
        while (more) {
            more = work().has_more_work;
        }
    }
}

}  // namespace micaroad::background
