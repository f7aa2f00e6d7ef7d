// An epoll event loop for the stand-ins of a scale run, with sockets and timers. It measures the
// processor time of each role.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace micaroad::scale::wire {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// The role of a handler or timer. Its processor time is charged to that role.
enum class Role { discovery, collector, proxy, planner };
inline constexpr std::size_t kRoles = 4;
const char* name_of(Role role);

// Handles the events of a file descriptor that the loop watches.
class Handler {
 public:
    explicit Handler(Role role) : role_(role) {}
    virtual ~Handler() = default;
    Handler(const Handler&) = delete;
    Handler& operator=(const Handler&) = delete;
    virtual void ready(std::uint32_t events) = 0;  // EPOLLIN and other epoll flags
    Role role() const { return role_; }

 private:
    const Role role_;
};

class Loop {
 public:
    using Token = std::uint64_t;

    Loop();  // throws std::system_error
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    Token watch(int fd, std::uint32_t events, Handler& handler);  // throws std::system_error
    void change(Token token, int fd, std::uint32_t events);
    void unwatch(Token token, int fd);
    // Destroys the handler at the end of the turn, when no pending event can reach it.
    void retire(std::unique_ptr<Handler> handler);

    void at(TimePoint when, Role role, std::function<void()> task);
    void every(Milliseconds period, Role role, std::function<void()> task);

    // Runs until done() holds or the limit is reached. Returns whether done() holds.
    bool run(const std::function<bool()>& done, TimePoint limit);
    void run_for(Milliseconds time);

    std::chrono::nanoseconds processor_time(Role role) const {
        return processor_time_[static_cast<std::size_t>(role)];
    }

 private:
    struct Timer {
        Role role;
        std::function<void()> task;
    };
    static constexpr Milliseconds kMaxWait{50};
    static constexpr int kMaxEvents = 256;

    void turn(Milliseconds max_wait);
    void fire_timers();
    template <class Task>
    void charge(Role role, const Task& task);

    const int epoll_;
    Token next_ = 1;
    std::unordered_map<Token, Handler*> handlers_;
    std::vector<std::unique_ptr<Handler>> retired_;
    std::multimap<TimePoint, Timer> timers_;
    std::array<std::chrono::nanoseconds, kRoles> processor_time_{};
};

}  // namespace micaroad::scale::wire
