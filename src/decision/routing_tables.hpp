/// What the tables at proxies hold of each endpoint, what they are to hold, and the ordered changes
/// between the two. Sets of endpoints and pools are kept up as entries change, so that nobody has
/// to walk over all of them. It decides nothing: weights and ranks come from the update planner,
/// and the update sender says what was sent.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision/routing_entry.hpp"

namespace micaroad::decision {

/// Owns the entries of all endpoints and pools; pointers to them stay valid until erase() or
/// drop_empty_table_entries(). Not thread-safe.
class RoutingTables {
 public:
    struct ByName {
        bool operator()(const RoutingEntry* one, const RoutingEntry* other) const {
            return *one->server < *other->server;
        }
    };
    using EntrySet = std::set<RoutingEntry*, ByName>;

    struct TimedEntry {
        TimePoint time;
        RoutingEntry* entry = nullptr;
        auto operator<=>(const TimedEntry&) const = default;
    };
    using EntriesByTime = std::set<TimedEntry>;

    using PoolSet = std::set<std::size_t>;  ///< indices of pools

    RoutingTables() = default;
    RoutingTables(const RoutingTables&) = delete;
    RoutingTables& operator=(const RoutingTables&) = delete;
    ~RoutingTables() = default;

    /// Pools in the order in which they were added, which is that of their indices.
    [[nodiscard]] std::vector<TablePool>& pools() { return pools_; }
    [[nodiscard]] const std::vector<TablePool>& pools() const { return pools_; }
    void add_pool(const PoolBinding& binding) { pools_.emplace_back().binding = binding; }

    [[nodiscard]] const std::map<ServerId, RoutingEntry>& endpoints() const { return endpoints_; }
    [[nodiscard]] RoutingEntry* find(const ServerId& server);
    RoutingEntry& find_or_add(const ServerId& server);

    /// Endpoints of which no table holds an entry.
    [[nodiscard]] const EntrySet& unsent() const { return unsent_; }
    [[nodiscard]] const EntrySet& warming_up() const { return warming_up_; }
    /// Endpoints that failed more of their latest attempts than the planner's bound.
    [[nodiscard]] const EntrySet& failing() const { return failing_; }
    /// Endpoints whose withdrawal or reinstatement is pending.
    [[nodiscard]] const EntrySet& changing_availability() const { return changing_availability_; }
    /// Endpoints that should be withdrawn and are not, by the time since when.
    [[nodiscard]] const EntriesByTime& withdrawals_due() const { return withdrawals_due_; }
    /// Endpoints that were withdrawn lately, by the time of it.
    [[nodiscard]] const EntriesByTime& recently_withdrawn() const { return recently_withdrawn_; }
    /// Endpoints for which no weights are published any more, by the time since when.
    [[nodiscard]] const EntriesByTime& untracked() const { return untracked_; }

    /// Replaces the published weights; pools that are left out get 0.
    void set_published(RoutingEntry& entry,
                       const std::vector<std::pair<std::size_t, double>>& shares);
    /// Weights were published now; for the last time if `tracked` is false.
    void set_tracked(RoutingEntry& entry, bool tracked, TimePoint now);
    void set_warming_up(RoutingEntry& entry, bool warming_up);
    void set_failing(RoutingEntry& entry, bool failing) { put(failing_, entry, failing); }
    /// Keeps an endpoint out of all tables, though weights are published, until the next are.
    /// Returns the pools that it was in.
    PoolSet hold_back(RoutingEntry& entry);
    /// The endpoint should be withdrawn since `due`; not `due`: it should not, or is already.
    void set_withdrawal_due(RoutingEntry& entry, bool is_due, TimePoint due);
    /// The next plan looks again whether the endpoint's withdrawal is to be repeated.
    void set_withdrawal_repeated(RoutingEntry& entry) { withdrawal_repeated_.insert(&entry); }

