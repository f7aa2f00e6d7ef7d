/// Health checks that the core orders, each over a connection of its own.
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

/// Checks endpoints with `GET /ping` when it is asked, and puts a HealthCheckCompleted into the
/// inbox for each: healthy if the status is 200.
///
/// Threads: ask(), begin_stop() and stop() by any. Each check runs on a thread of its own, which
/// the health_checks owns. Bounds: kMaxChecks at a time, and kTimeout to connect, and again to
/// answer. It ends with stop(): checks that are under way are broken off, count as failed, and are
/// waited for.
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

    /// Starts a check. It counts as failed at once if the address cannot be parsed or kMaxChecks
    /// are under way.
    void start_check(const ServerId& server, const std::string& address);
    /// Breaks off all checks, without waiting for them.
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
    ThreadGroup threads_{kMaxChecks};  // last: its threads use all of the above
};

}  // namespace micaroad::net
