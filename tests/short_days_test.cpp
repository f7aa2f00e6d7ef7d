// Repeats situations of the standing test's short days on real sockets: a reload that changes
// discovery's address, a discovery that falls silent late, resets right after accept, messages in
// pieces, and many planners with cold servers. Interleavings are forced through SyncPoints.
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "fake_proxy.hpp"
#include "net/health_check_runner.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

constexpr auto kDrainGrace = 2s;  // as in test::sample_settings()

struct ServerEntry {
    std::string server, state = "up";
    std::int64_t started_ms = 0;
};

std::string list_text(int version, bool full, const std::vector<ServerEntry>& servers) {
    std::string text = "{\"version\":" + std::to_string(version) +
                       ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
    for (const ServerEntry& entry : servers) {
        text += text.ends_with('[') ? "" : ",";
        text +=
            "{\"id\":\"" + entry.server +
            "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":0,\"state\":\"" +
            entry.state + "\",\"weight\":1.0,\"started_ms\":" + std::to_string(entry.started_ms) +
            "}";
    }
    return text + "]}\n";
}

const std::string kDrainUpdate = list_text(43, false, {{"s-1", "draining"}});

StartConfiguration configuration_with(const std::string& discovery,
                                      const std::vector<ServerEntry>& servers) {
    StartConfiguration start = start_configuration(discovery);
    start.initial_list =
        *protocol::EndpointListReader(start.names).read(list_text(41, true, servers));
    return start;
}

Proxies join_proxies(const PlannerProcess& process, int number) {
    Proxies proxies;
    for (int n = 0; n < number; ++n) {
        proxies.push_back(std::make_unique<FakeProxy>(process.address(), n));
    }
    require_for_all(proxies, 10s, "a table",
                    [](const FakeProxy& proxy) { return proxy.has_table(); });
    return proxies;
}

void require_drained(const Proxies& proxies, const std::string& server,
                     std::chrono::milliseconds within = kDrainGrace) {
    require_for_all(proxies, within, "the drain of " + server, [&](const FakeProxy& proxy) {
        return !proxy.may_send_to(server) && proxy.has_table();
    });
}

// Reloads a start file with this discovery, as SIGHUP does.
void reload_with_discovery(PlannerProcess& process, const std::string& discovery) {
    static const std::string file =
        "/tmp/micaroad-short-days-" + std::to_string(::getpid()) + ".json";
    std::ofstream(file) << R"({"discovery":")" << discovery << "\"}";
    process.reload([](const char* name) {
        return std::string_view(name) == "LB_CONFIG" ? file.c_str() : nullptr;
    });
    std::remove(file.c_str());
}

}  // namespace

TEST_CASE(
    "after a reload, a drain that only the new discovery lists reaches every proxy within the "
    "drain grace") {
    const SyncPoint point = GENERATE(SyncPoint::watch_registered, SyncPoint::watch_connected,
                                     SyncPoint::watch_requested, SyncPoint::watch_responded);
    FakeHttpServer old({kWatchHeader + chunk(empty_update(42))}),
        moved({kWatchHeader + chunk(kDrainUpdate)});
    old.start(), moved.start();
    RunningPlanner planner(text_of(old.listener.local()),
                           configuration_with("", {{"s-1"}, {"s-2"}, {"s-3"}}));
    const Proxies proxies = join_proxies(planner.process, 6);
    old.connection(0);
    planner.sync.block_at(point);
    reload_with_discovery(planner.process, text_of(moved.listener.local()));
    planner.sync.await(point);
    // The old discovery still sends the list from before the drain; if the planner has already left
    // it, that has no effect.
    old.connection(0).send_now(chunk("\n") +
                               chunk(list_text(42, true, {{"s-1"}, {"s-2"}, {"s-3"}})));
    if (point == SyncPoint::watch_responded) {
        require_drained(proxies, "s-1");  // whatever the old watch's thread does
    }
    planner.sync.release(point);
    require_drained(proxies, "s-1");
    const auto drained_at = steady_clock::now();
    CHECK(wait_for_close(old.connection(0)));
    const FakeProxy late(planner.process.address(), 7);
    while (!late.has_table() && steady_clock::now() < drained_at + 5s) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(late.has_table());
    CHECK(!late.was_allowed_to_send_to("s-1", drained_at));
    check_never_allowed(proxies, "s-1", drained_at);
}

