/// Periodic health checks of a plan's servers, following the rules of their pools.
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

/// Drives routing::HealthCheckedEndpoints, which decides which servers to check and when: runs the
/// checks, passes it the results, and forwards each endpoint list that changes because of them.
///
/// Threads: start() is called once; any thread may call replace() and stop(). One own thread
/// schedules the checks and calls `on_list` with the mutex held; each check runs on another own
/// thread. Bounds: kMaxChecks run at a time; a check that no thread can be started for is skipped
/// until its server is due again. stop() aborts running checks and waits for them.
class HealthChecker {
 public:
    static constexpr std::size_t kMaxChecks = 16;
    using OnList =
        std::function<void(event::EndpointListUpdate, std::map<ServerId, std::string> addresses)>;

    HealthChecker(routing::Plan plan, Clock clock, OnList on_list, Log& log);
    ~HealthChecker() { stop(); }
    HealthChecker(const HealthChecker&) = delete;
    HealthChecker& operator=(const HealthChecker&) = delete;

    /// Returns false if no thread can be started.
    [[nodiscard]] bool start();
    void stop();
    /// Continues with another plan. Returns false, changing nothing, if its pools differ.
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

    // Guards the members from here to the threads.
    std::mutex mutex_;
    std::condition_variable wakeup_;
    routing::HealthCheckedEndpoints endpoints_;
    std::vector<CheckResult> results_;  // not yet passed to endpoints_
    bool stopping_ = false;
    bool plan_replaced_ = false;

    static constexpr std::size_t kStackBytes = 256 * 1024;
    ThreadGroup check_threads_{kMaxChecks};
    ThreadGroup thread_{1, kStackBytes};
};

}  // namespace micaroad::net
