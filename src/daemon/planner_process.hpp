/// The planner process: the core, its drivers, and the lifecycle from start to exit.
#pragma once

#include <atomic>
#include <string>
#include <tl/expected.hpp>

#include "daemon/limits.hpp"
#include "daemon/start_configuration.hpp"
#include "log/log.hpp"
#include "net/acceptor.hpp"
#include "net/discovery_watch.hpp"
#include "net/health_check_runner.hpp"
#include "planner/core.hpp"

namespace micaroad {

/// The states of a planner process:
///
///     created ──> applying_initial_list ──> serving ──> stopping ──> stopped
///                          │                               │
///                          └────────────> failed <─────────┘
///
/// It fails if it can't start to serve, or if its core ended with an error. Both `stopped` and
/// `failed` are final.
enum class LifecycleState {
    created,
    applying_initial_list,  ///< handling the start file's list, before any peer may connect
    serving,
    stopping,  ///< no new connections; the drivers' threads are ending
    stopped,
    failed,
};

/// The state's name in log lines.
[[nodiscard]] const char* to_string(LifecycleState state);

/// The reason why a process can't start to serve.
struct StartError {
    std::string address;  ///< the address it was configured to listen on
    std::string reason;
};

/// One planner: the core on its own thread, the acceptor, the discovery watch and the health
/// checks.
class PlannerProcess : private Transport {
 public:
    /// `log`, `observer` and `sync` must outlive the process. An empty `start.discovery` means that
    /// endpoint lists arrive through handle() instead. `sync` is for tests. Throws
    /// ConfigurationError if `start.listen` or a non-empty `start.discovery` is not an address and
    /// port.
    PlannerProcess(StartConfiguration start, Clock clock, Log& log, Observer* observer = nullptr,
                   SyncPoints* sync = nullptr, net::WatchTimeouts timeouts = {});

    /// Serves until stop() is called. Returns the program's exit code: 0, or 1 if it failed. May be
    /// called once.
    [[nodiscard]] int run();

    /// Makes run() return. Any thread, at any time.
    void stop();

    /// Passes an endpoint list from a source other than discovery to the core. Any thread; does not
    /// block.
    void handle(protocol::EndpointListMessage message);

    /// Reads the start file again, on the caller's thread, and watches discovery at the address in
    /// it. An invalid file is logged and has no effect. Any thread.
    void reload(const Environment& environment);

    /// Any thread.
    [[nodiscard]] LifecycleState state() const { return state_; }
    /// The address it listens on, once it is serving.
    [[nodiscard]] net::Address address() const { return acceptor_.address(); }

 private:
    static constexpr std::size_t kCoreStackBytes = 1024 * 1024;
    static constexpr std::size_t kReadBuffers = 64;  // for the event loop, discovery, health checks

    void write(StreamId stream, std::string_view message) override;
    void close(StreamId stream) override;
    void check_health(const ServerId& server, const std::string& address) override;
    void fetch_list() override;
    void follow(const std::string& discovery) override;

    void enter(LifecycleState state);
    [[nodiscard]] tl::expected<void, StartError> start_serving();
    void log_limits();
    void apply_initial_list();
    void run_core();
    void stop_drivers();

    StartConfiguration start_;
    const Clock clock_;
    Log& log_;
    const net::Address listen_;
    std::atomic<LifecycleState> state_{LifecycleState::created};
    const Limits limits_;
    protocol::BufferPool read_buffers_;
    protocol::BufferPool line_buffers_;
    protocol::BufferPool update_buffers_;
    Inbox inbox_;
    net::Acceptor acceptor_;
    net::HealthCheckRunner health_checks_;
    net::DiscoveryWatch watch_;
    Core core_;
    std::atomic<bool> core_failed_{false};
    SyncPoints* const sync_;
    net::ThreadGroup core_thread_{1, kCoreStackBytes};
};

}  // namespace micaroad