    /// Notes that the endpoint's withdrawal or reinstatement was sent, to all proxies that joined
    /// up to `last_join`. A repeated withdrawal keeps the time of the first.
    void set_availability_sent(RoutingEntry& entry, bool repeated, int last_join, TimePoint now);
    /// Follows a change of sent weights: the endpoint and its pools are to be planned anew.
    void on_weights_sent(RoutingEntry& entry);
    /// Forgets withdrawals up to `until`: nobody asks about them any more.
    void drop_withdrawn_until(TimePoint until);

    /// The endpoint is to be planned anew.
    void queue(RoutingEntry& entry);
    void queue(const EntrySet& entries);
    /// Queues the endpoints whose withdrawal is repeated, and empties that set.
    void queue_withdrawal_repeated();
    [[nodiscard]] std::vector<RoutingEntry*> take_queued();
    /// The pools that are to be looked at. With `weights_published`, endpoints that were held back
    /// are looked at anew.
    [[nodiscard]] PoolSet take_pools_to_plan(bool weights_published);
    /// The next plan scales the pool's wanted weights again, published anew or not.
    void set_unsettled(std::size_t pool, bool unsettled) { put(unsettled_, pool, unsettled); }
    /// The pool's wanted weights are not just what the last published ones gave.
    void set_rescaled(std::size_t pool, bool rescaled) { put(rescaled_, pool, rescaled); }

    /// Makes a change that bears on what a binding sends of the endpoint, and keeps
    /// TablePool::binding_lines right.
    template <class AnyChange>
    void update_and_recount_lines(RoutingEntry& entry, AnyChange change) {
        count_binding_lines(entry, -1);
        change();
        count_binding_lines(entry, 1);
    }
    /// Sets the number of subsets, while no table entry is sent.
    void set_subset_count(std::size_t count);

    [[nodiscard]] bool has_pending_changes() const { return !pending_changes_.empty(); }
    [[nodiscard]] const PendingChange& first_change() const { return *pending_changes_.begin(); }
    /// The endpoint that a pending change is about.
    [[nodiscard]] RoutingEntry& entry_of(const PendingChange& change) {
        return endpoints_.at(change.server);
    }
    void take_first_change();

    /// Plans a withdrawal or reinstatement, in place of all changes of the endpoint's weights.
    void plan_availability_change(RoutingEntry& entry, const PlannedChange& change);
    void drop_availability_change(RoutingEntry& entry);
    void plan_weight_change(const PoolTableEntry& place, const PlannedChange& change);
    void drop_weight_change(const PoolTableEntry& place);

    /// Erases table entries that are neither published, wanted nor sent.
    void drop_empty_table_entries(RoutingEntry& entry);
    /// Erases an endpoint of which no table holds an entry.
    void erase(RoutingEntry& entry);

 private:
    template <class Set, class Value>
    static void put_value(Set& set, const Value& value, bool in) {
        if (in) {
            set.insert(value);
        } else {
            set.erase(value);
        }
    }
    static void put(EntrySet& entries, RoutingEntry& entry, bool in) {
        put_value(entries, &entry, in);
    }
    static void put(PoolSet& pools, std::size_t pool, bool in) { put_value(pools, pool, in); }

    TableEntry& table_entry_in(std::size_t pool, RoutingEntry& entry);
    void mark_for_planning(RoutingEntry& entry);
    void count_binding_lines(RoutingEntry& entry, double sign);
    void plan(PlannedChange& planned, const PendingChange& change);
    void drop(PlannedChange& planned, const ServerId& server, std::optional<std::uint32_t> pool);

    std::vector<TablePool> pools_;
    std::map<ServerId, RoutingEntry> endpoints_;
    std::set<PendingChange> pending_changes_;

    EntrySet unsent_;
    EntrySet warming_up_;
    EntrySet held_back_;
    EntrySet changing_availability_;
    EntrySet withdrawal_repeated_;
    EntrySet failing_;
    EntriesByTime withdrawals_due_;
    EntriesByTime recently_withdrawn_;
    EntriesByTime untracked_;

    PoolSet unsettled_;
    PoolSet rescaled_;
    PoolSet pools_to_plan_;
    std::vector<RoutingEntry*> queued_;
};

}  // namespace micaroad::decision
