#include "net/thread_group.hpp"

#include <pthread.h>

#include <memory>

namespace micaroad::net {

struct ThreadGroup::Task {
    ThreadGroup& threads;
    std::function<void()> work;
};

bool ThreadGroup::start(std::function<void()> work) {
    {
        const std::lock_guard lock(mutex_);
        if (running_ == most_) {
            return false;
        }
        ++running_;
    }
    auto task = std::make_unique<Task>(Task{*this, std::move(work)});
    pthread_attr_t attributes;
    pthread_t thread;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, stack_);
    const bool started = pthread_create(&thread, &attributes, run, task.get()) == 0;
    pthread_attr_destroy(&attributes);
    started ? (void)task.release() : ended();
    return started;
}

void* ThreadGroup::run(void* pointer) {
    const std::unique_ptr<Task> task(static_cast<Task*>(pointer));
    task->work();
    task->work = nullptr;  // what it holds goes before the threads may
    task->threads.ended();
    return nullptr;
}

void ThreadGroup::ended() {
    const std::lock_guard lock(mutex_);
    --running_;
    gone_.notify_all();
}

void ThreadGroup::wait() {
    std::unique_lock lock(mutex_);
    gone_.wait(lock, [this] { return running_ == 0; });
}

}  // namespace micaroad::net
