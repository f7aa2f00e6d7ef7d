// The parts of the socket scale run that need no sockets: the fake proxy's reader and table,
// latencies of changes, worlds, the protocol of hollow planners, and the sizes of a run.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "wire_hollow.hpp"
#include "wire_proxy_table.hpp"
#include "wire_traffic.hpp"
#include "wire_world.hpp"

using namespace micaroad::scale;
using namespace micaroad::scale::wire;

namespace {

WireWorld small_world() {
    WireWorld world;
    world.servers = 12;
    return world;
}

std::string id_of(const World& world, std::size_t server) {
    return world.servers().at(server).id;
}

void apply(ProxyTable& table, const World& world, const std::string& line) {
    const auto part = parse_push(line, world);
    REQUIRE(part);
    table.apply(*part);
}

}  // namespace

TEST_CASE("scale: a proxy rejects invalid orders") {
    const World world(small_world(), 1);
    const std::string server = id_of(world, 0);
    CHECK(parse_push("push routes=method0+method1 full=1 endpoints=" + server +
                         ":1.5 admit=0.9 policy=1 nonce_out=7",
                     world));
    CHECK(parse_push("push", world));
    const std::vector<std::string> invalid_lines = {"pull endpoints=" + server + ":1",
                                                    "push routes=method2 full=1",
                                                    "push routes=lookup",
                                                    "push endpoints=s-unknown:1",
                                                    "push endpoints=" + server + ":-1",
                                                    "push endpoints=" + server + ":nan",
                                                    "push endpoints=" + server,
                                                    "push eject=s-unknown",
                                                    "push nonce_out=x",
                                                    "push full=2",
                                                    "push admit=-0.1 policy=1",
                                                    "push colour=red"};
    for (const std::string& line : invalid_lines) {
        INFO(line);
        CHECK_FALSE(parse_push(line, world));
    }
}

TEST_CASE("scale: a proxy applies orders to its table") {
    const World world(small_world(), 1);
    const std::string first = id_of(world, 0), second = id_of(world, 1);
    ProxyTable table;
    CHECK(table.servers_in_use() == 0);
    apply(table, world, "push full=1 endpoints=" + first + ":1," + second + ":0.5");
    CHECK(table.servers_in_use() == 2);

    SECTION("weight 0 takes a line out, for the methods that are named") {
        apply(table, world, "push routes=method0 endpoints=" + first + ":0");
        CHECK(table.in_use(0));
        apply(table, world, "push routes=method1 endpoints=" + first + ":0");
        CHECK_FALSE(table.in_use(0));
        CHECK(table.in_use(1));
    }
    SECTION("a whole table forgets lines, not what is ejected") {
        apply(table, world, "push eject=" + second);
        apply(table, world, "push full=1 endpoints=" + second + ":1");
        CHECK(table.servers_in_use() == 0);
        apply(table, world, "push restore=" + second);
        CHECK_FALSE(table.in_use(0));
        CHECK(table.in_use(1));
    }
}

TEST_CASE("scale: a change is counted once for each proxy that used the server") {
    InForce in_force;
    const TimePoint announced{};
    in_force.announced(0, 5, announced, true);
    in_force.announced(1, 5, announced, true);
    in_force.announced(2, 5, announced, false);
    in_force.announced(0, 5, announced + Milliseconds(3), true);  // repeated: the first time counts
    CHECK(in_force.pending() == 2);
    in_force.closed(0, 5, announced + Milliseconds(10));
    in_force.closed(0, 5, announced + Milliseconds(20));
    in_force.closed(3, 5, announced + Milliseconds(20));
    CHECK(in_force.pending() == 1);
    CHECK(in_force.awaited(0) == nullptr);
    REQUIRE(in_force.awaited(1) != nullptr);
    in_force.server_returned(5);
    CHECK(in_force.pending() == 0);
    const InForce::Result result = in_force.take();
    CHECK(result.milliseconds == std::vector<double>{10});
    CHECK(result.not_in_use == 1);
    CHECK(result.overtaken == 1);
    CHECK(in_force.take().milliseconds.empty());
}

TEST_CASE("scale: percentiles are computed by nearest rank") {
    CHECK(percentile({}, 50) == 0);
    CHECK(percentile({7}, 1) == 7);
    std::vector<double> hundred;
    for (int i = 1; i <= 100; ++i) {
        hundred.push_back(i);
    }
    CHECK(percentile(hundred, 50) == 50);
    CHECK(percentile(hundred, 99) == 99);
    CHECK(percentile(hundred, 100) == 100);
}

TEST_CASE(
    "scale: the same seed gives the same world, and a world lists its changes since a version") {
    World world(small_world(), 3), same(small_world(), 3);
    CHECK(world.complete_list() == same.complete_list());
    CHECK(world.replace(2) == same.replace(2));
    const auto changes = nlohmann::json::parse(world.changes_since(1));
    CHECK(changes.at("version") == 2);
    CHECK(changes.at("full") == false);
    CHECK(changes.at("servers").size() == 4);  // two drain, two are new
    CHECK(nlohmann::json::parse(world.changes_since(2)).at("servers").empty());
    CHECK(nlohmann::json::parse(world.complete_list()).at("servers").size() == 14);

    const auto zone = world.remove_zone();
    CHECK(nlohmann::json::parse(world.complete_list()).at("servers").size() == 14 - zone.size());
    CHECK(world.changes().back().ended == zone);
    world.restore(zone);
    CHECK(world.changes().back().back == zone);
    CHECK(nlohmann::json::parse(world.complete_list()).at("servers").size() == 14);
}

TEST_CASE("scale: each server is reported by exactly one zone") {
    World world(small_world(), 1);
    std::int64_t lines = 0;
    for (int zone = 0; zone < small_world().zones; ++zone) {
        const std::string text = world.outcomes(zone);
        lines += std::count(text.begin(), text.end(), '\n');
    }
    CHECK(lines == small_world().servers);
}

TEST_CASE(
    "scale: messages between the run and its hollow planners are written and read back unchanged") {
    const auto pace = parse_pace("pace 1.500000 30.250000 0.500000");
    REQUIRE(pace);
    CHECK(line_of(*pace) == "pace 1.500000 30.250000 0.500000\n");
    CHECK_FALSE(parse_pace("pace 1 2"));
    const auto status = parse_status("status 1 2 3 4 5");
    REQUIRE(status);
    CHECK(line_of(*status) == "status 1 2 3 4 5\n");
    CHECK_FALSE(parse_status("pace 1 2 3"));
}

TEST_CASE("scale: each size differs from the base in one parameter") {
    WireOptions options;
    vary_all(options);
    const std::vector<WireSize> sizes = sizes_of(options);
    CHECK(sizes.size() == 1 + 4 * 5);
    CHECK(sizes.front().varied == "base");
    CHECK(sizes.front().events.size() == 5);
    for (const WireSize& size : sizes) {
        const WireWorld& world = size.world;
        const int changed_parameters =
            (world.planners() != options.base.planners()) +
            (world.proxies != options.base.proxies) + (world.servers != options.base.servers) +
            (world.changes_per_second != options.base.changes_per_second) +
            (world.report_interval != options.base.report_interval);
        CHECK(changed_parameters == (size.varied == "base" ? 0 : 1));
    }
}
