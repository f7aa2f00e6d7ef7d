#include "daemon/planner_process.hpp"

#include <exception>
#include <utility>
#include <vector>

namespace micaroad {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitFailed = 1;

net::Address parse_address(const std::string& text, const char* key) {
    const auto address = net::address_of(text);
    if (!address) {
        throw ConfigurationError(key,
                                 std::string("'") + key + "' is not an address and port: " + text);
    }
    return *address;
}

net::Address parse_discovery_address(const std::string& text) {
    return parse_address(text, "discovery");
}

}  // namespace

const char* to_string(LifecycleState state) {
    switch (state) {
        case LifecycleState::created:
            return "created";
        case LifecycleState::applying_initial_list:
            return "applying_initial_list";
        case LifecycleState::serving:
            return "serving";
        case LifecycleState::stopping:
            return "stopping";
        case LifecycleState::stopped:
            return "stopped";
        case LifecycleState::failed:
            return "failed";
    }
    return "?";
}

PlannerProcess::PlannerProcess(StartConfiguration start, Clock clock, Log& log, Observer* observer,
                               SyncPoints* sync, net::WatchTimeouts timeouts)
    : start_(std::move(start)),
      clock_(std::move(clock)),
      log_(log),
      listen_(parse_address(start_.listen, "listen")),
      limits_(Limits::of(start_.memory_mb, start_.sockets,
                         static_cast<std::size_t>(start_.settings.proxy_count),
                         start_.names.zones.size())),
      read_buffers_(kReadBuffers),
      line_buffers_(limits_.line_buffers),
      update_buffers_(limits_.update_buffers),
      inbox_(clock_),
      acceptor_({start_.names, start_.bounds, read_buffers_, line_buffers_, update_buffers_, inbox_,
                 log_, sync},
                limits_.max_connections, limits_.max_unidentified),
      health_checks_(read_buffers_, inbox_, clock_, sync),
      watch_(start_.discovery,
             start_.discovery.empty() ? net::Address{} : parse_discovery_address(start_.discovery),
             start_.names, start_.initial_list.version, limits_.max_list_bytes, read_buffers_,
             inbox_, log_, timeouts, sync),
      core_(start_.settings, start_.names, start_.seed, *this, log_, observer),
      sync_(sync) {}

int PlannerProcess::run() {
    const auto started = start_serving();
    if (!started) {
        log_.error("process: start failed planner={} listen={} reason={:?}", start_.name,
                   started.error().address, started.error().reason);
        enter(LifecycleState::failed);
        return kExitFailed;
    }
    enter(LifecycleState::serving);
    if (!core_thread_.start([this] { run_core(); })) {
        core_failed_ = true;
    }
    core_thread_.wait();
    reach(sync_, SyncPoint::core_stopped);
    enter(LifecycleState::stopping);
    stop_drivers();
    if (core_failed_) {
        enter(LifecycleState::failed);
        return kExitFailed;
    }
    enter(LifecycleState::stopped);
    return kExitStopped;
}

void PlannerProcess::stop() {
    inbox_.put(core_event::StopRequested{});
}

void PlannerProcess::handle(protocol::EndpointListMessage message) {
    inbox_.put(core_event::EndpointListReceived{std::move(message)});
}

void PlannerProcess::reload(const Environment& environment) {
    try {
        ReloadedConfiguration configuration = reload_configuration(environment, start_);
        (void)parse_discovery_address(configuration.discovery);  // throws if invalid
        inbox_.put(core_event::ConfigurationReloaded{std::move(configuration)});
    } catch (const std::exception& error) {
        log_.error("configuration: reload rejected planner={} reason={:?}", start_.name,
                   error.what());
    }
}

// The acceptor opens last: a peer is told that the planner is alive as soon as it connects, and by
// then the planner must have handled its initial list.
tl::expected<void, StartError> PlannerProcess::start_serving() {
    enter(LifecycleState::applying_initial_list);
    log_limits();
    apply_initial_list();
    if (!start_.discovery.empty() && !watch_.start()) {
        return tl::unexpected(StartError{start_.listen, "can't start the discovery thread"});
    }
    if (const auto opened = acceptor_.open(listen_); !opened) {
        return tl::unexpected(StartError{start_.listen, describe(opened.error())});
    }
    return {};
}

void PlannerProcess::log_limits() {
    log_.info("process: limits planner={} max_connections={} max_unidentified_peers={}",
              start_.name, limits_.max_connections, limits_.max_unidentified);
    if (!limits_.sufficient) {
        log_.warn(
            "process: limits too low for all proxies at once planner={} proxies={} effect=\"the "
            "last to connect are rejected\"",
            start_.name, start_.settings.proxy_count);
    }
}

void PlannerProcess::apply_initial_list() {
    std::vector<Inbox::Item> items;
    // The list may be large, so it is moved into `items` and freed with them.
    items.push_back({clock_(), core_event::EndpointListReceived{std::move(start_.initial_list)}});
    core_.process(items, clock_());
}

void PlannerProcess::run_core() {
    try {
        while (!core_.stopping()) {
            std::vector<Inbox::Item> items = inbox_.wait(core_.next_due());
            core_.process(items, clock_());
            core_.record_lag(items, clock_());
            const std::size_t dropped = inbox_.take_dropped_reports();
            if (dropped > 0) {
                log_.warn(
                    "core: reports dropped planner={} count={} reason=\"more than the core "
                    "can process\"",
                    start_.name, dropped);
            }
        }
    } catch (const std::exception& error) {
        log_.error("core: failed planner={} reason={:?}", start_.name, error.what());
        core_failed_ = true;
    }
}

// Requests all drivers to stop before it waits for any, so that one that hangs does not delay the
// others.
void PlannerProcess::stop_drivers() {
    acceptor_.begin_shutdown();
    watch_.begin_stop();
    health_checks_.begin_stop();
    watch_.stop();
    health_checks_.stop();
    acceptor_.shutdown();
}

void PlannerProcess::enter(LifecycleState state) {
    state_ = state;
    log_.info("process: state changed planner={} state={}", start_.name, to_string(state));
}

void PlannerProcess::write(StreamId stream, std::string_view message) {
    acceptor_.write(stream, message);
}

void PlannerProcess::close(StreamId stream) {
    acceptor_.close(stream);
}

void PlannerProcess::check_health(const ServerId& server, const std::string& address) {
    health_checks_.start_check(server, address);
}

void PlannerProcess::fetch_list() {
    watch_.fetch();
}

void PlannerProcess::follow(const std::string& discovery) {
    watch_.follow(discovery, parse_discovery_address(discovery));
}

}  // namespace micaroad
