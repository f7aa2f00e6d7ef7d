// The parts of the scale tool: world specifications, runs whose counts depend on the seed alone,
// and line fits.
#include <catch2/catch.hpp>
#include <numeric>

#include "core_run.hpp"
#include "measure.hpp"
#include "routing_run.hpp"
#include "slope.hpp"
#include "world.hpp"

using namespace micaroad;
using namespace micaroad::scale;
using nlohmann::json;

namespace {

constexpr double kNoLimit = 1e6;  // seconds of processor time

WorldSpec small_world() {
    WorldSpec spec;
    spec.proxies = 4;
    spec.servers = 60;
    spec.services = 3;
    spec.reports_per_second = 60;
    spec.quiet_seconds = 2;
    spec.warmup_seconds = 1;
    spec.seconds = 6;
    return spec;
}

std::vector<Sample> samples_by(double (*value)(double)) {
    std::vector<Sample> samples;
    for (const double x : {1.0, 2.0, 4.0, 8.0, 16.0}) {
        samples.push_back({x, value(x)});
    }
    return samples;
}

}  // namespace

TEST_CASE("scale: sizes by Zipf's law add up to the total, and none is empty", "[scale]") {
    const std::vector<int> sizes = zipf_sizes(56'000, 1'100, 0.9);
    CHECK(std::accumulate(sizes.begin(), sizes.end(), 0) == 56'000);
    CHECK(*std::min_element(sizes.begin(), sizes.end()) >= 1);
    CHECK(std::is_sorted(sizes.rbegin(), sizes.rend()));
    CHECK(sizes.front() > 5'000);
    CHECK(sizes.front() < 5'500);
    CHECK(zipf_sizes(5, 5, 3) == std::vector<int>{1, 1, 1, 1, 1});
    CHECK(zipf_sizes(12, 4, 0) == std::vector<int>{3, 3, 3, 3});
}

TEST_CASE("scale: an invalid world specification is refused", "[scale]") {
    const auto expect_refused = [](auto change) {
        WorldSpec spec = small_world();
        change(spec);
        CHECK_THROWS_AS(check(spec), BadWorld);
    };
    expect_refused([](WorldSpec& spec) { spec.servers = 0; });
    expect_refused([](WorldSpec& spec) { spec.proxies = 0; });
    expect_refused([](WorldSpec& spec) { spec.services = spec.servers + 1; });
    expect_refused([](WorldSpec& spec) { spec.pools = spec.services + 1; });
    expect_refused([](WorldSpec& spec) { spec.skew = -1; });
    expect_refused([](WorldSpec& spec) { spec.reports_per_second = 0.5; });
    expect_refused([](WorldSpec& spec) { spec.lines_per_second = 0; });
    CHECK_NOTHROW(check(small_world()));
}

TEST_CASE("scale: a world specification is written to JSON and read back unchanged", "[scale]") {
    WorldSpec spec = small_world();
    spec.scenario = Scenario::zone_loss;
    spec.workload = Workload::routing;
    CHECK(json(json(spec).get<WorldSpec>()) == json(spec));
}

TEST_CASE("scale: the same seed gives the same messages, and another seed different ones",
          "[scale]") {
    for (const Scenario scenario : {Scenario::steady, Scenario::burst, Scenario::zone_loss,
                                    Scenario::release, Scenario::mass_join}) {
        WorldSpec spec = small_world();
        spec.scenario = scenario;
        const json first = run_core(spec, kNoLimit);
        CHECK(first["counts"] == run_core(spec, kNoLimit)["counts"]);
        CHECK_FALSE(first["stopped"].get<bool>());
        spec.seed = 2;
        CHECK(first["counts"]["digest"] != run_core(spec, kNoLimit)["counts"]["digest"]);
    }
}

TEST_CASE("scale: a channel with enough capacity reaches all proxies and writes all withdrawals",
          "[scale]") {
    WorldSpec spec = small_world();
    spec.lines_per_second = 100'000;
    spec.changes_per_second = 2;
    const json result = run_core(spec, kNoLimit);
    const json& counts = result["counts"];
    CHECK(counts["proxies_reached"] == spec.proxies);
    CHECK(counts["list_bytes"].get<int>() > spec.servers);
    CHECK(counts["withdrawals_told"].get<int>() > 0);
    CHECK(counts["withdrawals_written"] == counts["withdrawals_told"]);
    CHECK(result["measured"]["measured_seconds"] == spec.seconds);
    CHECK(result["measured"]["delivery_ms_50"] <= result["measured"]["delivery_ms_100"]);
}

TEST_CASE(
    "scale: proxies get their tables in the quiet time, while no reports arrive and nothing "
    "changes",
    "[scale]") {
    WorldSpec spec = small_world();
    spec.quiet_seconds = 10;
    spec.warmup_seconds = 0;
    spec.seconds = 1;
    spec.changes_per_second = 0;
    spec.reports_per_second = 0;
    const json result = run_core(spec, kNoLimit);
    CHECK(result["counts"]["proxies_reached"] == spec.proxies);
    CHECK(result["measured"]["bound_seconds"].get<double>() <= spec.quiet_seconds);
    // One complete list, one join of each proxy and one acknowledgement of its first message.
    CHECK(result["counts"]["messages_in"] == 1 + 2 * spec.proxies);
}

TEST_CASE("scale: a run that exceeds its processor time is reported as stopped", "[scale]") {
    CHECK(run_core(small_world(), 0)["stopped"].get<bool>());
}

TEST_CASE("scale: a routing run gives the same counts each time", "[scale]") {
    WorldSpec spec;
    spec.workload = Workload::routing;
    spec.routes = 200;
    spec.tenants = 50;
    const json first = run_routing(spec, kNoLimit);
    CHECK(first["counts"] == run_routing(spec, kNoLimit)["counts"]);
    CHECK(first["counts"]["rpcs_admitted"].get<int>() > 0);
}

TEST_CASE("scale: quantiles are values of samples, and the last one is the largest", "[scale]") {
    Samples samples;
    CHECK(samples.quantile(0.5) == 0);
    for (int i = 100; i >= 1; --i) {
        samples.add(i);
    }
    CHECK(samples.quantile(0) == 1);
    CHECK(samples.quantile(0.5) == 50);
    CHECK(samples.quantile(0.99) == 99);
    CHECK(samples.quantile(1) == 100);
}

TEST_CASE("scale: points on a straight line are fitted without error", "[scale]") {
    const auto fitted = fit(samples_by([](double x) { return 3 + 2 * x; }));
    REQUIRE(fitted);
    CHECK(fitted->straight);
    CHECK(fitted->line.slope == Approx(2));
    CHECK(fitted->line.intercept == Approx(3));
    CHECK(fitted->line.slope_error == Approx(0).margin(1e-9));
    CHECK(fitted->line.at(100) == Approx(203));
}

TEST_CASE("scale: slope, intercept and standard error match a worked example", "[scale]") {
    // x 1..4, y 1 3 2 4: slope 0.8, intercept 0.5, residuals -0.3 0.9 -0.9 0.3.
    const auto fitted = fit({{1, 1}, {2, 3}, {3, 2}, {4, 4}});
    REQUIRE(fitted);
    CHECK(fitted->line.slope == Approx(0.8));
    CHECK(fitted->line.intercept == Approx(0.5));
    CHECK(fitted->line.largest_residual == Approx(0.9));
    CHECK(fitted->line.slope_error == Approx(std::sqrt(0.9) / std::sqrt(5.0)));
    CHECK_FALSE(fitted->straight);
}

TEST_CASE("scale: a curve is not taken for a straight line, and its exponent is estimated",
          "[scale]") {
    const auto fitted = fit(samples_by([](double x) { return x * x; }));
    REQUIRE(fitted);
    CHECK_FALSE(fitted->straight);
    REQUIRE(fitted->power);
    CHECK(fitted->power->exponent == Approx(2));
    const auto power_1_5 = fit(samples_by([](double x) { return std::pow(x, 1.5); }));
    REQUIRE(power_1_5);
    CHECK_FALSE(power_1_5->straight);
}

TEST_CASE("scale: three points, or four with the same x, are not fitted", "[scale]") {
    CHECK_FALSE(fit({{1, 1}, {2, 2}, {3, 3}}));
    CHECK_FALSE(fit({{1, 1}, {1, 2}, {1, 3}, {1, 4}}));
}
