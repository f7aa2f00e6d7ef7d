/// Frozen reference implementation. tests/differential_test.cpp holds the optimized decisions of
/// src/ against it: both get the same events, and every order must be equal to the bit. Change it
/// only together with an intended change of behaviour, never for speed or style.
///
/// The update_builder as it was before it kept by server and by table who holds what: an order may
/// walk all tables and proxies. Kept plain, as what tests/differential_test.cpp holds the
/// update_builder against.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"
#include "updates/proxy_update.hpp"

namespace micaroad::reference {

class UpdateBuilder {
 public:
    explicit UpdateBuilder(std::size_t methods) : methods_(methods) {}

    void on_endpoint_list(const event::EndpointListUpdate& list);
    void on_proxy_joined(ProxyId proxy);  // after left(), where it was here
    void on_proxy_left(ProxyId proxy);
    bool on_acknowledgement(ProxyId proxy,
                            Nonce mark);  // false: no such mark is open on its stream
    // It is gone for good: its lines leave the tables before what was shut out is dropped, as a
    // table that still had one would let it back at the next bind. False while a line of it is not
    // withdrawn: nothing is dropped.
    bool forget(const ServerId& server);
    // Orders not written since they would send RPCs to a server that is off the list and withdrawn
    // or forgotten, since last asked. The module gives none; the update_builder does not depend on
    // that.
    std::size_t take_suppressed_orders() { return std::exchange(suppressed_orders_, 0); }

    // Of one decide(), in order; those that concern no proxy are passed over.
    std::vector<ProxyUpdate> build_updates(const std::vector<Order>& orders);

    // Orders that need slices or peers; there are no words for them yet.
    static bool is_supported(const Order& order);

 private:
    static constexpr std::size_t kMostUnanswered =
        256;  // a proxy; what an older one said stays unsure
    using Levels = std::map<MethodId, ProxyUpdate::Admission>;
    struct Table {
        std::map<ServerId, double> lines;
        Levels levels;
    };
    // A proxy keeps what it was told to shut out across streams and planners. What this one has not
    // said there is not known, but for servers nobody has had a reason to shut out: those it has
    // found steady.
    struct Told {
        bool out = false;
        bool sure = false;  // it has answered a mark since
        bool here = true;   // on the stream that it has now
    };
    struct Proxy {
        bool here = false;
        std::map<MethodId, TableId> bound;
        std::map<ServerId, Told> told;
        std::deque<std::pair<Nonce, std::set<ServerId>>>
            unanswered;  // with what was shut, in order of writing
    };

    void apply(const order::SetTableEntry& o);
    void apply(const order::ClearTable& o);
    void apply(const order::BindProxy& o);
    void apply(const order::SetAdmission& o);
    void apply(const order::SetWithdrawn& o);
    void apply(const order::SendNonce& o);
    template <class Other>
    void apply(const Other&) {}

    ProxyUpdate& update_for(ProxyId proxy);
    ProxyUpdate::Table& table_in(ProxyUpdate& update, const std::set<MethodId>& methods);
    // After `full`, which forgets them.
    void begin_levels(ProxyUpdate& update, const Table& table,
                      const std::set<MethodId>& methods) const;
    std::set<MethodId> methods_at(const Proxy& proxy, TableId table) const;
    std::set<MethodId> all_if_none(const std::vector<MethodId>& methods) const;
    bool holds(const Proxy& proxy, const std::set<TableId>& with_it) const;
    void use(ProxyId number, Proxy& proxy, MethodId method, TableId table);
    bool in_a_table(const ServerId& server) const;
    // Off the list, and nothing may be sent there again: withdrawn, or forgotten.
    bool over(const ServerId& server) const {
        return heard_any_ && !listed_.contains(server) &&
               (withdrawn_.contains(server) || !in_a_table(server));
    }
    std::optional<ProxyUpdate::Admission> level_of(const Table& table, MethodId method) const;
    void tell_shut(ProxyId number, Proxy& proxy, const ServerId& server, bool out);
    // A line whose server this proxy may still shut out would be none.
    void let_back_unless_open(ProxyId number, Proxy& proxy, const ServerId& server);

    std::size_t methods_;
    bool heard_any_ = false;
    std::size_t suppressed_orders_ = 0;
    std::set<ServerId> listed_;  // ready or draining
    std::set<ServerId> steady_;  // ready since the first list, and started before anyone's memory
    std::map<TableId, Table> tables_;
    std::map<TableId, std::set<ProxyId>>
        users_;  // who is bound to it for any method: tables are many, and so are they
    Levels for_all_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Proxy> proxies_;
    std::map<ProxyId, ProxyUpdate> drafts_;
};

}  // namespace micaroad::reference
