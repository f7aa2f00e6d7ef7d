/// Bounds the traffic of endpoints that warm up after a start or are on probation.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/pool.hpp"
#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// Slow start.
///
/// Guards against overloading a cold endpoint: by its age it gets at most what it can surely do,
/// stays four standard deviations below its overload limit, counted over the RPCs of all proxies,
/// and gets nothing in the first quarter of its warm-up (in the first half while no load is known).
/// The design starts a fresh endpoint at a quarter of its listed share and doubles that at each
/// step. The price is capacity that stays idle.
///
/// An endpoint whose attempts have all failed so far is on probation and gets a tenth of its listed
/// share.
class SlowStart {
 public:
    /// `context` must outlive this object.
    explicit SlowStart(const DecisionContext& context) : context_(context) {}

    /// Once for each optimizer step. `total_rate`: measured attempts per second from all proxies;
    /// `announced_rate`: RPCs per second that all proxies announced; `open_size`: the sum of the
    /// sizes of all open endpoints.
    void update_load(double total_rate, double announced_rate, double open_size);

    /// Whether any load has been measured.
    [[nodiscard]] bool load_known() const { return warm_rate_per_size_ != 0; }

    /// The age over the warm-up duration: 1 and more means warm. 1 if no start is known.
    [[nodiscard]] double warm_up_fraction(const PoolMember& member) const;

    /// The upper bound of a member's share of all traffic; 1: none. `listed_share`: its part of the
    /// sizes of the pool.
    [[nodiscard]] double share_limit(const PoolMember& member, double listed_share) const;

    /// `share_limit` of each endpoint.
    [[nodiscard]] RealVector share_limits(const PoolSnapshot& pool) const;

 private:
    const DecisionContext& context_;
    double total_rate_ = 0;       // attempts per second from all proxies
    double recent_max_size_ = 0;  // of `open_size`
    // RPCs per second that a warm endpoint of size 1 surely does; 0: not known.
    double warm_rate_per_size_ = 0;
};

}  // namespace micaroad::decision
