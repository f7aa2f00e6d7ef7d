// Tests the core with a fake transport (streams that replace each other, endpoint lists, timers),
// the limits of a process, and the start configuration.
#include "planner/core.hpp"

#include <malloc.h>

#include <catch2/catch.hpp>
#include <future>

#include "daemon/limits.hpp"
#include "daemon/start_configuration.hpp"
#include "helpers.hpp"
#include "protocol/buffer_pool.hpp"

using namespace micaroad;

namespace {

struct FakeTransport : Transport {
    std::map<StreamId, std::string> written;
    std::vector<StreamId> closed;
    void write(StreamId stream, std::string_view message) override { written[stream] += message; }
    void close(StreamId stream) override { closed.push_back(stream); }
    void check_health(const ServerId&, const std::string&) override {}
    int fetched = 0;
    std::string followed;
    void fetch_list() override { ++fetched; }
    void follow(const std::string& discovery) override { followed = discovery; }
};

struct CoreFixture {
    test::DiscardingLog quiet;
    test::ManualClock clock;
    FakeTransport transport;
    Core core{test::sample_settings(), test::names(), 7, transport, quiet.log};

    void process(std::vector<CoreEvent> events = {}) {
        std::vector<Inbox::Item> items;
        for (auto& event : events) {
            items.push_back({clock.now(), std::move(event)});
        }
        core.process(items, clock.now());
        core.record_lag(items, clock.now());
    }
    void run(int ms) {
        const TimePoint end = clock.now() + Duration{ms * 10};
        while (core.next_due() && *core.next_due() <= end) {
            clock.ticks = core.next_due()->time_since_epoch().count();
            process();
        }
        clock.ticks = end.time_since_epoch().count();
    }
    static CoreEvent list_received(const std::string& text) {
        return core_event::EndpointListReceived{
            protocol::EndpointListReader(test::names()).read(text).value()};
    }
    static CoreEvent stream_opened(std::uint64_t stream, int proxy,
                                   bool initial_table_only = true) {
        return core_event::StreamOpened{{stream}, {{proxy}, {0}, 5, initial_table_only}};
    }
    std::string take_written(std::uint64_t stream) {
        return std::exchange(transport.written[{stream}], "");
    }
    bool writes(std::uint64_t stream, const char* text) {
        return take_written(stream).find(text) != std::string::npos;
    }
};

std::string make_change(int version, const char* state, long long started_ms = 0) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"full":false,"servers":[{"id":"s-1","addr":"h:1","zone":"a","kind":"m1","state":")" +
           state + R"(","weight":1,"started_ms":)" + std::to_string(started_ms) + "}]}";
}

}  // namespace

