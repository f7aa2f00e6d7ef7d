#include "decision/weight_optimizer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "decision/real_vectors.hpp"
#include "decision/share_assignment.hpp"

namespace micaroad::decision {

namespace {

/// Attempts in the evidence below which a zone counts as not reached by this planner's proxies.
constexpr double kMinZoneAttempts = 1;
/// Minimum weight, relative to the logarithm of the endpoint's size: about a twentieth of the
/// listed share. Without attempts, an endpoint could not show that it has recovered. Not in the
/// original design.
constexpr double kMinLogWeight = -3;

double count_zones(const std::vector<PoolMember*>& members) {
    std::set<ZoneId> zones;
    for (const PoolMember* const member : members) {
        zones.insert(member->status.listed.zone);
    }
    return static_cast<double>(zones.size());
}

/// The members in zones that this planner's proxies reach.
std::vector<PoolMember*> in_reached_zones(std::vector<PoolMember*> members) {
    std::map<ZoneId, double> attempts;
    for (const PoolMember* const member : members) {
        attempts[member->status.listed.zone] += member->status.attempts;
    }
    std::erase_if(members, [&attempts](const PoolMember* member) {
        return attempts.at(member->status.listed.zone) < kMinZoneAttempts;
    });
    return members;
}

double sum_of_sizes(const std::vector<PoolMember*>& members) {
    return collect_values(members,
                          [](const PoolMember& member) { return member.status.listed.size; })
        .sum();
}

}  // namespace

WeightOptimizer::WeightOptimizer(DecisionContext& context, UpdateScheduler& scheduler)
    : context_(context), scheduler_(scheduler) {
    for (const Pool& pool : memberships_.pools()) {
        scheduler_.mailbox.post(pool.binding);
    }
}

void WeightOptimizer::on(const EndpointStatus& status) {
    const auto [member, added] = memberships_.find_or_add(status.listed.server);
    if (added) {
        // Endpoints that appear before any load is measured are trusted: after a restart, a planner
        // knows no others.
        member.trusted = !slow_start_.load_known();
        memberships_.queue_for_publishing(member);
    }
    const bool on_probation = !member.trusted && !status.last_success && status.attempts > 0;
    publish_due_ |= added || on_probation != member.on_probation ||
                    status.open != member.status.open ||
                    status.listed.last_start != member.status.listed.last_start;
    // Steps preserve the mean of the weights, so a new endpoint can start with its listed weight.
    memberships_.update(member, status, on_probation, std::log(status.listed.size));
}

void WeightOptimizer::on(const DemandEstimate& demand) {
    demand_ = demand;
    memberships_.update_traffic(demand.rates);
}

void WeightOptimizer::on(const OptimizerStep&) {
    optimize();
    publish();
}

void WeightOptimizer::on(const Tick&) {
    if (std::exchange(publish_due_, false)) {
        publish();
    }
}

/// Runs one optimizer step. Endpoints in zones that none of this planner's proxies reaches are left
/// out: there is no evidence on them, and a step would move no traffic there.
void WeightOptimizer::optimize() {
    if (memberships_.pools().empty()) {
        return;
    }
    const std::vector<PoolMember*> open = memberships_.open_members();
    const std::vector<PoolMember*> reached = in_reached_zones(open);
    const std::optional<EndpointEstimates> estimates = evidence_.estimate(reached);
    if (!estimates) {
        return;
    }
    const double own_rate = estimates->attempt_rates.sum();
    slow_start_.update_load(own_rate * demand_.total_to_own_load, demand_.announced_rate,
                            sum_of_sizes(open));
    PoolMemberships::assign_step_indices(open, reached);
    // Assumes that the proxies of other planners load the endpoints as this planner's do, equally
    // from all zones.
    const double reached_fraction = count_zones(reached) / count_zones(open);
    const double load_factor = std::max(1.0, demand_.total_to_own_load * reached_fraction);
    const GradientStep step(collect_input(*estimates, load_factor));
    if (const std::optional<WeightChange> change = step.compute()) {
        memberships_.lower_weights(reached, step.pools(), change->fraction, change->decreases,
                                   kMinLogWeight);
    }
}

/// `load_factor`: the load from all proxies divided by that from this planner's proxies.
StepInput WeightOptimizer::collect_input(const EndpointEstimates& estimates, double load_factor) {
    StepInput input;
    input.own_rate = estimates.attempt_rates.sum();
    input.rates = estimates.attempt_rates * load_factor;
    input.capacities = input.rates + 1.0 / estimates.latencies;
    input.latency_limit = evidence_.latency_limit();
    const std::vector<Pool>& pools = memberships_.pools();
    for (std::size_t k = 0; k < pools.size(); ++k) {
        if (pools[k].places.empty()) {
            continue;
        }
        PoolSnapshot snapshot = limited_snapshot(k, SnapshotScope::endpoints_of_step);
        if (!snapshot.places.empty()) {
            input.pools.push_back(std::move(snapshot));
            input.traffic_fractions.push_back(pools[k].traffic_fraction);
        }
    }
    return input;
}

PoolSnapshot WeightOptimizer::limited_snapshot(std::size_t pool_index, SnapshotScope scope) {
    PoolSnapshot snapshot = memberships_.snapshot(pool_index, scope);
    snapshot.share_limits = slow_start_.share_limits(snapshot);
    return snapshot;
}

/// Posts what has changed since the last publication. Shares are recomputed for pools that have
/// changed or that contain an endpoint that is warming up.
void WeightOptimizer::publish() {
    if (memberships_.pools().empty()) {
        return;
    }
    const bool any_cold = memberships_.refresh_warming(slow_start_);
    for (const std::size_t pool_index : memberships_.take_stale_pools()) {
        const PoolSnapshot snapshot = limited_snapshot(pool_index, SnapshotScope::open_endpoints);
        const RealVector shares = capped_softmax(snapshot, snapshot.weights);
        memberships_.set_shares(snapshot, shares);
        publish_capacity(pool_index, snapshot, shares);
    }
    const WeightsPublished published{any_cold, !memberships_.empty()};
    for (PoolMember* const member : memberships_.take_publish_queue()) {
        member->cold = slow_start_.warm_up_fraction(*member) < 1;
        scheduler_.mailbox.post(memberships_.take_weights(*member));
    }
    scheduler_.mailbox.post(published);
}

void WeightOptimizer::publish_capacity(std::size_t pool_index, const PoolSnapshot& snapshot,
                                       const RealVector& shares) {
    constexpr double kNoLimit = std::numeric_limits<double>::infinity();
    const double fraction = capacity_fraction(memberships_.pools()[pool_index], snapshot, shares);
    double& published = capacity_fractions_.try_emplace(pool_index, kNoLimit).first->second;
    if (std::exchange(published, fraction) != fraction) {
        scheduler_.mailbox.post(PoolCapacity{pool_index, fraction});
    }
    if (fraction == kNoLimit) {
        capacity_fractions_.erase(pool_index);
    }
}

/// What the endpoints of the pool certainly handle, relative to its traffic. Limited only while all
/// of them are cold: where one is warm, it takes what exceeds the limits of the others.
double WeightOptimizer::capacity_fraction(const Pool& pool, const PoolSnapshot& snapshot,
                                          const RealVector& shares) const {
    double fraction = std::numeric_limits<double>::infinity();
    if (!slow_start_.load_known()) {
        return fraction;
    }
    double rate =
        std::max(slow_start_.total_rate(), demand_.announced_rate) * pool.traffic_fraction;
    if (pool.binding.zone) {
        const auto of_zone = demand_.zone_fractions.find(*pool.binding.zone);
        rate *= of_zone == demand_.zone_fractions.end() ? 0 : of_zone->second;
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const PoolMember& member = *snapshot.places[i]->member;
        if (snapshot.sizes[i] == 0) {
            continue;
        }
        if (slow_start_.warm_up_fraction(member) >= 1) {
            return std::numeric_limits<double>::infinity();
        }
        if (shares[i] * rate > 0) {
            fraction = std::min(fraction, slow_start_.certain_rate(member) / (shares[i] * rate));
        }
    }
    return fraction;
}

}  // namespace micaroad::decision
