/// Which part of its RPCs each method admits and when proxies retry: what is wanted, what was sent,
/// and the orders for it.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "decision/scheduler_state.hpp"

namespace micaroad::decision {

/// What proxies are to admit, or were sent.
struct AdmissionSetting {
    RealVector fractions;  ///< of its RPCs, by method; 0 to 1
    RetryPolicy retry_policy = RetryPolicy::never;
};

/// Keeps what was sent last; writes no orders by itself but into the list that it is given.
class AdmissionUpdates {
 public:
    /// `state` has to live as long as this object.
    explicit AdmissionUpdates(const SchedulerState& state);

    void set_wanted(const RealVector& fractions) { wanted_fractions_ = fractions; }

    /// What to send now. `paused`: nothing is admitted, whatever is wanted.
    [[nodiscard]] AdmissionSetting next(bool paused) const;
    /// Does the setting differ enough from what was sent?
    [[nodiscard]] bool is_worth_sending(const AdmissionSetting& setting) const;
    /// Urgent where admission begins or ends as a whole.
    [[nodiscard]] ChangeRank rank_of(const AdmissionSetting& setting) const;

    void set_sent(const AdmissionSetting& setting);
    [[nodiscard]] bool any_sent() const { return any_sent_; }

    /// Orders what was sent last for the tables of these sets (SchedulerState::table_of).
    void order_sent(std::span<const std::size_t> table_sets, std::vector<Order>& orders) const;

 private:
    /// A retry needs proof that the first server did not execute the RPC: so none takes effect
    /// twice, whatever the method.
    static constexpr RetryPolicy kRetryPolicy = RetryPolicy::once_if_not_executed;

    const SchedulerState& state_;
    RealVector wanted_fractions_;
    AdmissionSetting sent_;
    bool any_sent_ = false;
};

}  // namespace micaroad::decision
