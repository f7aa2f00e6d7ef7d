// The short days of the standing test, on real sockets: a reload that moves discovery, a discovery
// that falls silent late, ends right after accept, bytes in pieces, and many planners with cold
// servers. Crossings are forced through SyncPoints.
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "fake_proxy.hpp"
#include "net/health_check_runner.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

constexpr auto kGrace = 2s;  // as test::sample_settings() has it

struct Listed {
    std::string server, state = "up";
    std::int64_t started_ms = 0;
};

std::string list_of(int version, bool full, const std::vector<Listed>& servers) {
    std::string text = "{\"version\":" + std::to_string(version) +
                       ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
    for (const Listed& one : servers) {
        text += text.ends_with('[') ? "" : ",";
        text +=
            "{\"id\":\"" + one.server +
            "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":0,\"state\":\"" +
            one.state + "\",\"weight\":1.0,\"started_ms\":" + std::to_string(one.started_ms) + "}";
    }
    return text + "]}\n";
}

const std::string kDrain = list_of(43, false, {{"s-1", "draining"}});

StartConfiguration started_with(const std::string& discovery, const std::vector<Listed>& servers) {
    StartConfiguration start = start_file(discovery);
    start.initial_list =
        *protocol::EndpointListReader(start.names).read(list_of(41, true, servers));
    return start;
}

Proxies joined(const PlannerProcess& program, int number) {
    Proxies proxies;
    for (int n = 0; n < number; ++n) {
        proxies.push_back(std::make_unique<FakeProxy>(program.address(), n));
    }
    require_for_all(proxies, 10s, "a table",
                    [](const FakeProxy& proxy) { return proxy.has_table(); });
    return proxies;
}

void require_drained(const Proxies& proxies, const std::string& server,
                     std::chrono::milliseconds within = kGrace) {
    require_for_all(proxies, within, "the drain of " + server, [&](const FakeProxy& proxy) {
        return !proxy.may_send_to(server) && proxy.has_table();
    });
}

// As SIGHUP does, of a file that names this discovery.
void reload_to(PlannerProcess& program, const std::string& discovery) {
    static const std::string file =
        "/tmp/micaroad-short-days-" + std::to_string(::getpid()) + ".json";
    std::ofstream(file) << R"({"discovery":")" << discovery << "\"}";
    program.reload([](const char* name) {
        return std::string_view(name) == "LB_CONFIG" ? file.c_str() : nullptr;
    });
    std::remove(file.c_str());
}

}  // namespace

TEST_CASE(
    "after a reload a drain that only the new discovery tells reaches every proxy within the "
    "grace") {
    const SyncPoint point = GENERATE(SyncPoint::watch_registered, SyncPoint::watch_connected,
                                     SyncPoint::watch_requested, SyncPoint::watch_responded);
    Discovery old({kWatch + chunk(version(42))}), moved({kWatch + chunk(kDrain)});
    old.begin(), moved.begin();
    Running planner(text_of(old.listener.local()), started_with("", {{"s-1"}, {"s-2"}, {"s-3"}}));
    const Proxies proxies = joined(planner.program, 6);
    old.connection(0);
    planner.sync.hold(point);
    reload_to(planner.program, text_of(moved.listener.local()));
    planner.sync.await(point);
    // The old one still speaks, of a time before the drain; where it has been left, nobody hears
    // it.
    old.connection(0).send_now(chunk("\n") + chunk(list_of(42, true, {{"s-1"}, {"s-2"}, {"s-3"}})));
    if (point == SyncPoint::watch_responded) {
        require_drained(proxies, "s-1");  // whatever becomes of the old one's thread
    }
    planner.sync.let_go(point);
    require_drained(proxies, "s-1");
    const auto since = steady_clock::now();
    CHECK(ended(old.connection(0)));
    const FakeProxy late(planner.program.address(), 7);
    while (!late.has_table() && steady_clock::now() < since + 5s) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(late.has_table());
    CHECK(!late.was_allowed_to_send_to("s-1", since));
    check_never_allowed(proxies, "s-1", since);
}

TEST_CASE("a drain stands while discovery falls silent late, and when its list then comes whole") {
    const bool removed = GENERATE(false, true);
    const std::vector<Listed> still{{"s-1", "draining"}, {"s-2"}, {"s-3"}}, gone{{"s-2"}, {"s-3"}};
    Discovery discovery({kWatch + chunk(kDrain), kWatch,
                         kWatch + chunk(list_of(44, true, removed ? gone : still)) + chunk("\n")});
    discovery.begin();
    WatchTimeouts timeouts;
    timeouts.idle = 150ms, timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms;
    Running planner(text_of(discovery.listener.local()),
                    started_with("", {{"s-1"}, {"s-2"}, {"s-3"}}), timeouts);
    Proxies proxies = joined(planner.program, 4);
    require_drained(proxies, "s-1");
    const auto since = steady_clock::now();
    for (int beat = 0; beat < 10; ++beat) {
        REQUIRE(discovery.connection(0).send_all(chunk("\n")));
        std::this_thread::sleep_for(30ms);
    }
    CHECK(discovery.taken == 1);  // it has been listened to for longer than a silence may last
    planner.sync.hold(SyncPoint::watch_responded);
    planner.sync.await(SyncPoint::watch_responded);  // silent, and nothing was made of that yet
    proxies.push_back(std::make_unique<FakeProxy>(planner.program.address(), 4));
    require_drained(proxies, "s-1");
    planner.sync.let_go(SyncPoint::watch_responded);
    discovery.connection(2);  // the whole list has been written
    proxies.push_back(std::make_unique<FakeProxy>(planner.program.address(), 5));
    require_drained(proxies, "s-1");
    std::this_thread::sleep_for(300ms);  // what is not to come has time to
    check_never_allowed(proxies, "s-1", since);
    CHECK(discovery.all_asked().at(2) == "GET /catalog/members?stream=1&index=43 HTTP/1.1");
}

