/// A bounded group of threads with small stacks that can be waited for.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace micaroad::net {

/// Runs functions on its own threads. The destructor waits until all have ended. The constructor's
/// arguments bound the number of threads and the size of each stack in bytes. All functions may be
/// called by any thread, but wait() not by a thread of the group.
class ThreadGroup {
 public:
    static constexpr std::size_t kStackBytes = 128 * 1024;

    explicit ThreadGroup(std::size_t max_threads, std::size_t stack_bytes = kStackBytes)
        : max_threads_(max_threads), stack_bytes_(stack_bytes) {}
    ~ThreadGroup() { wait(); }
    ThreadGroup(const ThreadGroup&) = delete;
    ThreadGroup& operator=(const ThreadGroup&) = delete;

    /// Runs `work` on a new thread. Returns false, without running it, if `max_threads` are running
    /// or the system cannot create a thread.
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
    std::size_t running_ = 0;  // guarded by mutex_
};

}  // namespace micaroad::net