TEST_CASE(
    "a drain stays in force while discovery is silent and when the complete list arrives after "
    "that") {
    const bool removed = GENERATE(false, true);
    const std::vector<ServerEntry> draining{{"s-1", "draining"}, {"s-2"}, {"s-3"}},
        without_server{{"s-2"}, {"s-3"}};
    FakeHttpServer discovery({kWatchHeader + chunk(kDrainUpdate), kWatchHeader,
                              kWatchHeader +
                                  chunk(list_text(44, true, removed ? without_server : draining)) +
                                  chunk("\n")});
    discovery.start();
    WatchTimeouts timeouts;
    timeouts.idle = 150ms, timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms;
    RunningPlanner planner(text_of(discovery.listener.local()),
                           configuration_with("", {{"s-1"}, {"s-2"}, {"s-3"}}), timeouts);
    Proxies proxies = join_proxies(planner.process, 4);
    require_drained(proxies, "s-1");
    const auto drained_at = steady_clock::now();
    for (int beat = 0; beat < 10; ++beat) {
        REQUIRE(discovery.connection(0).send_all(chunk("\n")));
        std::this_thread::sleep_for(30ms);
    }
    CHECK(discovery.responses_sent == 1);  // the first connection lasted longer than timeouts.idle
    planner.sync.block_at(SyncPoint::watch_responded);
    planner.sync.await(SyncPoint::watch_responded);  // silent, which is not evaluated yet
    proxies.push_back(std::make_unique<FakeProxy>(planner.process.address(), 4));
    require_drained(proxies, "s-1");
    planner.sync.release(SyncPoint::watch_responded);
    discovery.connection(2);  // the complete list has been sent
    proxies.push_back(std::make_unique<FakeProxy>(planner.process.address(), 5));
    require_drained(proxies, "s-1");
    std::this_thread::sleep_for(300ms);  // time for a wrong update to arrive
    check_never_allowed(proxies, "s-1", drained_at);
    CHECK(discovery.stop_and_get_requests().at(2) ==
          "GET /catalog/members?stream=1&index=43 HTTP/1.1");
}

// ---- resets right after accept

