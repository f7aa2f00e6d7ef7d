/// Keeps which fraction of its RPCs each method admits and when proxies retry, as wanted and as
/// sent, and makes the orders for it.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "decision/pool_admission.hpp"
#include "decision/scheduler_state.hpp"

namespace micaroad::decision {

/// Admitted fractions and retry policy, as wanted or as sent.
struct AdmissionSetting {
    RealVector fractions;       ///< of its RPCs, by method; 0 to 1
    RealVector pool_fractions;  ///< the same by pool; both apply; a missing one is 1
    RetryPolicy retry_policy = RetryPolicy::never;
};

/// Keeps the setting that was sent last. It adds orders only to the list that it is given.
class AdmissionUpdates {
 public:
    /// `state` has to live as long as this object.
    explicit AdmissionUpdates(const SchedulerState& state);

    void set_wanted(const RealVector& fractions) { wanted_fractions_ = fractions; }

    /// The setting to send now. `paused`: nothing is admitted, whatever is wanted.
    [[nodiscard]] AdmissionSetting next_setting(bool paused);
    /// Whether the setting differs enough from the one that was sent last to be sent.
    [[nodiscard]] bool is_significant(const AdmissionSetting& setting) const;
    /// Urgent if admission as a whole starts or stops, or less of a pool is admitted.
    [[nodiscard]] ChangeRank rank_of(const AdmissionSetting& setting) const;

    /// Whether what was sent last allows the endpoint's pending change: while all endpoints of a
    /// pool warm up, none is put into use before admission is low enough.
    [[nodiscard]] bool allows(const RoutingEntry& entry, std::optional<std::size_t> pool);
    /// Has to be called after table entries, withdrawals or what groups were sent have changed.
    void on_tables_changed() { pool_admission_.forget_sums(); }

    void set_sent(const AdmissionSetting& setting);
    [[nodiscard]] bool any_sent() const { return any_sent_; }

    /// Adds orders that set what was sent last in the tables of these sets
    /// (SchedulerState::table_of).
    void append_last_sent(std::span<const std::size_t> table_sets,
                          std::vector<Order>& orders) const;

 private:
    [[nodiscard]] bool lowers_pool_fraction(const AdmissionSetting& setting) const;
    [[nodiscard]] double sent_pool_fraction(std::size_t pool) const {
        return pool < sent_.pool_fractions.size() ? sent_.pool_fractions[pool] : 1;
    }

    /// A retry requires proof that the first server did not execute the RPC, so that no RPC takes
    /// effect twice, whatever the method.
    static constexpr RetryPolicy kRetryPolicy = RetryPolicy::once_if_not_executed;

    const SchedulerState& state_;
    PoolAdmission pool_admission_{state_};
    RealVector wanted_fractions_;
    AdmissionSetting sent_;
    bool any_sent_ = false;
};

}  // namespace micaroad::decision
