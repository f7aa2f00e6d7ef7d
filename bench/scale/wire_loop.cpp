#include "wire_loop.hpp"

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace micaroad::scale::wire {
namespace {

std::chrono::nanoseconds thread_processor_time() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

epoll_event event_of(std::uint32_t events, Loop::Token token) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    return event;
}

}  // namespace

const char* name_of(Role role) {
    switch (role) {
        case Role::discovery:
            return "discovery";
        case Role::collector:
            return "collector";
        case Role::proxy:
            return "proxy";
        case Role::planner:
            return "planner";
    }
    return "?";
}

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

Loop::~Loop() {
    close(epoll_);
}

Loop::Token Loop::watch(int fd, std::uint32_t events, Handler& handler) {
    const Token token = next_++;
    epoll_event event = event_of(events, token);
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
    handlers_[token] = &handler;
    return token;
}

void Loop::change(Token token, int fd, std::uint32_t events) {
    epoll_event event = event_of(events, token);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(Token token, int fd) {
    if (handlers_.erase(token) > 0) {
        epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    }
}

void Loop::retire(std::unique_ptr<Handler> handler) {
    retired_.push_back(std::move(handler));
}

void Loop::at(TimePoint when, Role role, std::function<void()> task) {
    timers_.emplace(when, Timer{role, std::move(task)});
}

// A late call is not made up for: the next one is due one period after it.
void Loop::every(Milliseconds period, Role role, std::function<void()> task) {
    at(Clock::now() + period, role, [this, period, role, task = std::move(task)] {
        task();
        every(period, role, task);
    });
}

bool Loop::run(const std::function<bool()>& done, TimePoint limit) {
    for (;;) {
        if (done()) {
            return true;
        }
        const auto remaining = std::chrono::ceil<Milliseconds>(limit - Clock::now());
        if (remaining <= Milliseconds{0}) {
            return false;
        }
        turn(remaining);
    }
}

void Loop::run_for(Milliseconds time) {
    run([] { return false; }, Clock::now() + time);
}

template <class Task>
void Loop::charge(Role role, const Task& task) {
    const auto begun = thread_processor_time();
    task();
    processor_time_[static_cast<std::size_t>(role)] += thread_processor_time() - begun;
}

void Loop::turn(Milliseconds max_wait) {
    max_wait = std::min(max_wait, kMaxWait);
    if (!timers_.empty()) {
        const auto due = std::chrono::ceil<Milliseconds>(timers_.begin()->first - Clock::now());
        max_wait = std::clamp(due, Milliseconds{0}, max_wait);
    }
    epoll_event events[kMaxEvents];
    const int ready = epoll_wait(epoll_, events, kMaxEvents, static_cast<int>(max_wait.count()));
    for (int i = 0; i < ready; ++i) {
        const auto found = handlers_.find(events[i].data.u64);
        if (found == handlers_.end()) {
            continue;
        }
        Handler& handler = *found->second;
        charge(handler.role(), [&handler, &events, i] { handler.ready(events[i].events); });
    }
    fire_timers();
    retired_.clear();
}

void Loop::fire_timers() {
    const TimePoint now = Clock::now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const Timer timer = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        charge(timer.role, timer.task);
    }
}

}  // namespace micaroad::scale::wire
