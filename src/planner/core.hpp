// Owns the module: arrivals to events, one decide(), orders to letters. Touches no socket and reads no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "log/log.hpp"
#include "micaroad/planner.hpp"
#include "outbox/outbox.hpp"
#include "planner/inbox.hpp"
#include "planner/ports.hpp"

namespace micaroad {

class Core {
 public:
    Core(const Terms& terms, Names names, std::uint64_t seed, Outlet& outlet, Log& log,
         Witness* witness = nullptr);

    // Hears all of them and the timers that are due, decides once, and sends what was ordered.
    void turn(std::vector<Inbox::Item>& items, Instant now);
    // Sums up now and then how long arrivals took to become orders.
    void note_lag(const std::vector<Inbox::Item>& items, Instant done);
    std::optional<Instant> next_due() const;
    bool stopping() const { return stopping_; }

 private:
    struct Held {
        ListedServer entry;
        std::string address;
    };
    void hear(arrival::StreamBegun& begun);
    void hear(arrival::StreamAnswered& answered);
    void hear(arrival::StreamEnded& ended);
    void hear(arrival::Reported& reported);
    void hear(arrival::ListTold& told);
    bool foreign(const event::List& list) const;
    void drop_removed(event::List& list);
    void forget_removed();
    std::vector<ServerId> missing_in(const event::List& list) const;
    void hear(arrival::WatchLost&);
    void hear(arrival::ProbeEnded& ended);
    void hear(arrival::Reloaded& reloaded);
    void hear(arrival::Stop&) { stopping_ = true; }
    void leave(ProxyId proxy, StreamId stream);
    void tell_module(Event event);
    void carry_out(const Order& order, Instant now);

    // A list of an older version that names a server removed so lately is out of date; the removal stands.
    // After that, nothing is kept of the server.
    static constexpr Span kRemovedStands = std::chrono::seconds(60);
    const Names names_;
    const bool subscribed_;
    Outlet& outlet_;
    Log& log_;
    Witness* const witness_;  // absent: nobody is told
    Planner planner_;
    Outbox outbox_;
    std::map<ProxyId, StreamId> streams_;
    std::map<StreamId, ProxyId> proxies_;
    std::map<ServerId, Held> held_;  // the list, without what is gone
    std::set<ServerId> probed_;      // an answer is awaited
    std::int64_t version_ = -1;
    std::map<ServerId, Instant> removed_;  // not long ago
    std::multimap<Instant, TimerId> timers_;
    std::map<MethodId, double> levels_;  // as last ordered, for the log
    std::set<std::size_t> unserved_;     // kinds of order that were logged as such
    bool stopping_ = false;
    Instant now_{};
    struct {
        Instant since{};
        Span longest{}, sum{};
        std::int64_t number = 0, letters = 0, lines = 0;
    } lag_;
};

}  // namespace micaroad
