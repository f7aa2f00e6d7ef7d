/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
///
/// The update builder in its simple form, without indexes of the proxies that hold a server: an
/// order may iterate over all tables and proxies.
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
    explicit UpdateBuilder(std::size_t method_count) : method_count_(method_count) {}

    void on_endpoint_list(const event::EndpointListUpdate& list);
    void on_proxy_joined(ProxyId proxy);  // after on_proxy_left(), if it had joined before
    void on_proxy_left(ProxyId proxy);
    bool on_acknowledgement(
        ProxyId proxy,
        Nonce nonce);  // false: no update with this nonce awaits acknowledgement
    // Forgets a server that is gone permanently. Its entries leave the tables together with its
    // withdrawal, as a remaining entry would reinstate it at the next bind. Returns false and
    // changes nothing while the server is in a table and not withdrawn.
    bool forget(const ServerId& server);
    // Returns the number of orders suppressed since the last call because they would have directed
    // RPCs to a server that is not listed and is withdrawn or forgotten. The planner gives no such
    // orders, but the builder does not rely on that.
    std::size_t take_suppressed_orders() { return std::exchange(suppressed_orders_, 0); }

    // Applies the orders of one decide() in sequence; those that concern no proxy are ignored.
    std::vector<ProxyUpdate> build_updates(const std::vector<Order>& orders);

    // False for messages between planners, which the protocol can't express yet.
    static bool is_supported(const Order& order);

 private:
    static constexpr std::size_t kMaxUnacknowledged =
        256;  // per proxy; older nonces are no longer accepted
    using Admissions = std::map<MethodId, ProxyUpdate::Admission>;
    struct Table {
        std::map<ServerId, double> entries;
        Admissions admissions;
    };
    // The last withdrawal or reinstatement of a server that was sent to a proxy. A proxy keeps
    // withdrawals across streams and planners. Without a notice of this planner it is unknown
    // whether a server is withdrawn there, except for steady servers, which no planner had a reason
    // to withdraw.
    struct Notice {
        bool withdrawn = false;
        bool on_this_stream = true;  // sent on the proxy's current stream
    };
    struct Proxy {
        bool joined = false;
        std::map<MethodId, TableId> bound;
        std::map<ServerId, Notice> notices;
        std::deque<Nonce> unacknowledged;  // nonces of its updates, in order of sending
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
    ProxyUpdate::Table& table_part_for(ProxyUpdate& update, const std::set<MethodId>& methods);
    // Sets the admissions after a full table, which clears them at the proxy.
    void reset_admissions(ProxyUpdate& update, const Table& table,
                          const std::set<MethodId>& methods) const;
    std::set<MethodId> methods_bound_to(const Proxy& proxy, TableId table) const;
    std::set<MethodId> all_if_empty(const std::vector<MethodId>& methods) const;
    bool may_hold(const Proxy& proxy, const std::set<TableId>& tables_with_server) const;
    void bind_method(ProxyId number, Proxy& proxy, MethodId method, TableId table);
    bool is_in_table(const ServerId& server) const;
    // Whether the server is not listed and is withdrawn or forgotten, so that no RPC may go there.
    bool must_stay_withdrawn(const ServerId& server) const {
        return has_list_ && !listed_.contains(server) &&
               (withdrawn_.contains(server) || !is_in_table(server));
    }
    std::optional<ProxyUpdate::Admission> admission_for(const Table& table, MethodId method) const;
    void send_notice(ProxyId number, Proxy& proxy, const ServerId& server, bool withdrawn);
    // Reinstates a server that may still be withdrawn at the proxy: its entry would have no effect.
    void reinstate_unless_open(ProxyId number, Proxy& proxy, const ServerId& server);

    std::size_t method_count_;
    bool has_list_ = false;
    std::size_t suppressed_orders_ = 0;
    std::set<ServerId> listed_;  // ready or draining
    std::set<ServerId> steady_;  // ready since the first list, without a known start time
    std::map<TableId, Table> tables_;
    std::map<TableId, std::set<ProxyId>>
        bound_proxies_;  // by table, for any method; an index, as tables and proxies are many
    Admissions admissions_for_all_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Proxy> proxies_;
    std::map<ProxyId, ProxyUpdate> drafts_;
};

}  // namespace micaroad::reference
