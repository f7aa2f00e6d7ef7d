/// Periodic health checks of a plan's servers, by the rules of their pools.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "net/active_sockets.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"
#include "routing/health_checked_endpoints.hpp"

namespace micaroad::net {

/// Drives routing::HealthCheckedEndpoints, which decides whom to check and when: makes the checks,
/// gives it the results, and passes on each endpoint list that comes of them.
///
/// Threads: start() once; replace() and stop() by any. One thread of its own drives it and
/// calls `on_list`, with the mutex held; each check runs on another. Bounds: kMaxChecks at a time;
/// a check that finds no thread is left out and comes with its server's next turn. It ends with
/// stop(), which breaks off checks that are under way and waits for them.
class HealthChecker {
 public:
    static constexpr std::size_t kMaxChecks = 16;
    using OnList =
        std::function<void(event::EndpointListUpdate, std::map<ServerId, std::string> addresses)>;

    HealthChecker(routing::Plan plan, Clock clock, OnList on_list, Log& log);
    ~HealthChecker() { stop(); }
    HealthChecker(const HealthChecker&) = delete;
    HealthChecker& operator=(const HealthChecker&) = delete;

    /// False if there is no thread for it.
    [[nodiscard]] bool start();
    void stop();
    /// Goes on with another plan. False if its pools differ; then nothing is changed.
    [[nodiscard]] bool replace(routing::Plan plan);

 private:
    using Check = routing::HealthCheck;
    struct CheckResult {
        std::string server;
        bool healthy;
    };

    void run();
    void run_check(const Check& check);
    [[nodiscard]] bool is_healthy(const Check& check);

    const Clock clock_;
    const OnList on_list_;
    Log& log_;
    ActiveSockets sockets_;

    // Guards what follows up to the threads.
    std::mutex mutex_;
    std::condition_variable wakeup_;
    routing::HealthCheckedEndpoints endpoints_;
    std::vector<CheckResult> results_;  // that were not passed on yet
    bool stopping_ = false;
    bool plan_replaced_ = false;

    static constexpr std::size_t kStackBytes = 256 * 1024;
    ThreadGroup check_threads_{kMaxChecks};
    ThreadGroup thread_{1, kStackBytes};
};

}  // namespace micaroad::net
