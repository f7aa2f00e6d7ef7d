/// Threads with small stacks of a stated size, up to a bound, that can be waited for.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace micaroad::net {

/// Runs functions on threads of its own and owns these until they have ended: the destructor waits
/// for all. Bounds their number and the stack of each, in bytes. All functions may be called by any
/// thread; wait() by none of its own.
class ThreadGroup {
 public:
    static constexpr std::size_t kStackBytes = 128 * 1024;

    explicit ThreadGroup(std::size_t max_threads, std::size_t stack_bytes = kStackBytes)
        : max_threads_(max_threads), stack_bytes_(stack_bytes) {}
    ~ThreadGroup() { wait(); }
    ThreadGroup(const ThreadGroup&) = delete;
    ThreadGroup& operator=(const ThreadGroup&) = delete;

    /// Runs `work` on a new thread. False if as many as allowed are running, or the system has no
    /// thread left; then `work` is not run.
    [[nodiscard]] bool start(std::function<void()> work);
    /// Returns once no thread is running.
    void wait();

 private:
    struct Task;
    static void* run(void* pointer);
    void on_thread_ended();

    const std::size_t max_threads_;
    const std::size_t stack_bytes_;
    std::mutex mutex_;
    std::condition_variable thread_ended_;
    std::size_t running_ = 0;  // under the mutex
};

}  // namespace micaroad::net
