// Owns the module: arrivals to events, one decide(), orders to updates. Touches no socket and reads
// no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "log/log.hpp"
#include "micaroad/planner.hpp"
#include "planner/inbox.hpp"
#include "planner/ports.hpp"
#include "updates/update_builder.hpp"

namespace micaroad {

class Core {
 public:
    Core(const DeploymentSettings& settings, SymbolTable names, std::uint64_t seed,
         Transport& transport, Log& log, Observer* observer = nullptr);

    // Hears all of them and the timers that are due, decides once, and sends what was ordered.
    void turn(std::vector<Inbox::Item>& items, TimePoint now);
    // Sums up now and then how long arrivals took to become orders.
    void note_lag(const std::vector<Inbox::Item>& items, TimePoint done);
    std::optional<TimePoint> next_due() const;
    bool stopping() const { return stopping_; }

 private:
    struct Held {
        ListedEndpoint entry;
        std::string address;
    };
    void handle(core_event::StreamOpened& begun);
    void handle(core_event::StreamAcknowledged& answered);
    void handle(core_event::StreamClosed& ended);
    void handle(core_event::ReportReceived& reported);
    void handle(core_event::EndpointListReceived& told);
    bool foreign(const event::EndpointListUpdate& list) const;
    void drop_removed(event::EndpointListUpdate& list);
    void forget_removed();
    std::vector<ServerId> missing_in(const event::EndpointListUpdate& list) const;
    void handle(core_event::WatchLost&);
    void handle(core_event::HealthCheckCompleted& ended);
    void handle(core_event::ConfigurationReloaded& reloaded);
    void handle(core_event::StopRequested&) { stopping_ = true; }
    void leave(ProxyId proxy, StreamId stream);
    void tell_module(Event event);
    void carry_out(const Order& order, TimePoint now);

    // A list of an older version that names a server removed so lately is out of date; the removal
    // stands. After that, nothing is kept of the server.
    static constexpr Duration kRemovedStands = std::chrono::seconds(60);
    const SymbolTable names_;
    const bool subscribed_;
    Transport& transport_;
    Log& log_;
    Observer* const observer_;  // absent: nobody is told
    Planner planner_;
    UpdateBuilder update_builder_;
    std::map<ProxyId, StreamId> streams_;
    std::map<StreamId, ProxyId> proxies_;
    std::map<ServerId, Held> held_;  // the list, without what is gone
    std::set<ServerId> probed_;      // an answer is awaited
    std::int64_t version_ = -1;
    std::map<ServerId, TimePoint> removed_;  // not long ago
    std::multimap<TimePoint, TimerId> timers_;
    std::map<MethodId, double> levels_;  // as last ordered, for the log
    std::set<std::size_t> unserved_;     // kinds of order that were logged as such
    bool stopping_ = false;
    TimePoint now_{};
    struct {
        TimePoint since{};
        Duration longest{}, sum{};
        std::int64_t number = 0, updates = 0, lines = 0;
    } lag_;
};

}  // namespace micaroad
