/// Divides the proxies of each subset into groups that are small enough for the channel, and keeps
/// what each group still has to be sent.
///
/// The groups of a subset have copies of its tables. Usually a change is sent to all of them at
/// once. Where a subset has more proxies than one change may be sent to at a time, each change is
/// sent to one group after the other.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "decision/routing_entry.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// What a message is for, which decides how much of the send window it may fill. The first is sent
/// before the second, and so on.
enum class WindowUse {
    urgent,   ///< withdrawals and reinstatements that can't wait
    binding,  ///< tables of proxies that join, and fresh capacity
    learnt,   ///< weights and whatever can wait
};

/// A table entry of one server in the tables of one pool.
struct TableEntryKey {
    std::size_t pool = 0;
    ServerId server;
    auto operator<=>(const TableEntryKey&) const = default;
};

/// Proxies of a subset that share one copy of its tables. Proxies with a partial binding are in no
/// group.
struct ProxyGroup {
    std::size_t subset = 0;
    std::size_t table_set = 0;  ///< its tables, as for SchedulerState::table_of
    std::set<ProxyId> proxies;

    /// Table entries that differ from RoutingTables, as they have not been sent to the group yet.
    std::map<TableEntryKey, WindowUse> unsent_entries;
    /// Set if the admission that was set last has not been sent to the group yet.
    std::optional<WindowUse> unsent_admission;
    /// No message with an urgent change, or any other, may be sent to the group before these.
    TimePoint next_urgent_message;
    TimePoint next_other_message;

    [[nodiscard]] bool is_unsent(const ServerId& server) const;
    [[nodiscard]] std::size_t count_unsent(WindowUse use) const;
};

/// The groups of all subsets. Not thread-safe.
class ProxyGroups {
 public:
    /// Gives each subset one group without proxies, whose table set has the subset's index. Further
    /// groups get table sets from `next_table_set` on.
    void reset(std::size_t subset_count, std::size_t next_table_set);

    [[nodiscard]] const std::vector<ProxyGroup>& all() const { return groups_; }
    [[nodiscard]] std::vector<ProxyGroup>& all() { return groups_; }

    /// The first group of the subset with fewer proxies than `max_proxies`; absent if there is
    /// none.
    [[nodiscard]] std::optional<std::size_t> find_with_room(std::size_t subset,
                                                            std::size_t max_proxies) const;
    /// Adds a group without proxies and returns its index.
    std::size_t add_group(std::size_t subset);

    void add_proxy(std::size_t group, ProxyId proxy) { groups_[group].proxies.insert(proxy); }
    void remove_proxy(std::size_t group, ProxyId proxy) { groups_[group].proxies.erase(proxy); }

    /// Records that an entry in the tables of a subset has changed and has to be sent to each of
    /// its groups. If it had to be already, the more urgent use applies.
    void mark_unsent(std::size_t subset, const TableEntryKey& entry, WindowUse use);
    void mark_admission_unsent(WindowUse use);

    /// Whether any group has to be sent an entry of the server.
    [[nodiscard]] bool is_unsent(const ServerId& server) const;
    /// Whether any group has to be sent an entry or admission for this use.
    [[nodiscard]] bool any_unsent(WindowUse use) const;
    /// Whether any group has to be sent anything.
    [[nodiscard]] bool any_unsent() const;

 private:
    std::size_t next_table_set_ = 0;
    std::vector<ProxyGroup> groups_;
};

}  // namespace micaroad::decision
