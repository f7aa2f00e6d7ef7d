// Routes over the index against the plain list, pools in every state, limits, retries, health
// and the registry.
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

Match path(TextMatchKind way, std::string value, bool any_case = false) {
    return {PathIs{{way, {std::move(value)}, any_case}}};
}
Match host(TextMatchKind way, std::string value) {
    return {HostIs{{way, {std::move(value)}, false}}};
}

}  // namespace

TEST_CASE("the index gives the answer of the plain list, for thousands of odd routes and RPCs") {
    std::mt19937_64 chance(20261201);
    const auto word = [&chance](int updates) {
        std::string word;
        for (auto n = chance() % updates; n > 0; --n) {
            word += "ab/cA."[chance() % 6];
        }
        return word;
    };
    const std::function<Match(int)> any = [&](int depth) -> Match {
        const TextMatchKind ways[] = {TextMatchKind::exact, TextMatchKind::prefix,
                                      TextMatchKind::suffix, TextMatchKind::contains};
        switch (chance() % (depth > 3 ? 6 : 9)) {
            case 0:
            case 1:
                return path(ways[chance() % 4], "/" + word(4), chance() % 3 == 0);
            case 2:
                return host(ways[chance() % 4], to_lower(word(4)));
            case 3:
                return {MethodIs{{chance() % 2 ? "GET" : "POST"}}};
            case 4:
                return {HeaderIs{chance() % 2 ? "host" : "x",
                                 {ways[chance() % 4], {word(3), word(5)}, chance() % 2 == 0}}};
            case 5:
                return {PathIs{{ways[chance() % 2], {"/" + word(3), "/" + word(6), ""}, false}}};
            case 6:
                return {Not{{any(depth + 1)}}};
            case 7: {
                Matches of;
                for (auto n = chance() % 4; n > 0; --n) {
                    of.push_back(any(depth + 1));
                }
                return {AllOf{of}};
            }
            default: {
                Matches of;
                for (auto n = chance() % 3; n > 0; --n) {
                    of.push_back(any(depth + 1));
                }
                return {AnyOf{of}};
            }
        }
    };
    int found = 0;
    for (int round = 0; round < 200; ++round) {
        std::vector<Route> routes;
        for (auto n = chance() % 40; n > 0; --n) {
            routes.push_back({"r", any(0), ToPool{"web"}});
        }
        const RouteIndex index(routes);
        for (int i = 0; i < 60; ++i) {
            Rpc rpc;
            rpc.method = chance() % 2 ? "GET" : "PUT", rpc.path = "/" + word(6),
            rpc.host = word(5) + (chance() % 4 ? "" : ":80");
            rpc.headers = {{"x", word(3)}};
            const auto plain = find_first_by_scan(routes, rpc, nullptr);
            CAPTURE(round, rpc.path, rpc.host);
            REQUIRE(index.find_first(rpc, nullptr) == plain);
            found += plain.has_value();
        }
    }
    CHECK(found > 3'000);
}

TEST_CASE("the index asks about few routes of many") {
    std::vector<Route> routes;
    for (int i = 0; i < 20'000; ++i) {
        routes.push_back(
            {"r", path(TextMatchKind::prefix, fmt::format("/tenant{}/", i)), ToPool{"web"}});
    }
    routes.push_back({"last", path(TextMatchKind::prefix, "/"), ToPool{"web"}});
    const RouteIndex index(routes);
    Rpc rpc;
    rpc.path = "/tenant19999/x";
    std::size_t asked = 0;
    CHECK(index.find_first(rpc, nullptr, &asked) == 19'999u);
    CHECK(asked == 1);
    rpc.path = "/other";
    CHECK(index.find_first(rpc, nullptr) == 20'000u);
}

TEST_CASE("hosts, networks and headers are compared as their standards have them") {
    CHECK(normalized_host("Shop.Example.:8080") == "shop.example");
    CHECK(normalized_host("[::1]:80") == "::1");
    const auto in = [](const char* network, const char* address) {
        return parse_network(network)->contains(*parse_address(address));
    };
    CHECK((in("10.0.0.0/8", "10.255.1.1") && !in("10.0.0.0/8", "11.0.0.1")));
    CHECK((in("10.1.2.3/8", "10.9.9.9") && in("192.168.0.0/255.255.0.0", "192.168.7.7")));
    CHECK((in("2001:db8::/33", "2001:db8:7fff::1") && !in("2001:db8::/33", "2001:db8:8000::1")));
    CHECK((in("0.0.0.0/0", "1.2.3.4") && !in("::/0", "1.2.3.4") && in("1.2.3.4", "1.2.3.4")));
    for (const char* odd : {"10.0.0.0/33", "10.0.0/8", "x", "10.0.0.0/255.0.255.0", "::1/129",
                            "10.0.0.0/-1", "10.0.0.0/"}) {
        CHECK(!parse_network(odd));
    }
    CHECK(parse_network("10.1.2.3/8")->text() == "10.0.0.0/8");
    Rpc rpc;
    rpc.headers = {{"x", "one"}, {"x", "two"}};
    CHECK(matches(Match{HeaderIs{"X", {TextMatchKind::exact, {"two"}, false}}}, rpc, nullptr));
    CHECK(!matches(Match{HeaderIs{"y", {TextMatchKind::present, {}, false}}}, rpc, nullptr));
}

TEST_CASE("shares follow tier, state and weight") {
    Plan plan;
    plan.pools = {pool({server("a", 1), server("b", 3), server("s1", 1, Tier::backup),
                        server("s2", 9, Tier::backup)})};
    View now = view();
    CHECK(shares(plan, now) == Shares{{"a", 0.25}, {"b", 0.75}});
    now.servers["web/b"].up = false;
    CHECK(shares(plan, now) == Shares{{"a", 1}});
    now.servers["web/a"].state_override = State::maintenance;
    CHECK(shares(plan, now) == Shares{{"s1", 1}});
    plan.pools[0].all_backups = true;
    CHECK(shares(plan, now) == Shares{{"s1", 0.1}, {"s2", 0.9}});
    now.servers["web/s1"].up = false;
    plan.pools[0].all_backups = false;
    CHECK(shares(plan, now) == Shares{{"s2", 1}});
    plan.pools[0].servers[3].weight = 0;
    CHECK(shares(plan, now).empty());
    CHECK(ServerSelector(plan).usable_count("web", now) == 0);
    CHECK(ServerSelector(plan).usable_count("web", view()) ==
          2);  // backups don't count beside active servers
    View down = view();
    down.servers["web/a"].up = down.servers["web/b"].up = false;
    plan.pools[0].servers[3].weight = 9;
    CHECK(ServerSelector(plan).usable_count("web", down) == 1);  // the first backup alone
    plan.pools[0].all_backups = true;
    CHECK(ServerSelector(plan).usable_count("web", down) == 2);
    CHECK(ServerSelector(plan).usable_count("none", now) == 0);
}

TEST_CASE("a full server is no reason to leave its tier; all full means to wait") {
    Plan plan;
    plan.pools = {pool({server("a"), server("b"), server("s", 1, Tier::backup)})};
    plan.pools[0].servers[0].max_connections = 2;
    plan.pools[0].servers[1].max_connections = 2;
    View now = view();
    now.servers["web/a"].running = 2;
    CHECK(shares(plan, now) == Shares{{"b", 1}});
    now.servers["web/b"].running = 2;
    const TrafficSplit full = ServerSelector(plan).split(plan.pools[0], now);
    CHECK((full.all_full && full.tier == Tier::active && full.shares.size() == 2));
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    const Decision decision = Router(plan).decide("in", {}, now);
    CHECK((decision.kind == Decision::Kind::wait && decision.queue_timeout == s(5)));
}

TEST_CASE("weight 0 and drains: no new RPCs, sticky ones stay until the grace ends") {
    Plan plan;
    plan.pools = {pool({server("a"), server("old", 0), server("leaving", 5)})};
    plan.pools[0].stickiness.by = Stickiness::By::cookie;
    plan.pools[0].stickiness.name = "SRV";
    for (Server& server : plan.pools[0].servers) {
        server.cookie_value = server.name;
    }
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    View now = view();
    now.servers["web/leaving"].state_override = State::draining,
    now.servers["web/leaving"].draining_since = kNow - s(1);
    const auto stuck = [&](const char* mark) {
        Rpc rpc;
        rpc.cookies["SRV"] = mark;
        return Router(plan).decide("in", rpc, now).sticky_server;
    };
    CHECK(shares(plan, now) == Shares{{"a", 1}});
    CHECK((stuck("old") == "old" && stuck("leaving") == "leaving" && stuck("a") == "a" &&
           stuck("none").empty()));
    now.servers["web/leaving"].draining_since = kNow - s(2);  // the grace
    CHECK(stuck("leaving").empty());
    now.servers["web/old"].up = false;
    CHECK(stuck("old").empty());
    plan.pools[0].stickiness.stay_when_down = true;
    CHECK(stuck("old") == "old");
    // Two of one mark: the first that may be used, and who is down only where none may.
    plan.pools[0].servers[0].cookie_value = "old";
    CHECK(stuck("old") == "a");
    now.servers["web/a"].up = false;
    CHECK(stuck("old") == "a");
    plan.pools[0].servers[0].cookie_value = "a";
    now.servers["web/a"].up = true;
    now.servers["web/old"].state_override =
        State::disabled;  // preference ends where the operator says so
    CHECK(stuck("old").empty());
}

TEST_CASE(
    "health that is another server's is followed along its chain, and a circle counts as out") {
    Plan plan;
    plan.pools = {pool({server("a"), server("b"), server("c")})};
    plan.pools[0].servers[1].health_source = "web/a";
    plan.pools[0].servers[2].health_source = "web/b";
    View now = view();
    CHECK(shares(plan, now).size() == 3);
    now.servers["web/a"].up = false;
    CHECK(shares(plan, now).empty());
    now.servers["web/a"].up = true;
    now.servers["web/b"].state_override = State::maintenance;
    CHECK(shares(plan, now) == Shares{{"a", 1}});
    now.servers["web/b"].state_override.reset();
    plan.pools[0].servers[0].weight = 0,
    plan.pools[0].servers[0].state = State::draining;  // its own matter
    CHECK(shares(plan, now).size() == 2);
    plan.pools[0].servers[0].health_source = "web/c";
    CHECK(shares(plan, now).empty());
}

TEST_CASE("a slow start holds a server's weight down for its time, by steps") {
    Plan plan;
    plan.pools = {pool({server("a", 4), server("b", 4)})};
    plan.pools[0].servers[0].slow_start = s(16);
    View now = view();
    double last = 0;
    for (int age = 0; age <= 20; ++age) {
        now.servers["web/a"].up_since = kNow - s(age);
        const double share = shares(plan, now)["a"];
        CHECK(share >= last);
        CHECK(share == Approx(std::min(1.0, std::max(1, age) / 16.0) /
                              (1 + std::min(1.0, std::max(1, age) / 16.0))));
        last = share;
    }
    CHECK(last == 0.5);
}

TEST_CASE("keys keep to their servers, spread by weight, and move only when they must") {
    Plan plan;
    plan.pools = {pool({server("a", 1), server("b", 2), server("c", 1)})};
    plan.pools[0].stickiness.by = Stickiness::By::source;
    plan.listeners = {{"in", {}, 0, {}, "web"}};
    View now = view();
    const Router router(plan);
    std::map<std::string, int> counts;
    int moved = 0, kept = 0;
    for (int i = 0; i < 20'000; ++i) {
        Rpc rpc;
        rpc.source = *parse_address(fmt::format("10.{}.{}.{}", i % 7, i / 256, i % 256));
        now.servers["web/a"].up = true;
        const std::string before = router.decide("in", rpc, now).sticky_server;
        now.servers["web/a"].up = false;
        const std::string after = router.decide("in", rpc, now).sticky_server;
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

TEST_CASE("limits: a server's, a pool's, queues in order of arrival, and the queue timeout") {
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
    CHECK(limiter.request(n(4), "a", kNow).outcome == Outcome::rejected);  // its queue is full
    CHECK(limiter.request_any(n(5), both, kNow + s(1)).timeout_at == kNow + s(4));
    CHECK(limiter.request_any(n(5), both, kNow).outcome ==
          Outcome::rejected);  // a number that is here already
    auto run = limiter.finish(n(1));
    REQUIRE(run.size() == 1);
    CHECK((run[0].rpc == n(3) && run[0].server == "a"));
    CHECK(limiter.expire(kNow + s(3.5)).empty());
    CHECK(limiter.next_timeout() == kNow + s(4));
    CHECK(limiter.finish(n(3)).at(0).rpc == n(5));
    // A server that takes nothing new gives its queue to the others.
    CHECK(limiter.request(n(6), "a", kNow + s(2)).outcome == Outcome::queued);
    CHECK(limiter.close_server("a", {"b"}).empty());
    CHECK(limiter.request(n(7), "a", kNow + s(2)).outcome == Outcome::rejected);
    CHECK(limiter.finish(n(2)).at(0).server == "b");
    CHECK(limiter.finish(n(5)).empty());
    CHECK(limiter.request_any(n(8), both, kNow + s(2)).outcome == Outcome::queued);
    CHECK(limiter.open_server("a").at(0).server == "a");
    CHECK(limiter.finish(n(99)).empty());
    // Patience, and those who leave while they wait.
    CHECK(limiter.request_any(n(10), both, kNow + s(5)).outcome == Outcome::queued);
    CHECK(limiter.request_any(n(11), both, kNow + s(6)).outcome == Outcome::queued);
    CHECK(limiter.finish(n(10)).empty());
    const auto over = limiter.expire(kNow + s(9));
    REQUIRE(over.size() == 1);
    CHECK((over[0].rpc == n(11) && over[0].outcome == Outcome::rejected && limiter.waiting() == 0));
}

TEST_CASE("under any order of events no limit is passed, and nobody waits beside a free place") {
    std::mt19937_64 chance(7);
    for (int round = 0; round < 60; ++round) {
        Pool web = pool({server("a"), server("b"), server("c")});
        for (Server& server : web.servers) {
            server.max_connections = static_cast<int>(chance() % 4),
            server.max_queued = static_cast<int>(chance() % 3);
        }
        web.max_connections = static_cast<int>(chance() % 8);
        web.queue_timeout = s(2);
        Limiter limiter(web);
        std::map<RpcNumber, std::string> runs;
        std::set<RpcNumber> waits;
        TimePoint now = kNow;
        std::uint64_t next = 0;
        const auto take = [&](const Limiter::Admission& answer) {
            waits.erase(answer.rpc);
            if (answer.outcome == Limiter::Outcome::admitted) {
                REQUIRE(runs.emplace(answer.rpc, answer.server).second);
            }
            if (answer.outcome == Limiter::Outcome::queued) {
                waits.insert(answer.rpc);
            }
        };
        for (int i = 0; i < 400; ++i, now += s(0.05)) {
            const auto dice = chance() % 5;
            if (dice < 2) {
                take(limiter.request_any({++next}, {"c", "a", "b"}, now));
            } else if (dice == 2) {
                take(limiter.request({++next},
                                     std::string(1, static_cast<char>('a' + chance() % 3)), now));
            } else if (!runs.empty() && dice == 3) {
                const RpcNumber rpc =
                    std::next(runs.begin(), static_cast<std::ptrdiff_t>(chance() % runs.size()))
                        ->first;
                runs.erase(rpc);
                for (const auto& answer : limiter.finish(rpc)) {
                    take(answer);
                }
            } else {
                for (const auto& answer : limiter.expire(now)) {
                    take(answer);
                }
            }
            REQUIRE(limiter.waiting() == waits.size());
            REQUIRE(limiter.running() == static_cast<int>(runs.size()));
            if (web.max_connections > 0) {
                REQUIRE(limiter.running() <= web.max_connections);
            }
            for (const Server& server : web.servers) {
                const auto here = std::count_if(runs.begin(), runs.end(), [&](const auto& at) {
                    return at.second == server.name;
                });
                if (server.max_connections > 0) {
                    REQUIRE(here <= server.max_connections);
                }
                const bool room =
                    (server.max_connections == 0 || here < server.max_connections) &&
                    (web.max_connections == 0 || limiter.running() < web.max_connections);
                if (room && server.name == "c") {
                    // Who waits for any server may run at c.
                    const auto asked = limiter.request_any(
                        {1'000'000 + static_cast<std::uint64_t>(i)}, {"c"}, now);
                    REQUIRE(asked.outcome == Limiter::Outcome::admitted);
                    for (const auto& answer : limiter.finish(asked.rpc)) {
                        take(answer);
                    }
                }
            }
        }
    }
}

TEST_CASE(
    "what may have been executed is retried only where it is idempotent, whatever the file asks "
    "for") {
    Pool web = pool({server("a"), server("b")});
    Rpc get, post;
    post.method = "POST";
    web.retry_rule = {2, RetryRule::Condition::any_failure, RetryRule::Target::other_on_last_retry};
    const auto again = [&](const Rpc& rpc, std::vector<std::string> tried, AttemptOutcome outcome) {
        return decide_retry(web, rpc, tried, outcome);
    };
    CHECK(again(get, {"a"}, AttemptOutcome::aborted).server == "a");
    CHECK(again(get, {"a", "a"}, AttemptOutcome::no_answer).server.empty());
    CHECK(again(get, {"a", "a"}, AttemptOutcome::no_answer).retry);
    CHECK(!again(get, {"a", "a", "b"}, AttemptOutcome::no_connection).retry);
    CHECK((!again(post, {"a"}, AttemptOutcome::aborted).retry &&
           !again(post, {"a"}, AttemptOutcome::no_answer).retry));
    CHECK((again(post, {"a"}, AttemptOutcome::no_connection).retry &&
           again(post, {"a"}, AttemptOutcome::rejected_by_server).retry));
    web.retry_rule.condition = RetryRule::Condition::no_connection;
    CHECK((again(get, {"a"}, AttemptOutcome::no_connection).retry &&
           !again(get, {"a"}, AttemptOutcome::rejected_by_server).retry));
    web.retry_rule.condition = RetryRule::Condition::not_executed;
    CHECK((again(get, {"a"}, AttemptOutcome::rejected_by_server).retry &&
           !again(get, {"a"}, AttemptOutcome::aborted).retry));
    web.retry_rule.max_retries = 0;
    CHECK(!again(get, {"a"}, AttemptOutcome::no_connection).retry);
}

TEST_CASE("probes turn a server down and up by the rule, and are asked for at its intervals") {
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
          std::vector<std::string>{"b"});  // spread over the interval
    TimePoint now = kNow + s(2);
    CHECK(!tracker.on_check_result("a", false, now));
    CHECK(tracker.next_due() == kNow + s(3));
    CHECK(!tracker.on_check_result("a", false, now));
    const auto down = tracker.on_check_result("a", false, now);
    REQUIRE(down);
    CHECK((!down->up && down->server == "a" && !tracker.is_up("a") && tracker.is_up("b")));
    CHECK(!tracker.on_check_result("a", true, now));
    CHECK(!tracker.on_check_result("a", false, now));  // two in a row are needed
    CHECK(!tracker.on_check_result("a", true, now));
    CHECK(tracker.on_check_result("a", true, now)->up);
    CHECK(
        (!tracker.on_check_result("none", false, now) && !tracker.on_rpc_result("a", false, now)));
    web.health.max_consecutive_errors = 2;
    HealthTracker strict(web, kNow);
    CHECK((!strict.on_rpc_result("a", false, now) && !strict.on_rpc_result("a", true, now) &&
           !strict.on_rpc_result("a", false, now)));
    CHECK(!strict.on_rpc_result("a", false, now)->up);
}

TEST_CASE("a pool becomes a method, a list and tables: the module decides, and its rules bind") {
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
                if (const auto* line = std::get_if<order::SetTableEntry>(&order)) {
                    line->weight > 0
                        ? (void)(tables[line->table.value][line->server.value] = line->weight)
                        : (void)tables[line->table.value].erase(line->server.value);
                } else if (const auto* bind = std::get_if<order::BindProxy>(&order)) {
                    for (const MethodId method : bind->methods) {
                        table_of[method.value] = bind->table.value;
                    }
                } else if (const auto* out = std::get_if<order::SetWithdrawn>(&order)) {
                    out->withdrawn ? (void)withdrawn.insert(out->server.value)
                                   : (void)withdrawn.erase(out->server.value);
                } else if (const auto* mark = std::get_if<order::SendNonce>(&order)) {
                    planner.handle(event::Acknowledgement{{0}, mark->nonce});
                }
            }
            planner.handle(event::TimerExpired{{1}});
        }
    };
    const auto open = [&](int method) {
        Shares open;
        for (const auto& [server, weight] : tables[table_of.at(method)]) {
            if (!withdrawn.contains(server)) {
                open[server] = weight;
            }
        }
        return open;
    };
    View at = view();
    planner.handle(registry.list(at));
    planner.handle(event::ProxyJoined{{0}, {0}, 5, true});
    run(1);
    REQUIRE(open(0).size() == 2);
    CHECK(open(0)["web/b"] / open(0)["web/a"] == Approx(3));
    CHECK(open(1).size() == 1);
    // All active servers are down: the backup takes their place.
    at.now = now, at.servers["web/a"].up = false, at.servers["web/b"].up = false;
    planner.handle(registry.list(at));
    run(1);
    REQUIRE(open(0).size() == 1);
    CHECK(open(0).begin()->first == "web/s");
    // One drains: it is told so, not dropped.
    at.servers.clear(), at.servers["web/a"].state_override = State::draining,
                        at.servers["web/a"].draining_since = now;
    const auto list = registry.list(at);
    CHECK(std::any_of(list.servers.begin(), list.servers.end(), [](const auto& e) {
        return e.server.value == "web/a" && e.phase == EndpointPhase::draining;
    }));
}
