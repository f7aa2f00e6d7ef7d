#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

/// Factor by which recent maxima decay at each optimizer step.
constexpr double kDecayPerStep = 0.9;
/// Warm-up fraction below which an endpoint gets no traffic.
constexpr double kIdleWarmUpFraction = 0.25;
constexpr double kIdleWarmUpFractionWithoutLoad = 0.5;
/// Fraction of the listed share for an endpoint on probation: small enough that many such endpoints
/// cost little, large enough that a single one gets attempts. The original design has no probation.
constexpr double kProbationFraction = 0.1;
/// Standard deviations between the expected RPCs of a cold endpoint and its overload limit. Random
/// variation exceeds this margin about once a day. Not in the original design.
constexpr double kOverloadMarginDeviations = 4;

}  // namespace

// Estimates the rate that a warm endpoint certainly handles. Client retries must not count, hence
// the smaller of the measured and the announced rate. Neither must the extra load on the remaining
// endpoints when others leave, hence the largest recent size of the fleet.
void SlowStart::update_load(double total_rate, double announced_rate, double open_size) {
    total_rate_ = total_rate;
    recent_max_size_ = std::max(recent_max_size_ * kDecayPerStep, open_size);
    warm_rate_per_size_ = std::max(std::min(total_rate_, announced_rate) / recent_max_size_,
                                   warm_rate_per_size_ * kDecayPerStep);
}

double SlowStart::warm_up_fraction(const PoolMember& member) const {
    const std::optional<TimePoint>& start = member.status.listed.last_start;
    if (!start) {
        return 1;
    }
    return seconds(context_.now - *start) / seconds(context_.settings.warm_up_duration);
}

double SlowStart::share_limit(const PoolMember& member, double listed_share) const {
    const DeploymentSettings& settings = context_.settings;
    const double probation_limit = member.on_probation ? kProbationFraction * listed_share : 1;
    const double age = warm_up_fraction(member);
    if (age >= 1) {
        return probation_limit;
    }
    if (age < (load_known() ? kIdleWarmUpFraction : kIdleWarmUpFractionWithoutLoad)) {
        return 0;
    }
    const double capacity_fraction =
        settings.cold_capacity_fraction + (1 - settings.cold_capacity_fraction) * age;
    if (!load_known()) {
        return std::min(probation_limit, capacity_fraction * listed_share);
    }
    // All RPC counts are within the window after which an overloaded endpoint fails. The largest
    // allowed expectation x has x + kOverloadMarginDeviations sqrt(x) at the overload limit, a
    // quadratic equation for sqrt(x).
    const double overload_window = seconds(settings.overload_window);
    const double warm_rpcs = warm_rate_per_size_ * member.status.listed.size * overload_window;
    const double half = kOverloadMarginDeviations / 2;
    const double root =
        std::sqrt(half * half + settings.overload_factor * capacity_fraction * warm_rpcs) - half;
    const double allowed_rpcs = std::min(capacity_fraction * warm_rpcs, root * root);
    return std::min(probation_limit, allowed_rpcs / (total_rate_ * overload_window));
}

RealVector SlowStart::share_limits(const PoolSnapshot& pool) const {
    RealVector limits(pool.places.size());
    for (std::size_t i = 0; i < pool.places.size(); ++i) {
        limits[i] = share_limit(*pool.places[i]->member, pool.sizes[i] / pool.size_sum);
    }
    return limits;
}

}  // namespace micaroad::decision
