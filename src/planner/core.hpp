/// The core, which alone owns the planner: it passes events to the planner, requests decisions, and
/// sends the resulting orders to the proxies.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "log/log.hpp"
#include "micaroad/planner.hpp"
#include "planner/endpoint_registry.hpp"
#include "planner/inbox.hpp"
#include "planner/lag_statistics.hpp"
#include "planner/ports.hpp"
#include "updates/update_builder.hpp"

namespace micaroad {

/// Translates core events to the planner's events and the planner's orders to updates for proxies.
///
/// Holds the stream of each joined proxy, the endpoint list, and the planner's timers. Uses no
/// socket and reads no clock: the caller of process() passes the time, which must not go back.
/// Not thread-safe: a single thread calls all methods. No method blocks.
class Core {
 public:
    /// `transport`, `log` and `observer` must outlive the core. `observer` may be null. `seed`
    /// initializes the planner's random choices.
    Core(const DeploymentSettings& settings, SymbolTable names, std::uint64_t seed,
         Transport& transport, Log& log, Observer* observer = nullptr);

    /// Handles the events in order, then the timers that are due, has the planner decide once, and
    /// sends the resulting orders. The events' contents are moved from.
    void process(std::vector<Inbox::Item>& items, TimePoint now);

    /// Adds the time from each event's arrival to `done` to the lag statistics, and logs a
    /// summary of them periodically.
    void record_lag(const std::vector<Inbox::Item>& items, TimePoint done);

    /// The time at which process() must be called even if no event arrives; absent if no timer is
    /// running.
    [[nodiscard]] std::optional<TimePoint> next_due() const;

    /// Whether a stop has been requested.
    [[nodiscard]] bool stopping() const { return stopping_; }

 private:
    void handle(core_event::StreamOpened& opened);
    void handle(core_event::StreamAcknowledged& acknowledged);
    void handle(core_event::StreamClosed& closed);
    void handle(core_event::ReportReceived& received);
    void handle(core_event::EndpointListReceived& received);
    void handle(core_event::WatchLost& lost);
    void handle(core_event::HealthCheckCompleted& completed);
    void handle(core_event::ConfigurationReloaded& reloaded);
    void handle(core_event::StopRequested& requested);

    void execute(const Order& order);
    void execute(const order::StartTimer& order);
    void execute(const order::CheckHealth& order);
    void execute(const order::SetAdmission& order);
    void execute(const order::SetWithdrawn& order);
    void execute(const order::FetchList& order);
    void execute(const order::LogLine& order);
    /// The other orders need no action here: they only affect proxies, and the update builder
    /// encodes them.
    template <class Other>
    void execute(const Other& /*order*/) {}

    void pass_to_planner(Event event);
    void expire_timers();
    void remove_proxy(ProxyId proxy, StreamId stream);
    void log_admissions();
    void send(const ProxyUpdate& update);
    void warn_of_unsupported(const Order& order);

    const SymbolTable names_;
    const bool subscription_required_;
    Transport& transport_;
    Log& log_;
    Observer* const observer_;  // may be null
    Planner planner_;
    UpdateBuilder update_builder_;
    EndpointRegistry endpoints_;
    std::map<ProxyId, StreamId> streams_;
    std::map<StreamId, ProxyId> proxies_;
    std::set<ServerId> health_checks_;  // in progress
    std::multimap<TimePoint, TimerId> timers_;
    // The lowest amount of each method over all tables, as last ordered, and in this decision.
    std::map<MethodId, double> admissions_;
    std::map<MethodId, double> ordered_admissions_;
    std::set<std::size_t> unsupported_order_kinds_;  // already warned about, by index in Order
    bool stopping_ = false;
    TimePoint now_;
    LagStatistics lag_;
};

}  // namespace micaroad
