// The module's orders to one letter a proxy. It remembers what was ordered and what each proxy holds of it,
// and decides nothing: what an order means is WIRE's.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "micaroad/planner.hpp"
#include "outbox/letter.hpp"

namespace micaroad {

class Outbox {
 public:
    explicit Outbox(std::size_t methods) : methods_(methods) {}

    void heard(const event::List& list);
    void joined(ProxyId proxy);  // after left(), where it was here
    void left(ProxyId proxy);
    bool answered(ProxyId proxy, MarkId mark);  // false: no such mark is open on its stream
    void forget(const ServerId& server);        // it is gone for good

    // Of one decide(), in order; those that concern no proxy are passed over.
    std::vector<Letter> letters(const std::vector<Order>& orders);

    // Orders that need slices or peers; there are no words for them yet.
    static bool served(const Order& order);

 private:
    static constexpr std::size_t kMostUnanswered = 256;  // a proxy; what an older one said stays unsure
    using Levels = std::map<MethodId, Letter::Level>;
    struct Table {
        std::map<ServerId, double> lines;
        Levels levels;
    };
    // A proxy keeps what it was told to shut out across streams and planners. What this one has not said
    // there is not known, but for servers nobody has had a reason to shut out: those it has found steady.
    struct Told {
        bool out = false;
        bool sure = false;  // it has answered a mark since
        bool here = true;   // on the stream that it has now
    };
    struct Proxy {
        bool here = false;
        std::map<MethodId, TableId> bound;
        std::map<ServerId, Told> told;
        std::deque<std::pair<MarkId, std::set<ServerId>>>
            unanswered;  // with what was shut, in order of writing
    };

    void apply(const order::SetLine& o);
    void apply(const order::ClearTable& o);
    void apply(const order::Bind& o);
    void apply(const order::SetLevel& o);
    void apply(const order::Withdraw& o);
    void apply(const order::Mark& o);
    template <class Other>
    void apply(const Other&) {}

    Letter& letter_to(ProxyId proxy);
    Letter::Table& table_in(Letter& letter, const std::set<MethodId>& methods);
    // After `full`, which forgets them.
    void begin_levels(Letter& letter, const Table& table, const std::set<MethodId>& methods) const;
    std::set<MethodId> methods_at(const Proxy& proxy, TableId table) const;
    std::set<MethodId> all_if_none(const std::vector<MethodId>& methods) const;
    bool holds(const Proxy& proxy, const ServerId& server) const;
    std::optional<Letter::Level> level_of(const Table& table, MethodId method) const;
    void tell_shut(ProxyId number, Proxy& proxy, const ServerId& server, bool out);
    // A line whose server this proxy may still shut out would be none.
    void let_back_unless_open(ProxyId number, Proxy& proxy, const ServerId& server);

    std::size_t methods_;
    bool heard_any_ = false;
    std::set<ServerId> steady_;  // ready since the first list, and started before anyone's memory
    std::map<TableId, Table> tables_;
    Levels for_all_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Proxy> proxies_;
    std::map<ProxyId, Letter> drafts_;
};

}  // namespace micaroad
