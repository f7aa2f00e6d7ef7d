/// Binds proxies to the tables of subsets, within the send window.
///
/// A proxy that joins holds tables that another planner wrote. This planner does not know what they
/// contain, so it has to send the proxy each withdrawal until it is bound.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "decision/admission_updates.hpp"
#include "decision/scheduler_state.hpp"
#include "decision/subset_assignment.hpp"

namespace micaroad::decision {

/// Orders bindings, charges the send window for them and maintains the sets of bound and unbound
/// proxies.
class ProxyBinder {
 public:
    /// All three have to live as long as this object.
    ProxyBinder(SchedulerState& state, SubsetAssignment& assignment,
                const AdmissionUpdates& admission)
        : state_(state), assignment_(assignment), admission_(admission) {}

    /// Adds an unbound proxy. It keeps using its own tables until bind_joined() binds it.
    void on_proxy_joined(const event::ProxyJoined& joined);
    void on_proxy_left(ProxyId proxy);

    /// Binds proxies that have joined, as far as the send window allows.
    void bind_joined();
    /// Binds proxies with a partial binding to the whole tables, once no proxy is unbound.
    void complete_partial_bindings();
    /// Moves proxies whose subset has no endpoint of a pool in use. Such a proxy has no endpoint
    /// for some method, so its move may use as much of the send window as a binding.
    void move_to_endpoints();
    /// Moves proxies, one after the other, from the most loaded subsets to others.
    void rebalance();

 private:
    struct Target {
        ProxyId proxy;
        ZoneId zone;
        double rpcs_per_second = 0;
        std::size_t subset = 0;
        bool displaced = false;  ///< as BoundProxy::displaced
    };

    /// These return the lines that the binding cost; absent if it did not fit and nothing was
    /// ordered.
    std::optional<double> bind(const Target& target, double available_lines);
    std::optional<double> bind_partially(const Target& target, double available_lines);
    std::optional<double> apply(const ProxyMove& move, bool displaced, double available_lines);

    /// `group` is absent for a partial binding.
    void apply(const Target& target, std::optional<std::size_t> group,
               const std::vector<Order>& orders, double cost);
    /// Adds a group to the subset, with copies of its tables. Costs no lines, as no proxy uses them
    /// yet.
    std::size_t open_group(std::size_t subset);
    void clear_own_tables(ProxyId proxy);
    /// Empty if the proxy is not bound.
    [[nodiscard]] BindingTimes binding_times(ProxyId proxy) const;

    /// Whether any table that a proxy of the zone would use has an entry.
    [[nodiscard]] bool has_endpoints(ZoneId zone, std::size_t subset) const;
    /// Whether a proxy may be bound although the tables that it would use have no entries.
    [[nodiscard]] bool may_bind_without_endpoints(const UnboundProxy& joined) const;
    /// Upper bound for the lines of a binding.
    [[nodiscard]] double cost_of_binding(ZoneId zone, std::size_t subset) const;
    [[nodiscard]] std::vector<const TableEntry*> partial_table(std::size_t pool, std::size_t subset,
                                                               ProxyId proxy) const;
    [[nodiscard]] double available_for_next_binding() const;

    SchedulerState& state_;
    SubsetAssignment& assignment_;
    const AdmissionUpdates& admission_;
    std::map<ProxyId, TimePoint> bound_at_;  // when each proxy was last bound after a join
    std::deque<ProxyId> partially_bound_;  // by time of binding; some are fully bound or gone since
};

}  // namespace micaroad::decision
