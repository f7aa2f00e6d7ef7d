/// Sends updates where they can't go to all proxies of a subset at a time: to one group of proxies
/// after the other.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/admission_updates.hpp"
#include "decision/scheduler_state.hpp"
#include "decision/unbound_notices.hpp"

namespace micaroad::decision {

/// Does what UpdateSender does while SchedulerState::is_sent_by_group().
///
/// A change is first recorded in the tables and as unsent for the groups, and then sent to each
/// group as the window allows. The order SetWithdrawn reaches all proxies whose tables have the
/// server at once, so a server is withdrawn by removing its entries group by group; the order
/// follows when no group has an entry any more, and costs only proxies that are not bound to a
/// group.
class GroupSender {
 public:
    /// Both have to live as long as this object.
    GroupSender(SchedulerState& state, AdmissionUpdates& admission)
        : state_(state), admission_(admission) {}

    /// Sends as much as fits now.
    void send();

 private:
    void update_admission_pause();
    void accept_admission();
    void accept_changes();
    void accept_weight(const PendingChange& change, RoutingEntry& entry);
    void remove_entries(RoutingEntry& entry, WindowUse use);
    void set_sent(RoutingEntry& entry, const PoolTableEntry& pool_entry, WindowUse use);

    void send_notices();
    void send_notice(const PendingChange& change, RoutingEntry& entry);
    [[nodiscard]] std::vector<ProxyId> partially_bound() const;
    [[nodiscard]] std::vector<ProxyId> partially_bound_to(std::size_t subset) const;

    void send_to_groups(WindowUse use);
    void send_to_group(ProxyGroup& group, WindowUse use);
    [[nodiscard]] bool fits(const ProxyGroup& group, WindowUse use, double lines,
                            double more_lines) const;
    /// What the group's tables should have of an entry, and its lines.
    [[nodiscard]] double weight_of(const ProxyGroup& group, const TableEntryKey& key);
    [[nodiscard]] double lines_of(const ProxyGroup& group, const TableEntryKey& key);
    void charge(const ProxyGroup& group, WindowUse use, double lines);

    SchedulerState& state_;
    AdmissionUpdates& admission_;
    TimePoint next_notices_;
};

}  // namespace micaroad::decision
