// Threads with small stacks of a stated size, never more of them than was said, counted until they
// are gone.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>

namespace micaroad::net {

class ThreadGroup {
 public:
    static constexpr std::size_t kStack = 128 * 1024;

    explicit ThreadGroup(std::size_t most, std::size_t stack = kStack)
        : most_(most), stack_(stack) {}
    ~ThreadGroup() { wait(); }
    ThreadGroup(const ThreadGroup&) = delete;
    ThreadGroup& operator=(const ThreadGroup&) = delete;

    bool start(std::function<void()> work);  // false if there is no room for one more
    void wait();                             // until all have ended

 private:
    struct Task;
    static void* run(void* task);
    void ended();

    const std::size_t most_, stack_;
    std::mutex mutex_;
    std::condition_variable gone_;
    std::size_t running_ = 0;
};

}  // namespace micaroad::net
