#include "net/thread_group.hpp"

#include <pthread.h>

#include <memory>
#include <utility>

namespace micaroad::net {

struct ThreadGroup::Task {
    ThreadGroup& group;
    std::function<void()> work;
};

// Threads are detached and counted instead of joined, so that a thread that has ended leaves
// nothing behind to be collected.
bool ThreadGroup::start(std::function<void()> work) {
    {
        const std::lock_guard lock(mutex_);
        if (running_ == max_threads_) {
            return false;
        }
        ++running_;
    }
    auto task = std::make_unique<Task>(Task{*this, std::move(work)});
    pthread_attr_t attributes;
    pthread_t thread;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, stack_bytes_);
    const bool started = pthread_create(&thread, &attributes, run, task.get()) == 0;
    pthread_attr_destroy(&attributes);
    if (started) {
        task.release();  // NOLINT(bugprone-unused-return-value): run() owns it now.
    } else {
        on_thread_ended();
    }
    return started;
}

void* ThreadGroup::run(void* pointer) {
    const std::unique_ptr<Task> task(static_cast<Task*>(pointer));
    task->work();
    // Destroys what the function captured before the group's destructor can return.
    task->work = nullptr;
    task->group.on_thread_ended();
    return nullptr;
}

void ThreadGroup::on_thread_ended() {
    const std::lock_guard lock(mutex_);
    --running_;
    thread_ended_.notify_all();
}

void ThreadGroup::wait() {
    std::unique_lock lock(mutex_);
    thread_ended_.wait(lock, [this] { return running_ == 0; });
}

}  // namespace micaroad::net
