#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

/// What recent maxima keep at each optimizer step. They forget by a tenth a step.
constexpr double kDecayPerStep = 0.9;
/// Warm-up fraction below which an endpoint gets nothing.
constexpr double kIdleFraction = 0.25;
constexpr double kIdleFractionWithoutLoad = 0.5;
/// Of the listed share, for an endpoint on probation: many of them must not cost much, one must be
/// tried at all. The design has no probation.
constexpr double kProbationFraction = 0.1;
/// Standard deviations between the expected RPCs of a cold endpoint and its overload limit: more
/// comes by chance once a day. Not in the design.
constexpr double kDeviations = 4;

}  // namespace

// What a warm endpoint surely does: neither the retries of clients count (hence the smaller of the
// measured and the announced rate), nor what is sent to the endpoints that are left when others go
// (hence the largest recent size of the fleet).
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
    if (age < (load_known() ? kIdleFraction : kIdleFractionWithoutLoad)) {
        return 0;
    }
    const double capacity_fraction =
        settings.cold_capacity_fraction + (1 - settings.cold_capacity_fraction) * age;
    if (!load_known()) {
        return std::min(probation_limit, capacity_fraction * listed_share);
    }
    // RPCs within the window after which an overloaded endpoint fails. The most that may be
    // expected is x with x + kDeviations sqrt(x) at the limit: sqrt(x) solves a quadratic equation.
    const double overload_window = seconds(settings.overload_window);
    const double warm_rpcs = warm_rate_per_size_ * member.status.listed.size * overload_window;
    const double half = kDeviations / 2;
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
