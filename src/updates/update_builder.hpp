/// Turns the orders of one decision into one update for each proxy that they concern.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"
#include "updates/listed_servers.hpp"
#include "updates/proxy_update.hpp"

namespace micaroad {

/// Remembers what was ordered and what each proxy holds of it, and decides nothing.
///
/// Invariants:
///   - An update leaves a proxy with the tables and admissions that were ordered for the methods it
///     is bound with.
///   - A server that is in a proxy's table by an order, and that no order withdraws, is not
///   withdrawn
///     at that proxy. Withdrawals outlive streams and planners at a proxy, so a withdrawal that it
///     may still hold is lifted along with the server's entry.
///   - No update sends RPCs to a server that is off the list and withdrawn or forgotten.
///
/// Not thread-safe.
class UpdateBuilder {
 public:
    /// `method_count`: methods of the deployment, numbered from 0.
    explicit UpdateBuilder(std::size_t method_count) : method_count_(method_count) {}

    /// Takes any form of list but `unavailable`.
    void on_endpoint_list(const event::EndpointListUpdate& list) { listed_servers_.update(list); }

    /// A proxy has a new stream. Comes after on_proxy_left(), where it had one.
    void on_proxy_joined(ProxyId proxy);

    void on_proxy_left(ProxyId proxy);

    /// Returns false if no update with this nonce awaits its acknowledgement on the proxy's stream.
    bool on_acknowledgement(ProxyId proxy, Nonce nonce);

    /// Forgets a server that is gone for good. Its entries leave the tables together with its
    /// withdrawal: a table that still had one would reinstate it at the next binding. Returns false
    /// and forgets nothing while the server is in a table and not withdrawn.
    bool forget(const ServerId& server);

    /// Returns how many orders were suppressed since the last call, as they would have sent RPCs to
    /// a server that is off the list and withdrawn or forgotten. The planner gives no such order;
    /// the builder does not depend on that.
    std::size_t take_suppressed_orders() { return std::exchange(suppressed_orders_, 0); }

    /// Applies the orders of one decide(), in their order, and returns the updates by proxy number.
    /// Orders that concern no proxy are passed over.
    std::vector<ProxyUpdate> build_updates(const std::vector<Order>& orders);

    /// False for orders between planners: no protocol can send them yet.
    static bool is_supported(const Order& order);

 private:
    using Admissions = std::map<MethodId, ProxyUpdate::Admission>;

    /// A table as ordered.
    struct Table {
        std::map<ServerId, double> entries;
        Admissions admissions;
    };

    /// The last withdrawal or reinstatement of a server that was sent to a proxy.
    struct Notice {
        bool withdrawn = false;
        bool acknowledged = false;
        bool on_this_stream = true;  ///< sent on the stream that the proxy has now
    };

    /// An update that awaits its acknowledgement.
    struct SentUpdate {
        Nonce nonce;
        std::set<ServerId> servers;  ///< that it withdraws or reinstates
    };

    struct Proxy {
        bool joined = false;
        std::map<MethodId, TableId> tables;                      ///< that methods are bound to
        std::map<TableId, std::set<MethodId>> methods_by_table;  ///< the same, by table
        /// Kept while the proxy is away. What it holds of a server without a notice is not known,
        /// but for steady servers: nobody has had a reason to withdraw these.
        std::map<ServerId, Notice> notices;
        std::deque<SentUpdate> unacknowledged;  ///< in the order of sending
    };

    /// For one proxy. A notice in an older update than these is never taken for acknowledged.
    static constexpr std::size_t kMostUnacknowledged = 256;

    void apply(const order::SetTableEntry& order);
    void apply(const order::ClearTable& order);
    void apply(const order::BindProxy& order);
    void apply(const order::SetAdmission& order);
    void apply(const order::SetWithdrawn& order);
    void apply(const order::SendNonce& order);
    template <class Other>
    void apply(const Other&) {}

    // The update under construction.
    ProxyUpdate& update_for(ProxyId proxy);
    static ProxyUpdate::Table& table_in(ProxyUpdate& update, const std::set<MethodId>& methods);
    static void remove_methods(ProxyUpdate& update, const std::set<MethodId>& methods);
    void restart_admissions(ProxyUpdate& update, const Table& table,
                            const std::set<MethodId>& methods) const;
    void set_admission(ProxyId number, const Proxy& proxy, MethodId method);
    void notify(ProxyId number, Proxy& proxy, const ServerId& server, bool withdrawn);
    void reinstate_unless_open(ProxyId number, Proxy& proxy, const ServerId& server);
    void await_acknowledgement(const ProxyUpdate& update, Nonce nonce);

    // The state as ordered.
    void bind_method(ProxyId number, Proxy& proxy, MethodId method, TableId table);
    void set_entry(TableId table, const ServerId& server, double weight);
    void remove_entry(TableId table, const ServerId& server);
    void remove_from_index(TableId table, const ServerId& server);
    [[nodiscard]] std::set<MethodId> methods_or_all(const std::vector<MethodId>& methods) const;
    [[nodiscard]] std::optional<ProxyUpdate::Admission> admission_of(const Table& table,
                                                                     MethodId method) const;
    [[nodiscard]] bool in_any_table(const ServerId& server) const {
        return tables_with_.contains(server);
    }
    /// Off the list, and withdrawn or forgotten: nothing may be sent there again.
    [[nodiscard]] bool is_retired(const ServerId& server) const {
        return !listed_servers_.may_be_listed(server) &&
               (withdrawn_.contains(server) || !in_any_table(server));
    }

    std::size_t method_count_;
    std::size_t suppressed_orders_ = 0;

    ListedServers listed_servers_;
    std::map<TableId, Table> tables_;
    Admissions admissions_for_all_;  // whatever the table
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Proxy> proxies_;  // all that ever joined

    // Tables, servers and proxies are many: with these, one change walks none of them whole.
    std::map<ServerId, std::set<TableId>> tables_with_;          // that have an entry of a server
    std::map<TableId, std::set<ProxyId>> proxies_bound_to_;      // with any method
    std::map<ServerId, std::set<ProxyId>> proxies_with_notice_;  // of a server
    // Joined, and not bound with every method: for the others these use tables that they started
    // with or that other planners sent, which may hold any server.
    std::set<ProxyId> partly_bound_;

    std::map<ProxyId, ProxyUpdate> drafts_;  // of the present build_updates()
};

}  // namespace micaroad
