/// Plans which changes of the routing tables are to be sent, and in which order: withdrawals first,
/// then learnt changes from the largest to the smallest, then the removal of entries that no proxy
/// uses any more.
#pragma once

#include <optional>

#include "decision/scheduler_state.hpp"
#include "decision/subset_assignment.hpp"

namespace micaroad::decision {

/// Sets wanted weights and pending changes in the tables, and SchedulerState::withdrawals; sends
/// nothing.
class UpdatePlanner {
 public:
    /// Both have to live as long as this object.
    UpdatePlanner(SchedulerState& state, SubsetAssignment& assignment)
        : state_(state), assignment_(assignment) {}

    void on_weights_published() { weights_published_ = true; }
    void on_proxy_joined() { proxies_joined_ = true; }
    /// Makes a plan due: endpoints that are warming up may have to be held back.
    void on_success_reported() { success_reported_ = true; }

    /// Whether anything has happened since the last plan that may change it.
    [[nodiscard]] bool is_due() const {
        return weights_published_ || proxies_joined_ || success_reported_;
    }
    void make_plan();

 private:
    void queue_expired();
    void adopt_published_weights(const RoutingTables::PoolSet& pools);
    [[nodiscard]] RoutingTables::PoolSet hold_back_among_overloaded();
    void rescale(const RoutingTables::PoolSet& pools);
    void rescale_pool(std::size_t pool_index);
    void queue_withdrawals_to_repeat();
    void plan(RoutingEntry& entry);
    void plan_weight_changes(RoutingEntry& entry);
    /// Since when the endpoint's withdrawal has to be repeated: when the first of the proxies
    /// joined that need it and were not sent it. Absent if there is no such proxy.
    [[nodiscard]] std::optional<TimePoint> repetition_due(const RoutingEntry& entry) const;
    /// The time until which proxies that join may hold tables that still list the endpoint.
    [[nodiscard]] TimePoint end_of_withdrawal(const RoutingEntry& entry) const;
    [[nodiscard]] bool is_expired(const RoutingEntry& entry) const;
    [[nodiscard]] TimePoint expired_before() const;
    void count_withdrawals();

    SchedulerState& state_;
    SubsetAssignment& assignment_;
    bool weights_published_ = false;
    bool proxies_joined_ = false;
    bool success_reported_ = false;
    int pools_in_use_ = 0;  // pools with an endpoint that stays in use
};

}  // namespace micaroad::decision
