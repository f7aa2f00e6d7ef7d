// Unit tests of the parts of the weight optimizer: evidence, slow start, shares and pools.
#include <catch2/catch.hpp>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "decision/evidence.hpp"
#include "decision/numeric.hpp"
#include "decision/pool_membership.hpp"
#include "decision/share_assignment.hpp"
#include "decision/slow_start.hpp"

using namespace micaroad;
using namespace micaroad::decision;

namespace {

constexpr Duration kSecond{10'000};

DeploymentSettings one_method() {
    DeploymentSettings settings;
    settings.methods = {Method{kSecond, 1, false, {}, {}}};
    settings.warm_up_duration = 20 * kSecond;
    settings.cold_capacity_fraction = 0.2;
    settings.overload_factor = 3;
    settings.overload_window = kSecond;
    return settings;
}

// Returns a pool of endpoints of size 1 without a share limit.
PoolSnapshot equal_endpoints(std::size_t count) {
    PoolSnapshot pool;
    pool.places.resize(count);
    pool.weights = RealVector(0.0, count);
    pool.sizes = RealVector(1.0, count);
    pool.size_sum = static_cast<double>(count);
    pool.share_limits = RealVector(1.0, count);
    return pool;
}

PoolMember member_with(double attempts, double failures, double success_latency_sum) {
    PoolMember member;
    member.status.open = true;
    member.status.attempts = attempts;
    member.status.failures = failures;
    member.status.success_latency_sum = success_latency_sum;
    member.status.window_seconds = 4;
    return member;
}

EndpointStatus open_status(const std::string& name) {
    EndpointStatus status;
    status.listed.server = {name};
    status.open = true;
    return status;
}

}  // namespace

TEST_CASE("bisection finds where a falling function crosses a level") {
    CHECK(bisect_falling(0, 10, 4, [](double x) { return 10 - 2 * x; }) == Approx(3));
    CHECK(bisect_falling(0, 1, 0, [](double) { return 1.0; }) == Approx(1));
}

TEST_CASE("the weighted median has half of the weight below it") {
    CHECK(weighted_median({}) == 0);
    CHECK(weighted_median({{3, 1}, {1, 1}, {2, 1}}) == 2);
    CHECK(weighted_median({{1, 1}, {2, 1}, {9, 5}}) == 9);
}

TEST_CASE("shares are the softmax of the weights and 0 for endpoints of size 0") {
    PoolSnapshot pool = equal_endpoints(3);
    pool.weights = {std::log(1.0), std::log(3.0), std::log(7.0)};
    pool.sizes[2] = 0;
    const RealVector shares = capped_softmax(pool, pool.weights);
    CHECK(shares[0] == Approx(0.25));
    CHECK(shares[1] == Approx(0.75));
    CHECK(shares[2] == 0);
}

TEST_CASE("the excess over a share limit goes to endpoints without a limit") {
    PoolSnapshot pool = equal_endpoints(4);
    pool.share_limits[0] = 0.1;
    const RealVector shares = capped_softmax(pool, pool.weights);
    CHECK(shares[0] == Approx(0.1));
    CHECK(shares[1] == Approx(0.3));
    CHECK(shares[3] == Approx(0.3));
}

TEST_CASE("share limits do not apply if all endpoints have one") {
    PoolSnapshot pool = equal_endpoints(2);
    pool.share_limits = {0.1, 0.2};
    const RealVector shares = capped_softmax(pool, pool.weights);
    CHECK(shares[0] == Approx(0.5));
    CHECK(shares[1] == Approx(0.5));
}

TEST_CASE("a pool without a usable endpoint has no shares") {
    PoolSnapshot pool = equal_endpoints(2);
    pool.sizes = {0, 0};
    pool.size_sum = 0;
    CHECK(capped_softmax(pool, pool.weights).sum() == 0);
}

TEST_CASE("there is no estimate without a successful attempt") {
    const DeploymentSettings settings = one_method();
    EvidenceEstimator estimator(settings);
    PoolMember failing = member_with(10, 10, 0);
    CHECK_FALSE(estimator.estimate({}));
    CHECK_FALSE(estimator.estimate({&failing}));
    CHECK(estimator.latency_limit() == 0);
}

TEST_CASE("sparse evidence is shrunk towards the mean latency of the endpoint's kind") {
    const DeploymentSettings settings = one_method();
    EvidenceEstimator estimator(settings);
    PoolMember busy = member_with(1'000, 0, 100);
    PoolMember unreported = member_with(0, 0, 0);
    const auto estimates = estimator.estimate({&busy, &unreported});
    REQUIRE(estimates);
    CHECK(estimator.latency_limit() == 1);  // the soft deadline, as twice the mean is less
    CHECK(estimates->latencies[0] == Approx(0.1));
    CHECK(estimates->latencies[1] == Approx(0.1));
    CHECK(estimates->attempt_rates[0] == Approx(250));
    CHECK(estimates->attempt_rates[1] == 0);
}

TEST_CASE("a failed attempt counts as a response at twice the latency limit") {
    const DeploymentSettings settings = one_method();
    EvidenceEstimator estimator(settings);
    PoolMember healthy = member_with(1'000, 0, 100);
    PoolMember failing = member_with(1'000'000, 1'000'000, 0);
    const auto estimates = estimator.estimate({&healthy, &failing});
    REQUIRE(estimates);
    CHECK(estimates->latencies[1] == Approx(2).epsilon(0.001));
}

TEST_CASE(
    "slow start gives no share in the first quarter of the warm-up and a bounded share until it "
    "ends") {
    DecisionContext context{one_method(), 1};
    context.now = TimePoint{1'000 * kSecond};
    SlowStart slow_start(context);
    const auto limit_at = [&](double warm_up_fraction) {
        PoolMember member;
        member.status.listed.last_start =
            context.now - Duration{static_cast<Duration::rep>(warm_up_fraction * 200'000)};
        return slow_start.share_limit(member, 0.1);
    };
    // Without a known load: the listed share times the capacity at that age, from half of the
    // warm-up on.
    CHECK(limit_at(0.49) == 0);
    CHECK(limit_at(0.5) == Approx(0.1 * 0.6));

    slow_start.update_load(1'000, 1'000, 10);  // 100 RPCs a second at a warm endpoint
    CHECK(limit_at(0.24) == 0);
    CHECK(limit_at(0.5) == Approx(0.06));   // its capacity: 60 of 1,000 RPCs
    CHECK(limit_at(0.25) == Approx(0.04));  // 120 RPCs would overload it, far more than 40
    CHECK(limit_at(1) == 1);

    slow_start.update_load(10, 10, 10);  // the rate of a warm endpoint decays by a tenth
    CHECK(limit_at(0.5) == 1);           // its capacity, 54 RPCs, exceeds all traffic
}

TEST_CASE("slow start bounds a small number of RPCs by its random spread") {
    DecisionContext context{one_method(), 1};
    context.now = TimePoint{1'000 * kSecond};
    SlowStart slow_start(context);
    slow_start.update_load(10, 10, 10);  // 1 RPC within the overload window when warm
    PoolMember member;
    member.status.listed.last_start = context.now - 10 * kSecond;
    // At half of the warm-up its capacity is 0.6 RPCs, and three times as many overload it.
    const double expected_rpcs = slow_start.share_limit(member, 0.1) * 10;
    CHECK(expected_rpcs < 0.6);
    CHECK(expected_rpcs + 4 * std::sqrt(expected_rpcs) == Approx(1.8));
}

TEST_CASE("an endpoint on probation gets a tenth of its listed share") {
    DecisionContext context{one_method(), 1};
    const SlowStart slow_start(context);
    PoolMember member;
    CHECK(slow_start.share_limit(member, 0.2) == 1);
    member.on_probation = true;
    CHECK(slow_start.share_limit(member, 0.2) == Approx(0.02));
}

TEST_CASE("methods with the same eligible endpoints share a pool") {
    DeploymentSettings settings;
    settings.zone_count = 3;
    const Method any_endpoint;
    Method by_kind;
    by_kind.only_kinds = {KindId{1}};
    Method own_zone;
    own_zone.own_zone_only = true;
    settings.methods = {any_endpoint, by_kind, any_endpoint, own_zone};
    const PoolMemberships memberships(settings);
    REQUIRE(memberships.pools().size() == 5);  // any, by kind, one for each zone
    CHECK(memberships.pools()[0].binding.methods == std::vector{MethodId{0}, MethodId{2}});
    CHECK(memberships.pools()[0].binding.table == TableId{1});
    CHECK(memberships.pools()[4].binding.zone == ZoneId{2});
}

TEST_CASE("an endpoint joins its pools when it opens and is erased once it is gone") {
    const DeploymentSettings settings = one_method();
    PoolMemberships memberships(settings);
    const PoolMemberships::FoundMember found = memberships.find_or_add({"server-1"});
    CHECK(found.added);
    CHECK_FALSE(memberships.find_or_add({"server-1"}).added);

    EndpointStatus status = open_status("server-1");
    memberships.update(found.member, status, false, 0);
    CHECK(memberships.open_members() == std::vector{&found.member});
    CHECK(memberships.take_publish_queue() == std::vector{&found.member});
    CHECK(memberships.take_stale_pools() == std::set<std::size_t>{0});
    memberships.update(found.member, status, false, 0);
    CHECK(memberships.take_publish_queue().empty());

    const PoolSnapshot snapshot = memberships.snapshot(0, SnapshotScope::open_endpoints);
    memberships.set_shares(snapshot, {1.0});
    const DesiredWeights open = memberships.take_weights(found.member);
    REQUIRE(open.shares.size() == 1);
    CHECK(open.shares[0].second == 1);

    status.open = false;
    status.listed.phase = EndpointPhase::gone;
    memberships.update(found.member, status, false, 0);
    const DesiredWeights closed = memberships.take_weights(found.member);
    CHECK(closed.last);
    CHECK(closed.shares.empty());
    CHECK(memberships.empty());
    CHECK(memberships.pools()[0].places.empty());
}