TEST_CASE("a peer that resets right after accept does not affect other peers") {
    const SyncPoint point = GENERATE(SyncPoint::connection_accepted, SyncPoint::connection_listed,
                                     SyncPoint::connection_ready);
    const bool sends_join = GENERATE(false, true);
    NetFixture fixture;
    Acceptor acceptor(fixture.context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket other = dial(acceptor.address());
    other.send_all(hello(1));
    const StreamId stream = fixture.expect_next<core_event::StreamOpened>().stream;
    constexpr int kRounds = 5;
    for (int n = 0; n < kRounds; ++n) {
        fixture.sync.block_at(point);
        Socket peer = dial(acceptor.address());
        if (sends_join) {
            peer.send_all(hello(5));
        }
        // The thread reaches connection_ready only through the reset or the join before it.
        if (point != SyncPoint::connection_ready) {
            fixture.sync.await(point);
        }
        close_with_reset(std::move(peer));
        if (point == SyncPoint::connection_ready) {
            fixture.sync.await(point);
        }
        fixture.sync.release(point);
        other.send_all(demand_report(1));
        REQUIRE(answers_probe(other));
    }
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(receive_bytes(other, 18) == "push nonce_out=1\r\n");
    other.end_sending();
    int demand_reports = 0, opened = 0, closed = 0;
    for (bool other_closed = false; !other_closed || closed < opened + 1;) {
        const auto items = fixture.inbox.wait(clock_now()() + Duration{100'000});
        REQUIRE(!items.empty());
        for (const auto& item : items) {
            demand_reports += std::holds_alternative<core_event::ReportReceived>(item.event);
            opened += std::holds_alternative<core_event::StreamOpened>(item.event);
            const auto* stream_closed = std::get_if<core_event::StreamClosed>(&item.event);
            closed += stream_closed != nullptr;
            other_closed |= stream_closed != nullptr && stream_closed->stream == stream;
        }
    }
    acceptor.shutdown();
    CHECK(demand_reports == kRounds);
    CHECK(opened <= (sends_join ? kRounds : 0));
    CHECK(closed == opened + 1);  // every stream that was opened, and the other peer's
}

TEST_CASE_METHOD(
    NetFixture,
    "a discovery that resets right after accept is connected to again, from the version held") {
    const SyncPoint point = GENERATE(SyncPoint::watch_connected, SyncPoint::watch_requested);
    const Socket listener = Socket::listen(*address_of("127.0.0.1:0")).value();
    REQUIRE(listener.is_open());
    WatchTimeouts timeouts;
    timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms;
    DiscoveryWatch watch("d", listener.local(), names, 41, kMaxListBytes, read_buffers, inbox,
                         quiet.log, timeouts, &sync);
    sync.block_at(point);
    REQUIRE(watch.start());
    sync.await(point);
    close_with_reset(Socket(::accept(listener.fd(), nullptr, nullptr)));
    sync.release(point);
    const Socket again(::accept(listener.fd(), nullptr, nullptr));
    const std::string request = "GET /catalog/members?stream=1&index=41 HTTP/1.1\r\n";
    CHECK(receive_bytes(again, request.size()) == request);
    again.send_all(kWatchHeader + chunk(empty_update(42)));
    expect_next<core_event::WatchLost>();
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 42);
    watch.stop();
}

TEST_CASE_METHOD(NetFixture, "a server that resets right after accept fails its health check") {
    const Socket server = Socket::listen(*address_of("127.0.0.1:0")).value();
    REQUIRE(server.is_open());
    HealthCheckRunner health_checks(read_buffers, inbox, clock_now(), &sync);
    sync.block_at(SyncPoint::health_check_connected);
    health_checks.start_check({"s-1"}, text_of(server.local()));
    sync.await(SyncPoint::health_check_connected);
    close_with_reset(Socket(::accept(server.fd(), nullptr, nullptr)));
    sync.release(SyncPoint::health_check_connected);
    CHECK(!expect_next<core_event::HealthCheckCompleted>().result.healthy);
}

// ---- messages in pieces

TEST_CASE_METHOD(NetFixture,
                 "messages that arrive in single bytes or odd pieces count like whole ones") {
    const std::vector<std::vector<std::size_t>> piece_sizes{{1}, {2, 3, 1}, {7, 1, 30}, {1'000}};
    Acceptor acceptor(context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    struct Peer {
        Socket socket;
        std::string unsent;
        std::vector<std::size_t> sizes;
        std::size_t sent = 0;
    };
    std::vector<Peer> peers;
    for (std::size_t n = 0; n < piece_sizes.size(); ++n) {
        const int proxy = static_cast<int>(n);
        peers.push_back({dial(acceptor.address()),
                         hello(proxy) + acknowledgement(proxy, 1) + demand_report(proxy) +
                             acknowledgement(proxy, 2),
                         piece_sizes[n]});
        peers.push_back({dial(acceptor.address()),
                         "agent az=a\r\noutcomes az=a host=s-" + std::to_string(n) +
                             " n=4 bad=1 avg=30 window=500\r\nprobe\r\n",
                         piece_sizes[n]});
    }
    // Sends a piece of each peer in turn. Each piece is read before the next one is sent, so that
    // the kernel never merges two.
    for (bool any = true; any;) {
        any = false;
        for (Peer& peer : peers) {
            if (peer.unsent.empty()) {
                continue;
            }
            any = true;
            sync.block_at(SyncPoint::bytes_received);
            const std::string piece =
                peer.unsent.substr(0, peer.sizes[peer.sent++ % peer.sizes.size()]);
            peer.unsent.erase(0, piece.size());
            REQUIRE(peer.socket.send_all(piece));
            sync.await(SyncPoint::bytes_received);
            sync.release(SyncPoint::bytes_received);
        }
    }
    for (std::size_t n = 1; n < peers.size(); n += 2) {
        CHECK(receive_bytes(peers[n].socket, 7) == "alive\r\n");
    }
    // The only event loop answers this probe after it has handled what it read before.
    REQUIRE(answers_probe(dial(acceptor.address())));
    std::map<StreamId, std::vector<int>> nonces_by_stream;  // 0 stands for the join
    std::set<std::string> servers;
    std::set<ProxyId> proxies;
    int demand_reports = 0;
    inbox.put(core_event::StopRequested{});
    for (const auto& item : inbox.wait({})) {
        if (const auto* opened = std::get_if<core_event::StreamOpened>(&item.event)) {
            proxies.insert(opened->joined.proxy);
            nonces_by_stream[opened->stream].push_back(0);
        } else if (const auto* acknowledged =
                       std::get_if<core_event::StreamAcknowledged>(&item.event)) {
            nonces_by_stream[acknowledged->stream].push_back(
                acknowledged->acknowledgement.nonce.value);
        } else if (const auto* report = std::get_if<core_event::ReportReceived>(&item.event)) {
            if (const auto* load_report = std::get_if<event::EndpointLoadReport>(&report->report)) {
                servers.insert(load_report->server.value);
            } else {
                ++demand_reports;
            }
        } else {
            CHECK(std::holds_alternative<core_event::StopRequested>(item.event));
        }
    }
    CHECK(proxies.size() == piece_sizes.size());
    CHECK(demand_reports == static_cast<int>(piece_sizes.size()));
    CHECK(servers == std::set<std::string>{"s-0", "s-1", "s-2", "s-3"});
    REQUIRE(nonces_by_stream.size() == piece_sizes.size());
    for (const auto& [stream, nonces] : nonces_by_stream) {
        CHECK(nonces == std::vector<int>{0, 1, 2});
    }
}

// ---- many planners

TEST_CASE(
    "each of twenty planners responds and serves its proxies, however many servers are cold") {
    constexpr int kPlanners = 20, kProxiesPerPlanner = 2;
    const int cold = GENERATE(2, 6);  // of six
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::vector<ServerEntry> servers;
    for (int n = 0; n < 6; ++n) {
        servers.push_back({"s-" + std::to_string(n), "up", n < cold ? started : 0});
    }
    FakeHttpServer discovery(
        std::vector<std::string>(kPlanners, kWatchHeader + chunk(list_text(42, true, servers))));
    discovery.start();
    std::vector<std::unique_ptr<RunningPlanner>> planners;
    for (int n = 0; n < kPlanners; ++n) {
        StartConfiguration start = configuration_with("", servers);
        start.settings.planner_count = kPlanners,
        start.settings.proxy_count = kPlanners * kProxiesPerPlanner;
        start.bounds.proxies = start.settings.proxy_count;
        planners.push_back(std::make_unique<RunningPlanner>(
            text_of(discovery.listener.local()), start, WatchTimeouts{}, clock_from_now()));
    }
    Proxies proxies;
    for (int n = 0; n < kPlanners; ++n) {
        const Address address = planners[static_cast<std::size_t>(n)]->process.address();
        CHECK(answers_probe(dial(address)));
        for (int i = 0; i < kProxiesPerPlanner; ++i) {
            proxies.push_back(std::make_unique<FakeProxy>(address, n * kProxiesPerPlanner + i));
        }
    }
    require_for_all(proxies, 10s, "a table",
                    [](const FakeProxy& proxy) { return proxy.has_table(); });
    discovery.connection(kPlanners - 1);  // each planner has received the list
    // All servers but one are drained, on one planner after the other: no proxy is left without a
    // server.
    std::vector<ServerEntry> drained(servers.begin(), servers.end() - 1);
    for (ServerEntry& server : drained) {
        server.state = "draining";
    }
    for (int n = 0; n < kPlanners; ++n) {
        REQUIRE(discovery.connection(static_cast<std::size_t>(n))
                    .send_all(chunk(list_text(43, false, drained))));
    }
    for (const ServerEntry& server : drained) {
        require_drained(proxies, server.server);
    }
    for (const auto& planner : planners) {
        CHECK(planner->stop() < 2s);
    }
}