TEST_CASE("a joined proxy is bound, and a replaced stream has no further effect") {
    CoreFixture fixture;
    fixture.process({CoreFixture::list_received(test::kTwoServerList)});
    fixture.process({CoreFixture::stream_opened(1, 3)});
    CHECK(fixture.writes(1, "full=1 endpoints=s-1:"));
    // The new stream opens before the end of the old one arrives, in the same batch.
    fixture.process(
        {CoreFixture::stream_opened(5, 3, false), core_event::StreamClosed{{1}, "reset"}});
    CHECK(fixture.transport.closed == std::vector<StreamId>{{1}});
    CHECK(fixture.writes(5, "full=1 endpoints=s-1:"));
    // An older connection whose first line is read late, and then its end.
    fixture.process({CoreFixture::stream_opened(4, 3), core_event::StreamClosed{{4}, "its end"}});
    CHECK(fixture.transport.closed.back() == StreamId{4});
    fixture.run(1'000);
    fixture.process({CoreFixture::list_received(make_change(42, "draining"))});
    CHECK(fixture.writes(5, "eject=s-1"));
    CHECK((fixture.take_written(1).empty() && fixture.take_written(4).empty()));
    fixture.process({core_event::StreamClosed{{5}, "its end"}});
    fixture.process({CoreFixture::list_received(make_change(43, "up"))});
    fixture.run(1'000);
    CHECK(fixture.take_written(5).empty());
}

TEST_CASE("an endpoint that an earlier process ejected is restored at a proxy that joins with it") {
    CoreFixture fixture;
    const auto start =
        fixture.clock.now().time_since_epoch().count() / 10 - 60'000;  // ms; its warm-up is over
    fixture.process({CoreFixture::list_received(test::kTwoServerList),
                     CoreFixture::list_received(make_change(42, "up", start))});
    fixture.process({CoreFixture::stream_opened(1, 3, false)});
    CHECK(fixture.writes(1, "restore=s-1"));
}

TEST_CASE(
    "changes of an older version are dropped, and an unusable entry leaves the known one in "
    "force") {
    CoreFixture fixture;
    fixture.process(
        {CoreFixture::list_received(test::kTwoServerList), CoreFixture::stream_opened(1, 0)});
    fixture.take_written(1);
    fixture.process({CoreFixture::list_received(make_change(41, "draining")),
                     CoreFixture::list_received(make_change(12, "removed"))});
    fixture.run(500);
    CHECK(!fixture.writes(1, "eject"));
    std::string list_with_unknown_state = test::kTwoServerList;
    list_with_unknown_state.replace(list_with_unknown_state.find("\"up\""), 4, "\"??\"");
    fixture.process({CoreFixture::list_received(list_with_unknown_state)});
    fixture.run(500);
    CHECK(!fixture.writes(1, "eject"));
    const auto second_server_only =
        test::kTwoServerList.substr(test::kTwoServerList.find("{\"id\":\"s-2"));
    fixture.process({CoreFixture::list_received(R"({"version":50,"full":true,"servers":[)" +
                                                second_server_only)});
    fixture.run(500);
    CHECK(fixture.writes(1, "eject=s-1"));
}

TEST_CASE("a lost watch changes no table, and a stop request ends the core") {
    CoreFixture fixture;
    fixture.process(
        {CoreFixture::list_received(test::kTwoServerList), CoreFixture::stream_opened(1, 0)});
    fixture.take_written(1);
    fixture.process({core_event::WatchLost{},
                     core_event::HealthCheckCompleted{{{"s-9"}, true, Duration{5}}},
                     core_event::StreamAcknowledged{{9}, {{0}, {0}}}});
    fixture.run(3'000);
    CHECK(!fixture.writes(1, "eject"));
    CHECK(!fixture.core.stopping());
    fixture.process({core_event::StopRequested{}});
    CHECK(fixture.core.stopping());
}

TEST_CASE(
    "a reload follows the new discovery, and versions that begin again lose no server and revive "
    "none") {
    CoreFixture fixture;
    fixture.process({CoreFixture::list_received(test::kTwoServerList),
                     CoreFixture::stream_opened(1, 0),
                     CoreFixture::list_received(make_change(50, "removed"))});
    CHECK(fixture.writes(1, "s-2:"));
    fixture.process({core_event::ConfigurationReloaded{{"127.0.0.1:9", {"limits"}}}});
    CHECK(fixture.transport.followed == "127.0.0.1:9");
    fixture.run(3'000);
    CHECK(!fixture.writes(1, "eject=s-2"));
    fixture.process({CoreFixture::list_received(make_change(50, "up"))});
    CHECK(fixture.transport.fetched == 0);
    fixture.process({CoreFixture::list_received(make_change(3, "up"))});
    CHECK(fixture.transport.fetched == 1);
    fixture.process({CoreFixture::list_received(
        test::kTwoServerList)});  // version 41, with the server that is gone
    fixture.run(3'000);
    CHECK(!fixture.writes(1, "s-1:"));
    const auto start = fixture.clock.now().time_since_epoch().count() / 10;
    fixture.process({CoreFixture::list_received(make_change(42, "up", start))});
    fixture.run(20'000);
    CHECK(fixture.writes(1, "s-1:"));
}

TEST_CASE("removed servers and closed streams leave no memory behind") {
    CoreFixture fixture;
    fixture.process({CoreFixture::list_received(test::kTwoServerList)});
    std::uint64_t stream = 1;
    int next_server = 0;
    const auto entry = [](int n, const char* state) {
        return R"({"id":"n-)" + std::to_string(n) +
               R"(","addr":"h:1","zone":"a","kind":"m1","state":")" + state + R"("})";
    };
    const auto run_seconds = [&](int seconds) {
        for (const int end = next_server + seconds; next_server < end; ++next_server) {
            const std::string entries = entry(next_server, "up") + "," +
                                        entry(next_server - 4, "draining") + "," +
                                        entry(next_server - 8, "removed");
            fixture.process(
                {CoreFixture::list_received(R"({"version":)" + std::to_string(100 + next_server) +
                                            R"(,"full":false,"servers":[)" + entries + "]}"),
                 CoreFixture::stream_opened(++stream, next_server % 8, false),
                 core_event::StreamAcknowledged{{stream - 1},
                                                {{(next_server + 7) % 8}, {next_server % 65'536}}},
                 core_event::ReportReceived{
                     event::EndpointLoadReport{{"n-" + std::to_string(next_server - 9)},
                                               {0},
                                               3,
                                               1,
                                               Duration{30},
                                               Duration{5'000}}},
                 core_event::ReportReceived{
                     event::EndpointLoadReport{{"n-" + std::to_string(next_server - 2)},
                                               {0},
                                               3,
                                               0,
                                               Duration{300},
                                               Duration{5'000}}}});
            fixture.run(1'000);
            fixture.transport.written.clear(), fixture.transport.closed.clear();
        }
        return mallinfo2().uordblks;
    };
    const std::size_t early_bytes = run_seconds(200), late_bytes = run_seconds(600);
    CHECK(late_bytes < early_bytes + 48 * 1024);
    // A proxy that joins now is told of the servers that left lately, not of all that ever left.
    fixture.process({CoreFixture::stream_opened(++stream, 5, false)});
    fixture.run(300);
    const std::string messages = fixture.take_written(stream);
    CHECK(messages.find("n-" + std::to_string(next_server - 1)) != std::string::npos);
    CHECK(messages.find("n-" + std::to_string(next_server - 30)) == std::string::npos);
}

TEST_CASE(
    "an acknowledgement of an unknown nonce is rejected, and a later one covers those before it") {
    UpdateBuilder update_builder(2);
    update_builder.on_proxy_joined({0});
    const auto send_with_nonce = [&](int nonce) {
        update_builder.build_updates(
            {order::SetWithdrawn{{"s-1"}, nonce % 2 == 1}, order::SendNonce{{nonce}, false}});
    };
    send_with_nonce(1), send_with_nonce(2), send_with_nonce(3);
    CHECK(!update_builder.on_acknowledgement({0}, {9}));
    CHECK(!update_builder.on_acknowledgement({1}, {1}));
    CHECK(update_builder.on_acknowledgement({0}, {2}));
    CHECK((!update_builder.on_acknowledgement({0}, {1}) &&
           !update_builder.on_acknowledgement({0}, {2})));
    CHECK(update_builder.on_acknowledgement({0}, {3}));
}

TEST_CASE("a withdrawal is sent once on a stream, and again on the next stream") {
    UpdateBuilder update_builder(2);
    update_builder.on_proxy_joined({0}), update_builder.on_proxy_joined({1});
    const auto updates = [&] {
        return update_builder.build_updates({order::SetWithdrawn{{"s-1"}, true}}).size();
    };
    CHECK(updates() == 2);
    CHECK(updates() == 0);
    update_builder.on_proxy_left({1}), update_builder.on_proxy_joined({1});
    CHECK(updates() == 1);
}

TEST_CASE("connections are assigned within the limits of memory and sockets, proxies first") {
    const Limits small = Limits::of(32, 256, 150, 3);
    CHECK((small.sufficient && small.max_connections <= 256 - Limits::kReservedSockets &&
           small.max_unidentified >= 32));
    CHECK(small.max_connections - small.max_unidentified >= 156);
    const std::size_t buffers =
        small.max_connections + small.line_buffers * 2 + small.update_buffers;
    CHECK(small.max_connections * (Limits::kConnectionBytes - protocol::BufferPool::kBlockBytes) +
              buffers * protocol::BufferPool::kBlockBytes + Limits::kProgramBytes <=
          std::size_t{32} << 20);
    const Limits wide = Limits::of(192, 1024, 400, 3);
    CHECK((wide.sufficient && wide.max_connections > 500));
    CHECK(
        (!Limits::of(32, 256, 400, 3).sufficient && Limits::of(1, 1, 400, 3).max_connections > 0));
}

TEST_CASE("a start file is read, and an error names the missing setting") {
    const auto no_variable = [](const char*) -> const char* { return nullptr; };
    const std::string settings =
        R"("settings":{"classes":[{"name":"lookup","aim_us":1500000}],"zones":["a","b"],"kinds":["m1"],)"
        R"("family_info":{"data_plane_size":4}})";
    const auto text = [&](const std::string& without_key = "") {
        std::string all = "{";
        for (const std::string& part :
             {std::string(R"("name":"n3")"), std::string(R"("listen":"127.0.0.1:0")"),
              std::string(R"("discovery":"127.0.0.1:1")"),
              std::string(R"("seed":"8c1f30d27a5be964")"),
              std::string(R"("limits":{"sockets":1024,"memory_mb":192})"),
              R"("known":)" + test::kTwoServerList, settings}) {
            if (without_key.empty() || !part.starts_with('"' + without_key + '"')) {
                all += (all.size() > 1 ? "," : "") + part;
            }
        }
        return all + "}";
    };
    const StartConfiguration start = parse_start_configuration(text(), no_variable);
    CHECK((start.name == "n3" && start.seed == 0x8c1f30d27a5be964 && start.sockets == 1024));
    CHECK((start.settings.proxy_count == 4 && start.names.methods.size() == 1 &&
           start.initial_list.list.servers.size() == 2));
    const auto with_name_variable = [](const char* name) {
        return std::string_view(name) == "LB_NAME" ? "n9" : nullptr;
    };
    CHECK(parse_start_configuration(text(), with_name_variable).name == "n9");
    for (const std::string key :
         {"name", "listen", "discovery", "seed", "limits", "known", "settings"}) {
        CHECK_THROWS_WITH(parse_start_configuration(text(key), no_variable), Catch::Contains(key));
        CHECK_THROWS_MATCHES(parse_start_configuration(text(key), no_variable), ConfigurationError,
                             Catch::Predicate<ConfigurationError>(
                                 [&key](const auto& error) { return error.setting() == key; }));
    }
    // On a reload only the address of discovery takes effect, and it takes precedence over the
    // environment variable; other settings that differ are named.
    const ReloadedConfiguration same = parse_reloaded_configuration(text(), start);
    CHECK((same.discovery == "127.0.0.1:1" && same.restart_required_keys.empty()));
    std::string other = text("known");
    other.replace(other.find("127.0.0.1:1"), 11, "127.0.0.1:2")
        .replace(other.find("1024"), 4, "2048");
    const ReloadedConfiguration reloaded = parse_reloaded_configuration(other, start);
    CHECK((reloaded.discovery == "127.0.0.1:2" &&
           reloaded.restart_required_keys == std::vector<std::string>{"limits"}));
    // The file of another deployment changes nothing, not even the address of discovery; a file
    // that still shares a zone is accepted.
    const auto with = [&other](const std::string& from, const std::string& to) {
        std::string changed = other;
        return changed.replace(changed.find(from), from.size(), to);
    };
    CHECK_THROWS_WITH(parse_reloaded_configuration(with("lookup", "fare"), start),
                      Catch::Contains("another deployment"));
    CHECK_THROWS_WITH(parse_reloaded_configuration(with(R"("a","b")", R"("x","y")"), start),
                      Catch::Contains("another deployment"));
    CHECK_THROWS_WITH(parse_reloaded_configuration(with(R"(["a","b"])", "7"), start),
                      Catch::Contains("settings"));
    const ReloadedConfiguration grown =
        parse_reloaded_configuration(with(R"("a","b")", R"("b","c")"), start);
    CHECK((grown.discovery == "127.0.0.1:2" && grown.restart_required_keys.back() == "settings"));
    CHECK_THROWS_AS(parse_reloaded_configuration(other.substr(0, other.size() / 2), start),
                    ConfigurationError);
    CHECK_THROWS_WITH(parse_reloaded_configuration(text("discovery"), start),
                      Catch::Contains("discovery"));
    CHECK_THROWS_AS(parse_start_configuration("", no_variable), ConfigurationError);
    CHECK_THROWS_AS(parse_start_configuration("{\"seed\":", no_variable), ConfigurationError);
    CHECK_THROWS_WITH(load_start_configuration(no_variable), Catch::Contains("LB_CONFIG"));
    CHECK_THROWS_WITH(load_start_configuration([](const char*) { return "/nowhere"; }),
                      Catch::Contains("/nowhere"));
}

TEST_CASE(
    "a list of another deployment is rejected, whole or incremental, and one with a new zone is "
    "accepted") {
    CoreFixture fixture;
    fixture.process({CoreFixture::list_received(test::kTwoServerList)});
    fixture.process({CoreFixture::stream_opened(1, 3)});
    fixture.take_written(1);
    const auto entry = [](const std::string& id, const std::string& zone, const std::string& kind) {
        return R"({"id":")" + id + R"(","addr":"h:1","zone":")" + zone + R"(","kind":")" + kind +
               R"(","state":"up","weight":1,"started_ms":0})";
    };
    const auto list = [](int version, bool full, const std::string& entries) {
        return CoreFixture::list_received(R"({"version":)" + std::to_string(version) +
                                          R"(,"full":)" + (full ? "true" : "false") +
                                          R"(,"servers":[)" + entries + "]}");
    };
    fixture.process({list(900, false, entry("x-1", "hall-a", "m1"))});
    CHECK(fixture.transport.fetched == 1);
    fixture.process(
        {list(900, true, entry("x-1", "hall-a", "m1") + "," + entry("x-2", "a", "type-b"))});
    fixture.run(3'000);
    CHECK(fixture.take_written(1).find("x-") == std::string::npos);
    fixture.process({CoreFixture::list_received(
        make_change(42, "draining"))});  // newer than 41: the rejected version 900 was not kept
    CHECK(fixture.writes(1, "eject=s-1"));
    fixture.process({list(43, true, entry("s-2", "b", "m2") + "," + entry("s-9", "hall-a", "m1"))});
    fixture.run(6'000);
    CHECK(fixture.writes(1, "s-9"));
}

namespace {

// Returns everything that a planner writes to its proxies over 20 s with the same events.
std::string run_deployment(const DeploymentSettings& settings, const SymbolTable& names,
                           const std::string& list, std::uint64_t seed) {
    test::DiscardingLog quiet;
    test::ManualClock clock;
    FakeTransport transport;
    Core core(settings, names, seed, transport, quiet.log);
    const auto process = [&](std::vector<CoreEvent> events) {
        std::vector<Inbox::Item> items;
        for (auto& event : events) {
            items.push_back({clock.now(), std::move(event)});
        }
        core.process(items, clock.now());
    };
    process(
        {core_event::EndpointListReceived{protocol::EndpointListReader(names).read(list).value()}});
    for (int p = 0; p < settings.proxy_count; ++p) {
        process({CoreFixture::stream_opened(static_cast<std::uint64_t>(p) + 1, p, p % 2 == 0)});
    }
    for (int step = 0; step < 200; ++step) {
        clock.ticks += 1'000;
        std::vector<CoreEvent> events;
        for (int m = 0; m < std::ssize(names.methods); ++m) {
            events.push_back(core_event::ReportReceived{event::DemandReport{
                {step % settings.proxy_count}, {m}, 9.0 + m, 0, Duration{1'000}}});
        }
        for (const char* server : {"s-1", "s-2"}) {
            events.push_back(core_event::ReportReceived{
                event::EndpointLoadReport{{server},
                                          {0},
                                          12,
                                          12.0 * (step % 50 > 30),
                                          Duration{300 + step * 9 + server[2]},
                                          Duration{1'000}}});
        }
        process(std::move(events));
    }
    std::string all;
    for (const auto& [stream, text] : transport.written) {
        all += std::to_string(stream.value) + ": " + text;
    }
    return all;
}

}  // namespace

TEST_CASE("two deployments in one process write the same bytes as each does alone") {
    DeploymentSettings other = test::sample_settings();
    other.methods = {Method{Duration{9'000}, 2, true, {}, {}},
                     Method{Duration{30'000}, 1, false, {}, {}},
                     Method{Duration{12'000}, 5, false, {}, {}}};
    other.zone_count = 3, other.proxy_count = 5, other.admission_kind = AdmissionKind::rate,
    other.default_retry_policy = RetryPolicy::never;
    other.drain_grace = Duration{60'000};
    other.channel_lines_per_second = 90;
    const SymbolTable names{
        {"seat-map", "seat-hold", "pay"}, {"cusco", "puno", "juliaca"}, {"n-8"}};
    std::string list = test::kTwoServerList;
    for (const auto& [from, to] : {std::pair{"\"zone\":\"a\"", "\"zone\":\"puno\""},
                                   {"\"zone\":\"b\"", "\"zone\":\"cusco\""},
                                   {"\"m1\"", "\"n-8\""},
                                   {"\"m2\"", "\"n-8\""}}) {
        list.replace(list.find(from), std::string(from).size(), to);
    }
    const auto run_first = [&] {
        return run_deployment(test::sample_settings(), test::names(), test::kTwoServerList, 7);
    };
    const auto run_second = [&] { return run_deployment(other, names, list, 9); };
    const std::string first = run_first(), second = run_second();
    REQUIRE((first.size() > 500 && second.size() > 500 && first != second));
    for (int i = 0; i < 20; ++i) {
        auto concurrent = std::async(std::launch::async, run_second);
        CHECK(run_first() == first);
        CHECK(concurrent.get() == second);
    }
    CHECK(second.find("lookup") == std::string::npos);
}
