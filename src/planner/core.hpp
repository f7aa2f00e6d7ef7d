/// The core: the one owner of the planner. It passes events to the planner, has it decide, and
/// sends the orders to the proxies.
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
/// Keeps which proxy is joined on which stream, the endpoint list, and the planner's timers. Uses
/// no socket and reads no clock: whoever calls process() passes the time, which must not go back.
/// Not thread-safe; one thread calls it. It never blocks.
class Core {
 public:
    /// `transport`, `log` and `observer` must outlive the core. Without an observer events and
    /// orders are passed on to nobody else. `seed` is that of the planner's random choices.
    Core(const DeploymentSettings& settings, SymbolTable names, std::uint64_t seed,
         Transport& transport, Log& log, Observer* observer = nullptr);

    /// Handles the events in their order and then the timers that are due, decides once, and sends
    /// what was ordered. The events' contents are consumed.
    void process(std::vector<Inbox::Item>& items, TimePoint now);

    /// Counts how long the events took from their arrival to `done`; logs a summary from time to
    /// time.
    void record_lag(const std::vector<Inbox::Item>& items, TimePoint done);

    /// When process() must be called next, even if no event arrives; absent: no timer is running.
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
    /// The other orders are for proxies alone; the update builder writes them.
    template <class Other>
    void execute(const Other& /*order*/) {}

    void pass_to_planner(Event event);
    void expire_timers();
    void remove_proxy(ProxyId proxy, StreamId stream);
    void send(const ProxyUpdate& update);
    void warn_of_unsupported(const Order& order);

    const SymbolTable names_;
    const bool subscription_required_;
    Transport& transport_;
    Log& log_;
    Observer* const observer_;  // null: none
    Planner planner_;
    UpdateBuilder update_builder_;
    EndpointRegistry endpoints_;
    std::map<ProxyId, StreamId> streams_;
    std::map<StreamId, ProxyId> proxies_;
    std::set<ServerId> health_checks_;  // under way
    std::multimap<TimePoint, TimerId> timers_;
    std::map<MethodId, double> admissions_;          // as last ordered, for the log
    std::set<std::size_t> unsupported_order_kinds_;  // already logged, by index in Order
    bool stopping_ = false;
    TimePoint now_;
    LagStatistics lag_;
};

}  // namespace micaroad
