/// Keeps what the tables at proxies hold of each endpoint, what they should hold, and the ordered
/// changes between the two. Sets of endpoints and pools are updated as entries change, so that
/// callers need not iterate over all of them. It makes no decisions: the update planner sets
/// weights and ranks, and the update sender reports what was sent.
#pragma once

#include <compare>
#include <map>
#include <optional>
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

    /// Whether a table holds an entry of any endpoint, or ever did.
    [[nodiscard]] bool was_any_in_use() const { return was_any_in_use_; }
    /// Endpoints of which no table holds an entry.
    [[nodiscard]] const EntrySet& unsent() const { return unsent_; }
    [[nodiscard]] const EntrySet& warming_up() const { return warming_up_; }
    /// Endpoints that failed more of their latest attempts than the planner's bound.
    [[nodiscard]] const EntrySet& failing() const { return failing_; }
    /// Endpoints whose withdrawal or reinstatement is pending.
    [[nodiscard]] const EntrySet& changing_availability() const { return changing_availability_; }
    /// Endpoints that should be withdrawn and are not yet, by the time since which they should be.
    [[nodiscard]] const EntriesByTime& withdrawals_due() const { return withdrawals_due_; }
    /// Endpoints that were withdrawn recently, by the time of the withdrawal.
    [[nodiscard]] const EntriesByTime& recently_withdrawn() const { return recently_withdrawn_; }
    /// Endpoints for which no weights are published any more, by the time of their last
    /// publication.
    [[nodiscard]] const EntriesByTime& untracked() const { return untracked_; }

    /// Replaces the published weights; pools that are left out get 0.
    void set_published(RoutingEntry& entry,
                       const std::vector<std::pair<std::size_t, double>>& shares);
    /// Records that weights were published now; for the last time if `tracked` is false.
    void set_tracked(RoutingEntry& entry, bool tracked, TimePoint now);
    void set_warming_up(RoutingEntry& entry, bool warming_up);
    void set_failing(RoutingEntry& entry, bool failing) { set_member(failing_, entry, failing); }
    /// Sets the endpoint's wanted weights to 0, whatever weights are published for it, until the
    /// next are published. Returns the pools that it is in.
    PoolSet hold_back(RoutingEntry& entry);
    /// Records since when the endpoint should be withdrawn. `is_due` is false if it should not be,
    /// or is already.
    void set_withdrawal_due(RoutingEntry& entry, bool is_due, TimePoint due);
    /// Makes the next plan check again whether the endpoint's withdrawal is to be repeated.
    void set_withdrawal_repeated(RoutingEntry& entry) { withdrawal_repeated_.insert(&entry); }

    /// Records that the endpoint's withdrawal or reinstatement was sent to all proxies that joined
    /// up to `last_join`. A repeated withdrawal keeps the time of the first.
    void set_availability_sent(RoutingEntry& entry, bool repeated, int last_join, TimePoint now);
    /// Has to be called after sent weights have changed: queues the endpoint and its pools for
    /// planning.
    void on_weights_sent(RoutingEntry& entry);
    /// Drops withdrawals up to `until` from recently_withdrawn(), as they are no longer needed.
    void drop_withdrawn_until(TimePoint until);

    /// Makes the next plan cover the endpoint.
    void queue(RoutingEntry& entry);
    void queue(const EntrySet& entries);
    /// Queues the endpoints whose withdrawal is repeated, and empties that set.
    void queue_withdrawal_repeated();
    [[nodiscard]] std::vector<RoutingEntry*> take_queued();
    /// Returns the pools that the plan has to cover and clears that set. With `weights_published`,
    /// the pools of endpoints that were held back are among them.
    [[nodiscard]] PoolSet take_pools_to_plan(bool weights_published);
    /// Sets whether the next plan scales the pool's wanted weights again, even if no weights are
    /// published.
    void set_needs_rescaling(std::size_t pool, bool needed) {
        set_member(needs_rescaling_, pool, needed);
    }
    /// Records whether the pool's wanted weights were scaled since the last published ones were
    /// adopted.
    void set_rescaled(std::size_t pool, bool rescaled) { set_member(rescaled_, pool, rescaled); }

    /// Applies a change that affects what a binding sends of the endpoint, and updates
    /// TablePool::binding_lines.
    template <class AnyChange>
    void update_and_recount_lines(RoutingEntry& entry, AnyChange change) {
        count_binding_lines(entry, -1);
        change();
        count_binding_lines(entry, 1);
    }
    /// Sets the number of subsets; allowed only while no table entry is sent.
    void set_subset_count(std::size_t count);

    [[nodiscard]] bool has_pending_changes() const { return !pending_changes_.empty(); }
    [[nodiscard]] const PendingChange& first_change() const { return *pending_changes_.begin(); }
    /// The first pending change that is sent after `change`; absent if there is none.
    [[nodiscard]] std::optional<PendingChange> next_change(const PendingChange& change) const;
    /// The endpoint that a pending change is about.
    [[nodiscard]] RoutingEntry& entry_of(const PendingChange& change) {
        return endpoints_.at(change.server);
    }
    /// Removes a pending change, which is being sent.
    void take_change(const PendingChange& change);
    void take_first_change() { take_change(PendingChange(first_change())); }

    /// Plans a withdrawal or reinstatement instead of all changes of the endpoint's weights.
    void plan_availability_change(RoutingEntry& entry, const PlannedChange& change);
    void drop_availability_change(RoutingEntry& entry);
    void plan_weight_change(const PoolTableEntry& pool_entry, const PlannedChange& change);
    void drop_weight_change(const PoolTableEntry& pool_entry);

    /// Erases table entries that are neither published, wanted nor sent.
    void drop_empty_table_entries(RoutingEntry& entry);
    /// Erases an endpoint of which no table holds an entry.
    void erase(RoutingEntry& entry);

 private:
    template <class Set, class Value>
    static void insert_or_erase(Set& set, const Value& value, bool in) {
        if (in) {
            set.insert(value);
        } else {
            set.erase(value);
        }
    }
    static void set_member(EntrySet& entries, RoutingEntry& entry, bool in) {
        insert_or_erase(entries, &entry, in);
    }
    static void set_member(PoolSet& pools, std::size_t pool, bool in) {
        insert_or_erase(pools, pool, in);
    }

    TableEntry& table_entry_in(std::size_t pool, RoutingEntry& entry);
    void mark_for_planning(RoutingEntry& entry);
    void count_binding_lines(RoutingEntry& entry, double sign);
    void plan(PlannedChange& planned, const PendingChange& change);
    void drop(PlannedChange& planned, const ServerId& server, std::optional<std::uint32_t> pool);

    std::vector<TablePool> pools_;
    std::map<ServerId, RoutingEntry> endpoints_;
    std::set<PendingChange> pending_changes_;

    bool was_any_in_use_ = false;
    EntrySet unsent_;
    EntrySet warming_up_;
    EntrySet held_back_;
    EntrySet changing_availability_;
    EntrySet withdrawal_repeated_;
    EntrySet failing_;
    EntriesByTime withdrawals_due_;
    EntriesByTime recently_withdrawn_;
    EntriesByTime untracked_;

    PoolSet needs_rescaling_;
    PoolSet rescaled_;
    PoolSet pools_to_plan_;
    std::vector<RoutingEntry*> queued_;
};

}  // namespace micaroad::decision
