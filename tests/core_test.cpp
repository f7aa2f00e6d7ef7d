// The core without sockets: streams that replace each other, lists, probes, timers, and the start file.
#include "planner/core.hpp"
#include "planner/limits.hpp"

#include <malloc.h>

#include <catch2/catch.hpp>

#include "helpers.hpp"
#include "planner/start_file.hpp"

using namespace micaroad;

namespace {

struct Ear : Outlet {
    std::map<StreamId, std::string> written;
    std::vector<StreamId> closed;
    void write(StreamId stream, std::string_view message) override { written[stream] += message; }
    void close(StreamId stream) override { closed.push_back(stream); }
    void probe(const ServerId&, const std::string&) override {}
    int fetched = 0;
    std::string followed;
    void fetch_list() override { ++fetched; }
    void follow(const std::string& discovery) override { followed = discovery; }
};

struct Stage {
    test::Quiet quiet;
    test::HandClock clock;
    Ear ear;
    Core core{test::terms(), test::names(), 7, ear, quiet.log};

    void turn(std::vector<Arrival> arrivals = {}) {
        std::vector<Inbox::Item> items;
        for (auto& arrival : arrivals) items.push_back({clock.now(), std::move(arrival)});
        core.turn(items, clock.now());
        core.note_lag(items, clock.now());
    }
    void run(int ms) {
        const Instant end = clock.now() + Span{ms * 10};
        while (core.next_due() && *core.next_due() <= end) {
            clock.tenths = core.next_due()->time_since_epoch().count();
            turn();
        }
        clock.tenths = end.time_since_epoch().count();
    }
    static Arrival told(const std::string& text) {
        return arrival::ListTold{protocol::ListReader(test::names()).read(text).value()};
    }
    static Arrival begun(std::uint64_t stream, int proxy, bool standing = true) {
        return arrival::StreamBegun{{stream}, {{proxy}, {0}, 5, standing}};
    }
    std::string said(std::uint64_t stream) { return std::exchange(ear.written[{stream}], ""); }
    bool names(std::uint64_t stream, const char* text) {
        return said(stream).find(text) != std::string::npos;
    }
};

std::string change(int version, const char* state, long long started_ms = 0) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"full":false,"servers":[{"id":"s-1","addr":"h:1","zone":"a","kind":"m1","state":")" + state +
           R"(","weight":1,"started_ms":)" + std::to_string(started_ms) + "}]}";
}

}  // namespace

