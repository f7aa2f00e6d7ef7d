/// Limits the traffic of endpoints that are warming up after a start or are on probation.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/pool.hpp"
#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// Computes the share limits for slow start and probation.
///
/// A cold endpoint gets at most the load that it can handle with certainty at its age, and stays
/// four standard deviations below its overload limit, counted over the RPCs of all proxies. It gets
/// nothing in the first quarter of its warm-up (in the first half while no load is known). This
/// prevents overload of cold endpoints at the cost of idle capacity. The original design starts a
/// new endpoint at a quarter of its listed share and doubles that at each step.
///
/// An endpoint whose attempts have all failed so far is on probation and gets a tenth of its listed
/// share.
class SlowStart {
 public:
    /// `context` must outlive this object.
    explicit SlowStart(const DecisionContext& context) : context_(context) {}

    /// Updates the load estimates; called once for each optimizer step. `total_rate`: measured
    /// attempts per second from all proxies; `announced_rate`: RPCs per second that all proxies
    /// announced; `open_size`: the sum of the sizes of all open endpoints.
    void update_load(double total_rate, double announced_rate, double open_size);

    /// Whether any load has been measured.
    [[nodiscard]] bool load_known() const { return warm_rate_per_size_ != 0; }

    /// The endpoint's age divided by the warm-up duration: 1 or more means warm. 1 if no start time
    /// is known.
    [[nodiscard]] double warm_up_fraction(const PoolMember& member) const;

    /// The upper bound of a member's share of all traffic; 1: no bound. `listed_share`: the
    /// member's size as a fraction of the pool's total size.
    [[nodiscard]] double share_limit(const PoolMember& member, double listed_share) const;

    /// `share_limit` for each endpoint of the pool. If no endpoint is without a limit, probation
    /// limits none that is warm, as all that exceeds the limits would go to cold ones.
    [[nodiscard]] RealVector share_limits(const PoolSnapshot& pool) const;

    /// RPCs per second of all proxies that a cold endpoint certainly handles at its age. Only if
    /// load_known().
    [[nodiscard]] double certain_rate(const PoolMember& member) const;
    /// Measured attempts per second from all proxies.
    [[nodiscard]] double total_rate() const { return total_rate_; }

 private:
    /// RPCs within the overload window, from all proxies.
    [[nodiscard]] double certain_rpcs(const PoolMember& member) const;
    /// Fraction of the warm capacity at this warm-up fraction, which is below 1.
    [[nodiscard]] double capacity_fraction(double warm_up_fraction) const;

    const DecisionContext& context_;
    double total_rate_ = 0;       // attempts per second from all proxies
    double recent_max_size_ = 0;  // decaying maximum of `open_size`
    // RPCs per second that a warm endpoint of size 1 certainly handles; 0: not known.
    double warm_rate_per_size_ = 0;
};

}  // namespace micaroad::decision
