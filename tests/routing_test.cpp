// Routing: the route index against a scan of all routes, traffic shares by server state, limits,
// retries, health checks and the endpoint registry.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "micaroad/planner.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/health_tracker.hpp"
#include "routing/limiter.hpp"
#include "routing/retry.hpp"
#include "routing/router.hpp"
#include "routing/sticky_key.hpp"

using namespace micaroad;
using namespace micaroad::routing;

namespace {

constexpr Duration s(double seconds) {
    return Duration{static_cast<Duration::rep>(seconds * 10'000)};
}
constexpr TimePoint kNow{s(1'000'000)};

Server server(const std::string& name, int weight = 1, Tier tier = Tier::active) {
    Server server;
    server.name = name;
    server.address = "10.0.0.1:80";
    server.weight = weight;
    server.tier = tier;
    return server;
}
Pool pool(std::vector<Server> servers) {
    Pool pool;
    pool.name = "web";
    pool.servers = std::move(servers);
    return pool;
}
View view() {
    View view;
    view.now = kNow;
    return view;
}
std::map<std::string, double> shares(const Plan& plan, const View& view) {
    std::map<std::string, double> shares;
    for (const TrafficShare& part : ServerSelector(plan).split(plan.pools.front(), view).shares) {
        shares[part.server] = part.share;
    }
    return shares;
}
using Shares = std::map<std::string, double>;

Match path(TextMatchKind kind, std::string value, bool any_case = false) {
    return {PathIs{{kind, {std::move(value)}, any_case}}};
}
Match host(TextMatchKind kind, std::string value) {
    return {HostIs{{kind, {std::move(value)}, false}}};
}

}  // namespace

TEST_CASE(
    "the route index finds the same route as a scan of all routes, for random routes and RPCs") {
    std::mt19937_64 rng(20261201);
    const auto random_word = [&rng](int length_bound) {
        std::string word;
        for (auto n = rng() % length_bound; n > 0; --n) {
            word += "ab/cA."[rng() % 6];
        }
        return word;
    };
    const std::function<Match(int)> random_match = [&](int depth) -> Match {
        const TextMatchKind kinds[] = {TextMatchKind::exact, TextMatchKind::prefix,
                                       TextMatchKind::suffix, TextMatchKind::contains};
        switch (rng() % (depth > 3 ? 6 : 9)) {
            case 0:
            case 1:
                return path(kinds[rng() % 4], "/" + random_word(4), rng() % 3 == 0);
            case 2:
                return host(kinds[rng() % 4], to_lower(random_word(4)));
            case 3:
                return {MethodIs{{rng() % 2 ? "GET" : "POST"}}};
            case 4:
                return {
                    HeaderIs{rng() % 2 ? "host" : "x",
                             {kinds[rng() % 4], {random_word(3), random_word(5)}, rng() % 2 == 0}}};
            case 5:
                return {PathIs{
                    {kinds[rng() % 2], {"/" + random_word(3), "/" + random_word(6), ""}, false}}};
            case 6:
                return {Not{{random_match(depth + 1)}}};
            case 7: {
                Matches parts;
                for (auto n = rng() % 4; n > 0; --n) {
                    parts.push_back(random_match(depth + 1));
                }
                return {AllOf{parts}};
            }
            default: {
                Matches parts;
                for (auto n = rng() % 3; n > 0; --n) {
                    parts.push_back(random_match(depth + 1));
                }
                return {AnyOf{parts}};
            }
        }
    };
    int matched = 0;
    for (int round = 0; round < 200; ++round) {
        std::vector<Route> routes;
        for (auto n = rng() % 40; n > 0; --n) {
            routes.push_back({"r", random_match(0), ToPool{"web"}});
        }
        const RouteIndex index(routes);
        for (int i = 0; i < 60; ++i) {
            Rpc rpc;
            rpc.method = rng() % 2 ? "GET" : "PUT", rpc.path = "/" + random_word(6),
            rpc.host = random_word(5) + (rng() % 4 ? "" : ":80");
            rpc.headers = {{"x", random_word(3)}};
            const auto expected = find_first_by_scan(routes, rpc, nullptr);
            CAPTURE(round, rpc.path, rpc.host);
            REQUIRE(index.find_first(rpc, nullptr) == expected);
            matched += expected.has_value();
        }
    }
    CHECK(matched > 3'000);
}

TEST_CASE("the route index evaluates few of many routes") {
    std::vector<Route> routes;
    for (int i = 0; i < 20'000; ++i) {
        routes.push_back(
            {"r", path(TextMatchKind::prefix, fmt::format("/tenant{}/", i)), ToPool{"web"}});
    }
    routes.push_back({"last", path(TextMatchKind::prefix, "/"), ToPool{"web"}});
    const RouteIndex index(routes);
    Rpc rpc;
    rpc.path = "/tenant19999/x";
    std::size_t evaluated = 0;
    CHECK(index.find_first(rpc, nullptr, &evaluated) == 19'999u);
    CHECK(evaluated == 1);
    rpc.path = "/other";
    CHECK(index.find_first(rpc, nullptr) == 20'000u);
}

TEST_CASE("hosts, networks and headers are compared as their standards define") {
    CHECK(normalized_host("Shop.Example.:8080") == "shop.example");
    CHECK(normalized_host("[::1]:80") == "::1");
    const auto in = [](const char* network, const char* address) {
        return parse_network(network)->contains(*parse_address(address));
    };
    CHECK((in("10.0.0.0/8", "10.255.1.1") && !in("10.0.0.0/8", "11.0.0.1")));
    CHECK((in("10.1.2.3/8", "10.9.9.9") && in("192.168.0.0/255.255.0.0", "192.168.7.7")));
    CHECK((in("2001:db8::/33", "2001:db8:7fff::1") && !in("2001:db8::/33", "2001:db8:8000::1")));
    CHECK((in("0.0.0.0/0", "1.2.3.4") && !in("::/0", "1.2.3.4") && in("1.2.3.4", "1.2.3.4")));
    for (const char* invalid : {"10.0.0.0/33", "10.0.0/8", "x", "10.0.0.0/255.0.255.0", "::1/129",
                                "10.0.0.0/-1", "10.0.0.0/"}) {
        CHECK(!parse_network(invalid));
    }
    CHECK(parse_network("10.1.2.3/8")->text() == "10.0.0.0/8");
    Rpc rpc;
    rpc.headers = {{"x", "one"}, {"x", "two"}};
    CHECK(matches(Match{HeaderIs{"X", {TextMatchKind::exact, {"two"}, false}}}, rpc, nullptr));
    CHECK(!matches(Match{HeaderIs{"y", {TextMatchKind::present, {}, false}}}, rpc, nullptr));
}

TEST_CASE("traffic shares follow tier, state and weight") {
    Plan plan;
    plan.pools = {pool({server("a", 1), server("b", 3), server("s1", 1, Tier::backup),
                        server("s2", 9, Tier::backup)})};
    View current = view();
    CHECK(shares(plan, current) == Shares{{"a", 0.25}, {"b", 0.75}});
    current.servers["web/b"].up = false;
    CHECK(shares(plan, current) == Shares{{"a", 1}});
    current.servers["web/a"].state_override = State::maintenance;
    CHECK(shares(plan, current) == Shares{{"s1", 1}});
    plan.pools[0].all_backups = true;
    CHECK(shares(plan, current) == Shares{{"s1", 0.1}, {"s2", 0.9}});
    current.servers["web/s1"].up = false;
    plan.pools[0].all_backups = false;
    CHECK(shares(plan, current) == Shares{{"s2", 1}});
    plan.pools[0].servers[3].weight = 0;
    CHECK(shares(plan, current).empty());
    CHECK(ServerSelector(plan).usable_count("web", current) == 0);
    CHECK(ServerSelector(plan).usable_count("web", view()) ==
          2);  // backups are not counted while an active server is usable
    View actives_down = view();
    actives_down.servers["web/a"].up = actives_down.servers["web/b"].up = false;
    plan.pools[0].servers[3].weight = 9;
    CHECK(ServerSelector(plan).usable_count("web", actives_down) == 1);  // only the first backup
    plan.pools[0].all_backups = true;
    CHECK(ServerSelector(plan).usable_count("web", actives_down) == 2);
    CHECK(ServerSelector(plan).usable_count("none", current) == 0);
}

TEST_CASE(
    "full servers do not make a pool use its backups, and an RPC waits when all servers are full") {
    Plan plan;
    plan.pools = {pool({server("a"), server("b"), server("s", 1, Tier::backup)})};
    plan.pools[0].servers[0].max_connections = 2;
    plan.pools[0].servers[1].max_connections = 2;
    View current = view();
    current.servers["web/a"].running = 2;
    CHECK(shares(plan, current) == Shares{{"b", 1}});
    current.servers["web/b"].running = 2;
    const TrafficSplit full = ServerSelector(plan).split(plan.pools[0], current);
    CHECK((full.all_full && full.tier == Tier::active && full.shares.size() == 2));
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    const Decision decision = Router(plan).decide("in", {}, current);
    CHECK((decision.kind == Decision::Kind::wait && decision.queue_timeout == s(5)));
}

TEST_CASE(
    "servers of weight 0 and draining servers get only sticky RPCs, draining ones until the grace "
    "ends") {
    Plan plan;
    plan.pools = {pool({server("a"), server("old", 0), server("leaving", 5)})};
    plan.pools[0].stickiness.by = Stickiness::By::cookie;
    plan.pools[0].stickiness.name = "SRV";
    for (Server& server : plan.pools[0].servers) {
        server.cookie_value = server.name;
    }
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    View current = view();
    current.servers["web/leaving"].state_override = State::draining,
    current.servers["web/leaving"].draining_since = kNow - s(1);
    const auto sticky_server_of = [&](const char* cookie) {
        Rpc rpc;
        rpc.cookies["SRV"] = cookie;
        return Router(plan).decide("in", rpc, current).sticky_server;
    };
    CHECK(shares(plan, current) == Shares{{"a", 1}});
    CHECK((sticky_server_of("old") == "old" && sticky_server_of("leaving") == "leaving" &&
           sticky_server_of("a") == "a" && sticky_server_of("none").empty()));
    current.servers["web/leaving"].draining_since = kNow - s(2);  // the drain grace
    CHECK(sticky_server_of("leaving").empty());
    current.servers["web/old"].up = false;
    CHECK(sticky_server_of("old").empty());
    plan.pools[0].stickiness.stay_when_down = true;
    CHECK(sticky_server_of("old") == "old");
    // With two servers of one cookie value, the first usable one is chosen; a server that is
    // down is chosen only if none is usable.
    plan.pools[0].servers[0].cookie_value = "old";
    CHECK(sticky_server_of("old") == "a");
    current.servers["web/a"].up = false;
    CHECK(sticky_server_of("old") == "a");
    plan.pools[0].servers[0].cookie_value = "a";
    current.servers["web/a"].up = true;
    current.servers["web/old"].state_override =
        State::disabled;  // stay_when_down does not override the operator
    CHECK(sticky_server_of("old").empty());
}

TEST_CASE("tracked health is followed along the chain of servers, and a cycle counts as down") {
    Plan plan;
    plan.pools = {pool({server("a"), server("b"), server("c")})};
    plan.pools[0].servers[1].health_source = "web/a";
    plan.pools[0].servers[2].health_source = "web/b";
    View current = view();
    CHECK(shares(plan, current).size() == 3);
    current.servers["web/a"].up = false;
    CHECK(shares(plan, current).empty());
    current.servers["web/a"].up = true;
    current.servers["web/b"].state_override = State::maintenance;
    CHECK(shares(plan, current) == Shares{{"a", 1}});
    current.servers["web/b"].state_override.reset();
    plan.pools[0].servers[0].weight = 0,
    plan.pools[0].servers[0].state = State::draining;  // not inherited by servers that track it
    CHECK(shares(plan, current).size() == 2);
    plan.pools[0].servers[0].health_source = "web/c";
    CHECK(shares(plan, current).empty());
}

TEST_CASE("slow start raises a server's weight in steps over its duration") {
    Plan plan;
    plan.pools = {pool({server("a", 4), server("b", 4)})};
    plan.pools[0].servers[0].slow_start = s(16);
    View current = view();
    double last_share = 0;
    for (int age = 0; age <= 20; ++age) {
        current.servers["web/a"].up_since = kNow - s(age);
        const double share = shares(plan, current)["a"];
        CHECK(share >= last_share);
        CHECK(share == Approx(std::min(1.0, std::max(1, age) / 16.0) /
                              (1 + std::min(1.0, std::max(1, age) / 16.0))));
        last_share = share;
    }
    CHECK(last_share == 0.5);
}

TEST_CASE("sticky keys are spread by weight, and move only when their server is down") {
    Plan plan;
    plan.pools = {pool({server("a", 1), server("b", 2), server("c", 1)})};
    plan.pools[0].stickiness.by = Stickiness::By::source;
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    View current = view();
    const Router router(plan);
    std::map<std::string, int> counts;
    int moved = 0, kept = 0;
    for (int i = 0; i < 20'000; ++i) {
        Rpc rpc;
        rpc.source = *parse_address(fmt::format("10.{}.{}.{}", i % 7, i / 256, i % 256));
        current.servers["web/a"].up = true;
        const std::string before = router.decide("in", rpc, current).sticky_server;
        current.servers["web/a"].up = false;
        const std::string after = router.decide("in", rpc, current).sticky_server;
        ++counts[before];
        if (before == "a") {
            moved += after != "a";
        } else {
            kept += after == before;
        }
    }
    CHECK(counts["b"] == Approx(10'000).margin(300));
    CHECK(moved == counts["a"]);
    CHECK(kept == counts["b"] + counts["c"]);
    const auto by_path = [](int depth, int length, const char* path) {
        Stickiness stickiness;
        stickiness.by = Stickiness::By::path, stickiness.path_depth = depth,
        stickiness.path_length = length;
        Rpc rpc;
        rpc.path = path;
        return sticky_key(stickiness, rpc);
    };
    CHECK(by_path(0, 0, "/a/b/c") == "/a/b/c");
    CHECK(by_path(1, 0, "/a/b/c") == "/a");
    CHECK(by_path(2, 0, "/a/b") == "/a/b");
    CHECK(by_path(0, 3, "/a/b") == "/a/");
}

TEST_CASE("the limiter enforces server and pool limits, queue order and the queue timeout") {
    Pool web = pool({server("a"), server("b")});
    web.servers[0].max_connections = 1, web.servers[0].max_queued = 1,
    web.servers[1].max_connections = 1;
    web.max_connections = 2;
    web.queue_timeout = s(3);
    Limiter limiter(web);
    using Outcome = Limiter::Outcome;
    const std::vector<std::string> both{"a", "b"};
    const auto n = [](std::uint64_t number) { return RpcNumber{number}; };
    CHECK(limiter.request_any(n(1), both, kNow).server == "a");
    CHECK(limiter.request_any(n(2), both, kNow).server == "b");
    CHECK(limiter.request(n(3), "a", kNow).outcome == Outcome::queued);
    CHECK(limiter.request(n(4), "a", kNow).outcome ==
          Outcome::rejected);  // the server's queue is full
    CHECK(limiter.request_any(n(5), both, kNow + s(1)).timeout_at == kNow + s(4));
    CHECK(limiter.request_any(n(5), both, kNow).outcome ==
          Outcome::rejected);  // the number is in use
    auto admitted = limiter.finish(n(1));
    REQUIRE(admitted.size() == 1);
    CHECK((admitted[0].rpc == n(3) && admitted[0].server == "a"));
    CHECK(limiter.expire(kNow + s(3.5)).empty());
    CHECK(limiter.next_timeout() == kNow + s(4));
    CHECK(limiter.finish(n(3)).at(0).rpc == n(5));
    // RPCs in the queue of a closed server may run at the other servers.
    CHECK(limiter.request(n(6), "a", kNow + s(2)).outcome == Outcome::queued);
    CHECK(limiter.close_server("a", {"b"}).empty());
    CHECK(limiter.request(n(7), "a", kNow + s(2)).outcome == Outcome::rejected);
    CHECK(limiter.finish(n(2)).at(0).server == "b");
    CHECK(limiter.finish(n(5)).empty());
    CHECK(limiter.request_any(n(8), both, kNow + s(2)).outcome == Outcome::queued);
    CHECK(limiter.open_server("a").at(0).server == "a");
    CHECK(limiter.finish(n(99)).empty());
    // The queue timeout, and an RPC whose client leaves while it waits.
    CHECK(limiter.request_any(n(10), both, kNow + s(5)).outcome == Outcome::queued);
    CHECK(limiter.request_any(n(11), both, kNow + s(6)).outcome == Outcome::queued);
    CHECK(limiter.finish(n(10)).empty());
    const auto expired = limiter.expire(kNow + s(9));
    REQUIRE(expired.size() == 1);
    CHECK((expired[0].rpc == n(11) && expired[0].outcome == Outcome::rejected &&
           limiter.waiting() == 0));
}

TEST_CASE(
    "under random events no limit is exceeded, and no RPC waits while a server has capacity") {
    std::mt19937_64 rng(7);
    for (int round = 0; round < 60; ++round) {
        Pool web = pool({server("a"), server("b"), server("c")});
        for (Server& server : web.servers) {
            server.max_connections = static_cast<int>(rng() % 4),
            server.max_queued = static_cast<int>(rng() % 3);
        }
        web.max_connections = static_cast<int>(rng() % 8);
        web.queue_timeout = s(2);
        Limiter limiter(web);
        std::map<RpcNumber, std::string> running;
        std::set<RpcNumber> waiting;
        TimePoint now = kNow;
        std::uint64_t last_number = 0;
        const auto apply = [&](const Limiter::Admission& answer) {
            waiting.erase(answer.rpc);
            if (answer.outcome == Limiter::Outcome::admitted) {
                REQUIRE(running.emplace(answer.rpc, answer.server).second);
            }
            if (answer.outcome == Limiter::Outcome::queued) {
                waiting.insert(answer.rpc);
            }
        };
        for (int i = 0; i < 400; ++i, now += s(0.05)) {
            const auto action = rng() % 5;
            if (action < 2) {
                apply(limiter.request_any({++last_number}, {"c", "a", "b"}, now));
            } else if (action == 2) {
                apply(limiter.request({++last_number},
                                      std::string(1, static_cast<char>('a' + rng() % 3)), now));
            } else if (!running.empty() && action == 3) {
                const RpcNumber rpc =
                    std::next(running.begin(), static_cast<std::ptrdiff_t>(rng() % running.size()))
                        ->first;
                running.erase(rpc);
                for (const auto& answer : limiter.finish(rpc)) {
                    apply(answer);
                }
            } else {
                for (const auto& answer : limiter.expire(now)) {
                    apply(answer);
                }
            }
            REQUIRE(limiter.waiting() == waiting.size());
            REQUIRE(limiter.running() == static_cast<int>(running.size()));
            if (web.max_connections > 0) {
                REQUIRE(limiter.running() <= web.max_connections);
            }
            for (const Server& server : web.servers) {
                const auto running_here =
                    std::count_if(running.begin(), running.end(),
                                  [&](const auto& entry) { return entry.second == server.name; });
                if (server.max_connections > 0) {
                    REQUIRE(running_here <= server.max_connections);
                }
                const bool has_capacity =
                    (server.max_connections == 0 || running_here < server.max_connections) &&
                    (web.max_connections == 0 || limiter.running() < web.max_connections);
                if (has_capacity && server.name == "c") {
                    // RPCs in the pool's queue may run at c, so a request for c must be admitted.
                    const auto request = limiter.request_any(
                        {1'000'000 + static_cast<std::uint64_t>(i)}, {"c"}, now);
                    REQUIRE(request.outcome == Limiter::Outcome::admitted);
                    for (const auto& answer : limiter.finish(request.rpc)) {
                        apply(answer);
                    }
                }
            }
        }
    }
}

TEST_CASE(
    "an RPC that may have been executed is retried only if it is idempotent, whatever the retry "
    "rule") {
    Pool web = pool({server("a"), server("b")});
    Rpc get, post;
    post.method = "POST";
    web.retry_rule = {2, RetryRule::Condition::any_failure, RetryRule::Target::other_on_last_retry};
    const auto decide = [&](const Rpc& rpc, std::vector<std::string> tried,
                            AttemptOutcome outcome) {
        return decide_retry(web, rpc, tried, outcome);
    };
    CHECK(decide(get, {"a"}, AttemptOutcome::aborted).server == "a");
    CHECK(decide(get, {"a", "a"}, AttemptOutcome::no_answer).server.empty());
    CHECK(decide(get, {"a", "a"}, AttemptOutcome::no_answer).retry);
    CHECK(!decide(get, {"a", "a", "b"}, AttemptOutcome::no_connection).retry);
    CHECK((!decide(post, {"a"}, AttemptOutcome::aborted).retry &&
           !decide(post, {"a"}, AttemptOutcome::no_answer).retry));
    CHECK((decide(post, {"a"}, AttemptOutcome::no_connection).retry &&
           decide(post, {"a"}, AttemptOutcome::rejected_by_server).retry));
    web.retry_rule.condition = RetryRule::Condition::no_connection;
    CHECK((decide(get, {"a"}, AttemptOutcome::no_connection).retry &&
           !decide(get, {"a"}, AttemptOutcome::rejected_by_server).retry));
    web.retry_rule.condition = RetryRule::Condition::not_executed;
    CHECK((decide(get, {"a"}, AttemptOutcome::rejected_by_server).retry &&
           !decide(get, {"a"}, AttemptOutcome::aborted).retry));
    web.retry_rule.max_retries = 0;
    CHECK(!decide(get, {"a"}, AttemptOutcome::no_connection).retry);
}

TEST_CASE("health checks turn a server down and up by the rule, and are due at its intervals") {
    Pool web = pool({server("a"), server("b")});
    for (Server& server : web.servers) {
        server.health_checked = true;
    }
    web.health.interval = s(2), web.health.transition_interval = s(1),
    web.health.down_interval = s(5), web.health.fall = 3, web.health.rise = 2;
    HealthTracker tracker(web, kNow);
    CHECK(tracker.take_due(kNow) == std::vector<std::string>{"a"});
    CHECK(tracker.take_due(kNow).empty());
    CHECK(tracker.take_due(kNow + s(1)) ==
          std::vector<std::string>{"b"});  // the first checks are spread over the interval
    TimePoint now = kNow + s(2);
    CHECK(!tracker.on_check_result("a", false, now));
    CHECK(tracker.next_due() == kNow + s(3));
    CHECK(!tracker.on_check_result("a", false, now));
    const auto down = tracker.on_check_result("a", false, now);
    REQUIRE(down);
    CHECK((!down->up && down->server == "a" && !tracker.is_up("a") && tracker.is_up("b")));
    CHECK(!tracker.on_check_result("a", true, now));
    CHECK(!tracker.on_check_result("a", false, now));  // two consecutive successes are needed
    CHECK(!tracker.on_check_result("a", true, now));
    CHECK(tracker.on_check_result("a", true, now)->up);
    CHECK(
        (!tracker.on_check_result("none", false, now) && !tracker.on_rpc_result("a", false, now)));
    web.health.max_consecutive_errors = 2;
    HealthTracker error_tracker(web, kNow);
    CHECK((!error_tracker.on_rpc_result("a", false, now) &&
           !error_tracker.on_rpc_result("a", true, now) &&
           !error_tracker.on_rpc_result("a", false, now)));
    CHECK(!error_tracker.on_rpc_result("a", false, now)->up);
}

TEST_CASE("each pool becomes a method whose table follows the pool's weights, tiers and drains") {
    Plan plan;
    plan.pools = {
        pool({server("a", 1), server("b", 3), server("old", 0), server("s", 1, Tier::backup)}),
        pool({server("x")})};
    plan.pools[1].name = "api";
    plan.pools[0].response_timeout = s(2);
    const EndpointRegistry registry(plan);
    DeploymentSettings base;
    base.admission_kind = AdmissionKind::fraction;
    plan.service.proxies = 1;
    const DeploymentSettings settings = registry.settings(base);
    CHECK((settings.methods.size() == 2 && settings.methods[0].soft_deadline == s(2) &&
           settings.methods[1].only_kinds.front() == KindId{1}));
    CHECK(registry.names().methods == std::vector<std::string>{"web", "api"});
    CHECK(registry.addresses().at({"api/x"}) == "10.0.0.1:80");

    Planner planner(settings, 3);
    std::map<int, std::map<std::string, double>> tables;
    std::set<std::string> withdrawn;
    std::map<int, int> table_of;  // by method
    TimePoint now = kNow;
    const auto run = [&](double seconds) {
        for (const TimePoint end = now + s(seconds); now < end; now += s(0.1)) {
            for (const Order& order : planner.decide(now)) {
                if (const auto* entry = std::get_if<order::SetTableEntry>(&order)) {
                    entry->weight > 0
                        ? (void)(tables[entry->table.value][entry->server.value] = entry->weight)
                        : (void)tables[entry->table.value].erase(entry->server.value);
                } else if (const auto* bind = std::get_if<order::BindProxy>(&order)) {
                    for (const MethodId method : bind->methods) {
                        table_of[method.value] = bind->table.value;
                    }
                } else if (const auto* change = std::get_if<order::SetWithdrawn>(&order)) {
                    change->withdrawn ? (void)withdrawn.insert(change->server.value)
                                      : (void)withdrawn.erase(change->server.value);
                } else if (const auto* send_nonce = std::get_if<order::SendNonce>(&order)) {
                    planner.handle(event::Acknowledgement{{0}, send_nonce->nonce});
                }
            }
            planner.handle(event::TimerExpired{{1}});
        }
    };
    const auto open_entries = [&](int method) {
        Shares entries;
        for (const auto& [server, weight] : tables[table_of.at(method)]) {
            if (!withdrawn.contains(server)) {
                entries[server] = weight;
            }
        }
        return entries;
    };
    View current = view();
    planner.handle(registry.list(current));
    planner.handle(event::ProxyJoined{{0}, {0}, 5, true});
    run(1);
    REQUIRE(open_entries(0).size() == 2);
    CHECK(open_entries(0)["web/b"] / open_entries(0)["web/a"] == Approx(3));
    CHECK(open_entries(1).size() == 1);
    // All active servers are down: the backup takes their place.
    current.now = now, current.servers["web/a"].up = false, current.servers["web/b"].up = false;
    planner.handle(registry.list(current));
    run(1);
    REQUIRE(open_entries(0).size() == 1);
    CHECK(open_entries(0).begin()->first == "web/s");
    // A draining server is listed as draining, not dropped.
    current.servers.clear(), current.servers["web/a"].state_override = State::draining,
                             current.servers["web/a"].draining_since = now;
    const auto list = registry.list(current);
    CHECK(std::any_of(list.servers.begin(), list.servers.end(), [](const auto& e) {
        return e.server.value == "web/a" && e.phase == EndpointPhase::draining;
    }));
}