// ---- ends right after accept

TEST_CASE("a peer that resets right after it was accepted costs no other peer anything") {
    const SyncPoint point = GENERATE(SyncPoint::connection_accepted, SyncPoint::connection_listed,
                                     SyncPoint::connection_ready);
    const bool has_spoken = GENERATE(false, true);
    Base base;
    Acceptor acceptor(base.context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket good = dial(acceptor.address());
    good.send_all(hello(1));
    const StreamId stream = base.next<core_event::StreamOpened>().stream;
    constexpr int kTimes = 5;
    for (int n = 0; n < kTimes; ++n) {
        base.sync.hold(point);
        Socket peer = dial(acceptor.address());
        if (has_spoken) {
            peer.send_all(hello(5));
        }
        // The last place is reached by the reset itself, or by what was said before it.
        if (point != SyncPoint::connection_ready) {
            base.sync.await(point);
        }
        reset(std::move(peer));
        if (point == SyncPoint::connection_ready) {
            base.sync.await(point);
        }
        base.sync.let_go(point);
        good.send_all(usage(1));
        REQUIRE(alive(good));
    }
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(read_some(good, 18) == "push nonce_out=1\r\n");
    good.end_sending();
    int usages = 0, begun = 0, over = 0;
    for (bool good_has_left = false; !good_has_left || over < begun + 1;) {
        const auto items = base.inbox.wait(clock_now()() + Duration{100'000});
        REQUIRE(!items.empty());
        for (const auto& item : items) {
            usages += std::holds_alternative<core_event::ReportReceived>(item.event);
            begun += std::holds_alternative<core_event::StreamOpened>(item.event);
            const auto* left = std::get_if<core_event::StreamClosed>(&item.event);
            over += left != nullptr;
            good_has_left |= left != nullptr && left->stream == stream;
        }
    }
    acceptor.shutdown();
    CHECK(usages == kTimes);
    CHECK(begun <= (has_spoken ? kTimes : 0));
    CHECK(over == begun + 1);  // each that joined has left, and so has the good one
}

TEST_CASE_METHOD(
    Base,
    "a discovery that resets right after accept is dialled again, from the version that is held") {
    const SyncPoint point = GENERATE(SyncPoint::watch_connected, SyncPoint::watch_requested);
    const Socket listener = Socket::listen(*address_of("127.0.0.1:0")).value();
    REQUIRE(listener.is_open());
    WatchTimeouts timeouts;
    timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms;
    DiscoveryWatch watch("d", listener.local(), names, 41, kListBytes, pool, inbox, quiet.log,
                         timeouts, &sync);
    sync.hold(point);
    REQUIRE(watch.start());
    sync.await(point);
    reset(Socket(::accept(listener.fd(), nullptr, nullptr)));
    sync.let_go(point);
    const Socket again(::accept(listener.fd(), nullptr, nullptr));
    const std::string asked = "GET /catalog/members?stream=1&index=41 HTTP/1.1\r\n";
    CHECK(read_some(again, asked.size()) == asked);
    again.send_all(kWatch + chunk(version(42)));
    next<core_event::WatchLost>();
    CHECK(next<core_event::EndpointListReceived>().message.version == 42);
    watch.stop();
}

TEST_CASE_METHOD(Base, "a server that resets right after accept has not answered its probe") {
    const Socket server = Socket::listen(*address_of("127.0.0.1:0")).value();
    REQUIRE(server.is_open());
    HealthCheckRunner health_checks(pool, inbox, clock_now(), &sync);
    sync.hold(SyncPoint::health_check_connected);
    health_checks.start_check({"s-1"}, text_of(server.local()));
    sync.await(SyncPoint::health_check_connected);
    reset(Socket(::accept(server.fd(), nullptr, nullptr)));
    sync.let_go(SyncPoint::health_check_connected);
    CHECK(!next<core_event::HealthCheckCompleted>().result.healthy);
}

// ---- bytes in pieces

TEST_CASE_METHOD(Base, "messages in single bytes and odd cuts count as those that come whole") {
    const std::vector<std::vector<std::size_t>> cuts{{1}, {2, 3, 1}, {7, 1, 30}, {1'000}};
    Acceptor acceptor(context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    struct Peer {
        Socket socket;
        std::string rest;
        std::vector<std::size_t> sizes;
        std::size_t sent = 0;
    };
    std::vector<Peer> peers;
    for (std::size_t n = 0; n < cuts.size(); ++n) {
        const int proxy = static_cast<int>(n);
        peers.push_back({dial(acceptor.address()),
                         hello(proxy) + answer(proxy, 1) + usage(proxy) + answer(proxy, 2),
                         cuts[n]});
        peers.push_back({dial(acceptor.address()),
                         "agent az=a\r\noutcomes az=a host=s-" + std::to_string(n) +
                             " n=4 bad=1 avg=30 window=500\r\nprobe\r\n",
                         cuts[n]});
    }
    // A piece of each in turn; each piece is read before its next one is sent, so none is joined
    // with another.
    for (bool any = true; any;) {
        any = false;
        for (Peer& peer : peers) {
            if (peer.rest.empty()) {
                continue;
            }
            any = true;
            sync.hold(SyncPoint::bytes_received);
            const std::string piece =
                peer.rest.substr(0, peer.sizes[peer.sent++ % peer.sizes.size()]);
            peer.rest.erase(0, piece.size());
            REQUIRE(peer.socket.send_all(piece));
            sync.await(SyncPoint::bytes_received);
            sync.let_go(SyncPoint::bytes_received);
        }
    }
    for (std::size_t n = 1; n < peers.size(); n += 2) {
        CHECK(read_some(peers[n].socket, 7) == "alive\r\n");
    }
    REQUIRE(
        alive(dial(acceptor.address())));  // the one event loop has taken what it had read before
    std::map<StreamId, std::vector<int>> of_stream;  // marks; 0 for the joining
    std::set<std::string> servers;
    std::set<ProxyId> proxies;
    int usages = 0;
    inbox.put(core_event::StopRequested{});
    for (const auto& item : inbox.wait({})) {
        if (const auto* begun = std::get_if<core_event::StreamOpened>(&item.event)) {
            proxies.insert(begun->joined.proxy);
            of_stream[begun->stream].push_back(0);
        } else if (const auto* answered =
                       std::get_if<core_event::StreamAcknowledged>(&item.event)) {
            of_stream[answered->stream].push_back(answered->acknowledgement.nonce.value);
        } else if (const auto* reported = std::get_if<core_event::ReportReceived>(&item.event)) {
            if (const auto* met = std::get_if<event::EndpointLoadReport>(&reported->report)) {
                servers.insert(met->server.value);
            } else {
                ++usages;
            }
        } else {
            CHECK(std::holds_alternative<core_event::StopRequested>(item.event));
        }
    }
    CHECK(proxies.size() == cuts.size());
    CHECK(usages == static_cast<int>(cuts.size()));
    CHECK(servers == std::set<std::string>{"s-0", "s-1", "s-2", "s-3"});
    REQUIRE(of_stream.size() == cuts.size());
    for (const auto& [stream, marks] : of_stream) {
        CHECK(marks == std::vector<int>{0, 1, 2});
    }
}

// ---- many planners

TEST_CASE("each of twenty planners answers and serves its proxies, however many servers are cold") {
    constexpr int kPlanners = 20, kProxiesOfEach = 2;
    const int cold = GENERATE(2, 6);  // of six
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::vector<Listed> servers;
    for (int n = 0; n < 6; ++n) {
        servers.push_back({"s-" + std::to_string(n), "up", n < cold ? started : 0});
    }
    Discovery discovery(
        std::vector<std::string>(kPlanners, kWatch + chunk(list_of(42, true, servers))));
    discovery.begin();
    std::vector<std::unique_ptr<Running>> planners;
    for (int n = 0; n < kPlanners; ++n) {
        StartConfiguration start = started_with("", servers);
        start.settings.planner_count = kPlanners,
        start.settings.proxy_count = kPlanners * kProxiesOfEach;
        start.bounds.proxies = start.settings.proxy_count;
        planners.push_back(std::make_unique<Running>(text_of(discovery.listener.local()), start,
                                                     WatchTimeouts{}, clock_from_now()));
    }
    Proxies proxies;
    for (int n = 0; n < kPlanners; ++n) {
        const Address address = planners[static_cast<std::size_t>(n)]->program.address();
        CHECK(alive(dial(address)));
        for (int i = 0; i < kProxiesOfEach; ++i) {
            proxies.push_back(std::make_unique<FakeProxy>(address, n * kProxiesOfEach + i));
        }
    }
    require_for_all(proxies, 10s, "a table",
                    [](const FakeProxy& proxy) { return proxy.has_table(); });
    discovery.connection(kPlanners - 1);  // each has been told the list
    // All are drained but one, told in turn: nobody is left without a server.
    std::vector<Listed> drained(servers.begin(), servers.end() - 1);
    for (Listed& server : drained) {
        server.state = "draining";
    }
    for (int n = 0; n < kPlanners; ++n) {
        REQUIRE(discovery.connection(static_cast<std::size_t>(n))
                    .send_all(chunk(list_of(43, false, drained))));
    }
    for (const Listed& server : drained) {
        require_drained(proxies, server.server);
    }
    for (const auto& planner : planners) {
        CHECK(planner->stop() < 2s);
    }
}