TEST_CASE("a joined proxy is bound; of a replaced stream nothing counts any more") {
    Stage stage;
    stage.turn({Stage::told(test::kList)});
    stage.turn({Stage::begun(1, 3)});
    CHECK(stage.names(1, "full=1 endpoints=s-1:"));
    // The new stream comes before the old one's end, and both at once.
    stage.turn({Stage::begun(5, 3, false), arrival::StreamEnded{{1}, "reset"}});
    CHECK(stage.ear.closed == std::vector<StreamId>{{1}});
    CHECK(stage.names(5, "full=1 endpoints=s-1:"));
    // An older connection whose first line was read late, then its end.
    stage.turn({Stage::begun(4, 3), arrival::StreamEnded{{4}, "its end"}});
    CHECK(stage.ear.closed.back() == StreamId{4});
    stage.run(1'000);
    stage.turn({Stage::told(change(42, "draining"))});
    CHECK(stage.names(5, "eject=s-1"));
    CHECK((stage.said(1).empty() && stage.said(4).empty()));
    stage.turn({arrival::StreamEnded{{5}, "its end"}});
    stage.turn({Stage::told(change(43, "up"))});
    stage.run(1'000);
    CHECK(stage.said(5).empty());
}

TEST_CASE("what an earlier life shut out is let back once its proxy is taken back") {
    Stage stage;
    const auto start = stage.clock.now().time_since_epoch().count() / 10 - 60'000;  // ms; warm by now
    stage.turn({Stage::told(test::kList), Stage::told(change(42, "up", start))});
    stage.turn({Stage::begun(1, 3, false)});
    CHECK(stage.names(1, "restore=s-1"));
}

TEST_CASE("changes of an older version are dropped; an entry that can't be used leaves what was known") {
    Stage stage;
    stage.turn({Stage::told(test::kList), Stage::begun(1, 0)});
    stage.said(1);
    stage.turn({Stage::told(change(41, "draining")), Stage::told(change(12, "removed"))});
    stage.run(500);
    CHECK(!stage.names(1, "eject"));
    std::string odd = test::kList;
    odd.replace(odd.find("\"up\""), 4, "\"??\"");
    stage.turn({Stage::told(odd)});
    stage.run(500);
    CHECK(!stage.names(1, "eject"));
    const auto without = test::kList.substr(test::kList.find("{\"id\":\"s-2"));
    stage.turn({Stage::told(R"({"version":50,"full":true,"servers":[)" + without)});
    stage.run(500);
    CHECK(stage.names(1, "eject=s-1"));
}

TEST_CASE("a lost watch changes nothing, and the end is heard") {
    Stage stage;
    stage.turn({Stage::told(test::kList), Stage::begun(1, 0)});
    stage.said(1);
    stage.turn({arrival::WatchLost{}, arrival::ProbeEnded{{{"s-9"}, true, Span{5}}},
                arrival::StreamAnswered{{9}, {{0}, {0}}}});
    stage.run(3'000);
    CHECK(!stage.names(1, "eject"));
    CHECK(!stage.core.stopping());
    stage.turn({arrival::Stop{}});
    CHECK(stage.core.stopping());
}

TEST_CASE("a reload asks for another discovery; lists that count anew lose no server and revive none") {
    Stage stage;
    stage.turn({Stage::told(test::kList), Stage::begun(1, 0), Stage::told(change(50, "removed"))});
    CHECK(stage.names(1, "s-2:"));
    stage.turn({arrival::Reloaded{{"127.0.0.1:9", {"limits"}}}});
    CHECK(stage.ear.followed == "127.0.0.1:9");
    stage.run(3'000);
    CHECK(!stage.names(1, "eject=s-2"));
    stage.turn({Stage::told(change(50, "up"))});
    CHECK(stage.ear.fetched == 0);
    stage.turn({Stage::told(change(3, "up"))});
    CHECK(stage.ear.fetched == 1);
    stage.turn({Stage::told(test::kList)});  // version 41, with the server that is gone
    stage.run(3'000);
    CHECK(!stage.names(1, "s-1:"));
    const auto start = stage.clock.now().time_since_epoch().count() / 10;
    stage.turn({Stage::told(change(42, "up", start))});
    stage.run(20'000);
    CHECK(stage.names(1, "s-1:"));
}

TEST_CASE("servers under ever new ids and streams that come and go leave nothing behind") {
    Stage stage;
    stage.turn({Stage::told(test::kList)});
    std::uint64_t stream = 1;
    int number = 0;
    const auto entry = [](int n, const char* state) {
        return R"({"id":"n-)" + std::to_string(n) + R"(","addr":"h:1","zone":"a","kind":"m1","state":")" + state + R"("})";
    };
    const auto live = [&](int seconds) {
        for (const int end = number + seconds; number < end; ++number) {
            const std::string entries = entry(number, "up") + "," + entry(number - 4, "draining") + "," + entry(number - 8, "removed");
            stage.turn({Stage::told(R"({"version":)" + std::to_string(100 + number) + R"(,"full":false,"servers":[)" + entries + "]}"),
                        Stage::begun(++stream, number % 8, false),
                        arrival::StreamAnswered{{stream - 1}, {{(number + 7) % 8}, {number % 65'536}}},
                        arrival::Reported{event::Outcomes{{"n-" + std::to_string(number - 9)}, {0}, 3, 1, Span{30}, Span{5'000}}},
                        arrival::Reported{event::Outcomes{{"n-" + std::to_string(number - 2)}, {0}, 3, 0, Span{300}, Span{5'000}}}});
            stage.run(1'000);
            stage.ear.written.clear(), stage.ear.closed.clear();
        }
        return mallinfo2().uordblks;
    };
    const std::size_t early = live(200), late = live(600);
    CHECK(late < early + 48 * 1024);
    // Who joins now is told of those that left lately, not of all that ever did.
    stage.turn({Stage::begun(++stream, 5, false)});
    stage.run(300);
    const std::string told = stage.said(stream);
    CHECK(told.find("n-" + std::to_string(number - 1)) != std::string::npos);
    CHECK(told.find("n-" + std::to_string(number - 30)) == std::string::npos);
}

TEST_CASE("an answer to a mark that is not open is dropped, a later one covers it") {
    Outbox outbox(2);
    outbox.joined({0});
    const auto marked = [&](int mark) {
        outbox.letters({order::Withdraw{{"s-1"}, mark % 2 == 1}, order::Mark{{mark}, false}});
    };
    marked(1), marked(2), marked(3);
    CHECK(!outbox.answered({0}, {9}));
    CHECK(!outbox.answered({1}, {1}));
    CHECK(outbox.answered({0}, {2}));
    CHECK((!outbox.answered({0}, {1}) && !outbox.answered({0}, {2})));
    CHECK(outbox.answered({0}, {3}));
}

TEST_CASE("a shut-out is said once on a stream, and again on the next") {
    Outbox outbox(2);
    outbox.joined({0}), outbox.joined({1});
    const auto letters = [&] { return outbox.letters({order::Withdraw{{"s-1"}, true}}).size(); };
    CHECK(letters() == 2);
    CHECK(letters() == 0);
    outbox.left({1}), outbox.joined({1});
    CHECK(letters() == 1);
}

TEST_CASE("room follows from both limits, proxies first") {
    const Limits small = Limits::of(32, 256, 150, 3);
    CHECK((small.enough && small.connections <= 256 - Limits::kSocketsKept && small.unidentified >= 32));
    CHECK(small.connections - small.unidentified >= 156);
    const std::size_t buffers = small.connections + small.line_buffers * 2 + small.out_buffers;
    CHECK(small.connections * (Limits::kConnection - protocol::Pool::kBlock) + buffers * protocol::Pool::kBlock + Limits::kProgram <=
          std::size_t{32} << 20);
    const Limits wide = Limits::of(192, 1024, 400, 3);
    CHECK((wide.enough && wide.connections > 500));
    CHECK((!Limits::of(32, 256, 400, 3).enough && Limits::of(1, 1, 400, 3).connections > 0));
}

TEST_CASE("a start file is read, and what it lacks is named") {
    const auto none = [](const char*) -> const char* { return nullptr; };
    const std::string settings =
        R"("settings":{"classes":[{"name":"lookup","aim_us":1500000}],"zones":["a","b"],"kinds":["m1"],)"
        R"("family_info":{"data_plane_size":4}})";
    const auto text = [&](const std::string& without = "") {
        std::string all = "{";
        for (const std::string& part :
             {std::string(R"("name":"n3")"), std::string(R"("listen":"127.0.0.1:0")"),
              std::string(R"("discovery":"127.0.0.1:1")"), std::string(R"("seed":"8c1f30d27a5be964")"),
              std::string(R"("limits":{"sockets":1024,"memory_mb":192})"), R"("known":)" + test::kList, settings}) {
            if (without.empty() || !part.starts_with('"' + without + '"'))
                all += (all.size() > 1 ? "," : "") + part;
        }
        return all + "}";
    };
    const StartFile start = read_start_text(text(), none);
    CHECK((start.name == "n3" && start.seed == 0x8c1f30d27a5be964 && start.sockets == 1024));
    CHECK((start.terms.proxies == 4 && start.names.methods.size() == 1 &&
           start.known.list.servers.size() == 2));
    const auto set = [](const char* name) { return std::string_view(name) == "LB_NAME" ? "n9" : nullptr; };
    CHECK(read_start_text(text(), set).name == "n9");
    for (const std::string key : {"name", "listen", "discovery", "seed", "limits", "known", "settings"}) {
        CHECK_THROWS_WITH(read_start_text(text(key), none), Catch::Contains(key));
    }
    // Read again: discovery alone counts, before any variable; what else differs is named.
    const Reread same = reread_start_text(text(), start);
    CHECK((same.discovery == "127.0.0.1:1" && same.unheeded.empty()));
    std::string other = text("known");
    other.replace(other.find("127.0.0.1:1"), 11, "127.0.0.1:2").replace(other.find("1024"), 4, "2048");
    const Reread reread = reread_start_text(other, start);
    CHECK((reread.discovery == "127.0.0.1:2" && reread.unheeded == std::vector<std::string>{"limits"}));
    CHECK_THROWS_AS(reread_start_text(other.substr(0, other.size() / 2), start), BadStart);
    CHECK_THROWS_WITH(reread_start_text(text("discovery"), start), Catch::Contains("discovery"));
    CHECK_THROWS_AS(read_start_text("", none), BadStart);
    CHECK_THROWS_AS(read_start_text("{\"seed\":", none), BadStart);
    CHECK_THROWS_WITH(read_start_file(none), Catch::Contains("LB_CONFIG"));
    CHECK_THROWS_WITH(read_start_file([](const char*) { return "/nowhere"; }), Catch::Contains("/nowhere"));
}
