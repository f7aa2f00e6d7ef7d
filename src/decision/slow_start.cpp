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
    const double probation_limit = member.on_probation ? kProbationFraction * listed_share : 1;
    const double age = warm_up_fraction(member);
    if (age >= 1) {
        return probation_limit;
    }
    if (age < (load_known() ? kIdleWarmUpFraction : kIdleWarmUpFractionWithoutLoad)) {
        return 0;
    }
    if (!load_known()) {
        return std::min(probation_limit, capacity_fraction(age) * listed_share);
    }
    const double overload_window = seconds(context_.settings.overload_window);
    return std::min(probation_limit, certain_rpcs(member) / (total_rate_ * overload_window));
}

double SlowStart::certain_rate(const PoolMember& member) const {
    return certain_rpcs(member) / seconds(context_.settings.overload_window);
}

// All RPC counts are within the window after which an overloaded endpoint fails. The largest
// allowed expectation x has x + kOverloadMarginDeviations sqrt(x) at the overload limit, a
// quadratic equation for sqrt(x).
double SlowStart::certain_rpcs(const PoolMember& member) const {
    const DeploymentSettings& settings = context_.settings;
    const double fraction = capacity_fraction(warm_up_fraction(member));
    const double overload_window = seconds(settings.overload_window);
    const double warm_rpcs = warm_rate_per_size_ * member.status.listed.size * overload_window;
    const double half = kOverloadMarginDeviations / 2;
    const double root =
        std::sqrt(half * half + settings.overload_factor * fraction * warm_rpcs) - half;
    return std::min(fraction * warm_rpcs, root * root);
}

double SlowStart::capacity_fraction(double warm_up_fraction) const {
    const double cold_fraction = context_.settings.cold_capacity_fraction;
    return cold_fraction + (1 - cold_fraction) * warm_up_fraction;
}

RealVector SlowStart::share_limits(const PoolSnapshot& pool) const {
    RealVector limits(pool.places.size());
    for (std::size_t i = 0; i < pool.places.size(); ++i) {
        limits[i] = share_limit(*pool.places[i]->member, pool.sizes[i] / pool.size_sum);
    }
    const bool all_limited = RealVector(limits[pool.sizes > 0.0]).size() > 0 &&
                             RealVector(limits[pool.sizes > 0.0]).max() < 1;
    for (std::size_t i = 0; all_limited && i < limits.size(); ++i) {
        if (warm_up_fraction(*pool.places[i]->member) >= 1) {
            limits[i] = 1;
        }
    }
    return limits;
}

}  // namespace micaroad::decision
