/// Translates the orders of one decision to one update for each affected proxy.
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

/// Stores the ordered state and what each proxy has of it. Makes no decisions of its own.
///
/// Invariants:
///   - After an update, a proxy has the ordered tables and admissions for all methods for which it
///     is bound to a table.
///   - A server that orders put into a proxy's table, and that no order withdraws, is not withdrawn
///     at that proxy. A proxy keeps withdrawals across streams and planners, so an update
///     reinstates a server that may still be withdrawn there together with sending its entry.
///   - No update directs RPCs to a server that is not listed and is withdrawn or forgotten.
///
/// Not thread-safe.
class UpdateBuilder {
 public:
    /// `method_count`: number of methods of the deployment, which are numbered from 0.
    explicit UpdateBuilder(std::size_t method_count) : method_count_(method_count) {}

    /// Applies a list of any form except `unavailable`.
    void on_endpoint_list(const event::EndpointListUpdate& list) { listed_servers_.update(list); }

    /// A proxy has opened a stream. If it had one before, on_proxy_left() must be called first.
    void on_proxy_joined(ProxyId proxy);

    void on_proxy_left(ProxyId proxy);

    /// Returns false if no update with this nonce awaits acknowledgement on the proxy's stream.
    bool on_acknowledgement(ProxyId proxy, Nonce nonce);

    /// Forgets a server that is permanently gone. Removes its table entries together with its
    /// withdrawal, as a remaining entry would reinstate it at the next binding. Returns false and
    /// changes nothing if the server is in a table and not withdrawn.
    bool forget(const ServerId& server);

    /// Returns the number of orders suppressed since the last call because they would have directed
    /// RPCs to a server that is not listed and is withdrawn or forgotten. The planner issues no
    /// such orders, but the builder does not rely on that.
    std::size_t take_suppressed_orders() { return std::exchange(suppressed_orders_, 0); }

    /// Applies the orders of one decide() in sequence and returns the updates, sorted by proxy
    /// number. Orders that concern no proxy are ignored.
    std::vector<ProxyUpdate> build_updates(const std::vector<Order>& orders);

    /// False for messages between planners, which no protocol can send yet.
    static bool is_supported(const Order& order);

 private:
    using Admissions = std::map<MethodId, ProxyUpdate::Admission>;

    /// The ordered state of a table.
    struct Table {
        std::map<ServerId, double> entries;
        Admissions admissions;
    };

    /// The last withdrawal or reinstatement of a server that was sent to a proxy.
    struct Notice {
        bool withdrawn = false;
        bool on_this_stream = true;  ///< sent on the proxy's current stream
    };

    struct Proxy {
        bool joined = false;
        std::map<MethodId, TableId> tables;                      ///< the table of each bound method
        std::map<TableId, std::set<MethodId>> methods_by_table;  ///< the same, by table
        /// Kept while the proxy has no stream. It is unknown whether a server without a notice is
        /// withdrawn at the proxy, except for steady servers, which no planner had a reason to
        /// withdraw.
        std::map<ServerId, Notice> notices;
        /// Nonces of the updates that await acknowledgement, in the order in which they were sent.
        std::deque<Nonce> unacknowledged;
    };

    /// Maximum number of stored unacknowledged nonces per proxy. Older ones are no longer accepted.
    static constexpr std::size_t kMaxUnacknowledged = 256;

    void apply(const order::SetTableEntry& order);
    void apply(const order::ClearTable& order);
    void apply(const order::BindProxy& order);
    void apply(const order::SetAdmission& order);
    void apply(const order::SetWithdrawn& order);
    void apply(const order::SendNonce& order);
    template <class Other>
    void apply(const Other&) {}

    // Changes to the updates under construction.
    ProxyUpdate& update_for(ProxyId proxy);
    static ProxyUpdate::Table& find_or_add_table(ProxyUpdate& update,
                                                 const std::set<MethodId>& methods);
    static void remove_methods(ProxyUpdate& update, const std::set<MethodId>& methods);
    void resend_admissions(ProxyUpdate& update, const Table& table,
                           const std::set<MethodId>& methods) const;
    void update_admission(ProxyId number, const Proxy& proxy, MethodId method);
    void add_notice(ProxyId number, Proxy& proxy, const ServerId& server, bool withdrawn);
    void ensure_reinstated(ProxyId number, Proxy& proxy, const ServerId& server);
    void await_acknowledgement(ProxyId proxy, Nonce nonce);

    // The ordered state.
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
    /// Whether the server is not listed and is withdrawn or forgotten: it must get no more RPCs.
    [[nodiscard]] bool is_retired(const ServerId& server) const {
        return !listed_servers_.may_be_listed(server) &&
               (withdrawn_.contains(server) || !in_any_table(server));
    }

    std::size_t method_count_;
    std::size_t suppressed_orders_ = 0;

    ListedServers listed_servers_;
    std::map<TableId, Table> tables_;
    Admissions admissions_for_all_;  // set for all tables
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Proxy> proxies_;  // all proxies that ever joined

    // Indexes, so that a change does not iterate over all tables, servers or proxies.
    std::map<ServerId, std::set<TableId>> tables_with_;      // tables with an entry for a server
    std::map<TableId, std::set<ProxyId>> proxies_bound_to_;  // bound with any method
    std::map<ServerId, std::set<ProxyId>> proxies_with_notice_;  // that got one for a server
    // Joined proxies that are not bound for all methods. For the other methods they use their
    // initial tables or tables from other planners, which may contain any server.
    std::set<ProxyId> partly_bound_;

    std::map<ProxyId, ProxyUpdate> drafts_;  // of the current build_updates()
};

}  // namespace micaroad
