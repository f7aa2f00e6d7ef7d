/// Runs the health checks that the core orders, each over its own connection.
#pragma once

#include <chrono>
#include <string>

#include "net/active_sockets.hpp"
#include "net/socket.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"
#include "planner/sync_points.hpp"
#include "protocol/buffer_pool.hpp"

namespace micaroad::net {

/// Checks endpoints with `GET /ping` on request and puts a HealthCheckCompleted into the inbox for
/// each: the endpoint is healthy if the status is 200.
///
/// Threads: any thread may call start_check(), begin_stop() and stop(). Each check runs on its own
/// thread, which the runner owns. Bounds: kMaxChecks run at a time; a check has kTimeout to connect
/// and again kTimeout to receive the response. stop() aborts running checks, which then count as
/// failed, and waits for them.
class HealthCheckRunner {
 public:
    static constexpr std::size_t kMaxChecks = 16;
    static constexpr std::chrono::milliseconds kTimeout{1'000};

    HealthCheckRunner(protocol::BufferPool& pool, Inbox& inbox, Clock clock,
                      SyncPoints* sync = nullptr)
        : pool_(pool), inbox_(inbox), clock_(std::move(clock)), sync_(sync) {}
    ~HealthCheckRunner() { stop(); }
    HealthCheckRunner(const HealthCheckRunner&) = delete;
    HealthCheckRunner& operator=(const HealthCheckRunner&) = delete;

    /// Starts a check. The check fails at once if the address cannot be parsed or kMaxChecks are
    /// running.
    void start_check(const ServerId& server, const std::string& address);
    /// Aborts all checks without waiting for them.
    void begin_stop() { sockets_.stop(); }
    /// begin_stop(), then waits.
    void stop();

 private:
    [[nodiscard]] bool is_healthy(const Address& address, const std::string& host);

    protocol::BufferPool& pool_;
    Inbox& inbox_;
    const Clock clock_;
    SyncPoints* const sync_;
    ActiveSockets sockets_;
    ThreadGroup threads_{kMaxChecks};  // last member: its threads use all those above
};

}  // namespace micaroad::net
