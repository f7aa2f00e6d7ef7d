// The drivers, over socket pairs and against stand-ins of our own on loopback. Waits end with what
// they wait for; their limits only keep a failing test from hanging.
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include "daemon/planner_process.hpp"
#include "net/acceptor.hpp"
#include "net/discovery_watch.hpp"
#include "net/event_loop.hpp"
#include "net/health_check_runner.hpp"
#include "net_helpers.hpp"

using namespace micaroad;
using namespace micaroad::net;
using namespace micaroad::test;
using namespace std::chrono_literals;

TEST_CASE_METHOD(Pair, "a stream's messages become arrivals, and orders go out on it") {
    for (const char c : kHello) {
        REQUIRE(peer.send_all({&c, 1}));
    }
    CHECK(next<core_event::StreamOpened>().joined.proxy == ProxyId{3});
    peer.send_all(
        "demand sidecar=3 kind=lookup n=4 bad=0 window=500\r\nack sidecar=3 version=9 "
        "lag_ms=1\r\nprobe\r\n");
    next<core_event::ReportReceived>();
    CHECK(next<core_event::StreamAcknowledged>().acknowledgement.nonce == Nonce{9});
    CHECK(read_some(peer, 7) == "alive\r\n");
    CHECK(connection->send("push nonce_out=1\r\n") == Connection::SendResult::accepted);
    CHECK(read_some(peer, 18) == "push nonce_out=1\r\n");
    peer.send_all("ack sidecar=3 ver");
    peer = Socket();
    CHECK(next<core_event::StreamClosed>().reason == "closed by peer in the middle of a line");
}

TEST_CASE_METHOD(
    Pair, "an unidentified peer is answered; what its role does not allow ends the connection") {
    peer.send_all("probe\r\n");
    CHECK(read_some(peer, 7) == "alive\r\n");
    SECTION("usage of an unidentified peer") {
        peer.send_all("demand sidecar=3 kind=lookup n=4 bad=0 window=500\r\n");
    }
    SECTION("a proxy that can't exist") {
        peer.send_all("hello sidecar=8 az=a share=2 standing=1\r\n");
    }
    SECTION("a zone that does not exist") {
        peer.send_all("agent az=z\r\n");
    }
    SECTION("an order") {
        peer.send_all("push eject=s-1\r\n");
    }
    SECTION("a line without end") {
        peer.send_all(std::string(2'000, 'x'));
    }
    SECTION("what can't be read") {
        peer.send_all("GET / HTTP/1.1\r\n\r\n");
    }
    CHECK(read_some(peer, 7) == "error\r\n");
    CHECK(ended(peer));
    CHECK(connection->role() != Role::proxy);
    loop.stop(), threads.wait();
    inbox.put(core_event::StopRequested{});
    next<core_event::StopRequested>();  // and nothing before it
}

TEST_CASE_METHOD(Pair,
                 "why a stream was ended is what it did last, not what it might have done before") {
    peer.send_all(kHello + "probe\r\nprobe\n");
    next<core_event::StreamOpened>();
    CHECK(next<core_event::StreamClosed>().reason == "line does not end in CRLF");
}

TEST_CASE_METHOD(Pair, "a spoilt line costs a stream that line, what can't be read its end") {
    const std::string good = "demand sidecar=3 kind=lookup n=4 bad=0 window=500\r\n";
    const std::string spoilt =
        "demand sidecar=4 kind=lookup n=4 bad=0 window=500\r\n" + kHello +
        "ack sidecar=3 version=x lag_ms=1\r\nagent az=a\r\nack sidecar=4 version=1 lag_ms=1\r\n"
        "demand sidecar=3 kind=lookup n=-4 bad=0 window=500\r\ndemand\r\n";
    peer.send_all(kHello + spoilt + good);
    next<core_event::StreamOpened>();
    next<core_event::ReportReceived>();
    peer.send_all(good + spoilt.substr(0, 20));
    peer.send_all("\x02\r\n");
    next<core_event::ReportReceived>();
    peer.send_all("\x02\r\n" + good);
    next<core_event::StreamClosed>();
    CHECK(ended(peer));
}

TEST_CASE_METHOD(Pair, "a spoilt report leaves a collector its connection") {
    peer.send_all(
        "agent az=a\r\nack sidecar=1 version=1 lag_ms=1\r\noutcomes az=a host=s-1 n=4 bad=9 avg=1 "
        "window=500\r\n"
        "outcomes az=a host=s-1 n=4 bad=1 avg=30 window=500\r\n");
    CHECK(std::get<event::EndpointLoadReport>(next<core_event::ReportReceived>().report).failures ==
          1);
}

TEST_CASE_METHOD(
    Base, "who has not joined in time is ended, whatever it sends, and costs a stream nothing") {
    Acceptor acceptor(context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket proxy = dial(acceptor.address());
    proxy.send_all(kHello);
    const StreamId stream = next<core_event::StreamOpened>().stream;
    const auto begun = std::chrono::steady_clock::now();
    const Socket silent = dial(acceptor.address()), asks = dial(acceptor.address()),
                 trickles = dial(acceptor.address());
    while (std::chrono::steady_clock::now() < begun + Connection::kJoinTimeout - 200ms) {
        asks.send_all("probe\r\n"), trickles.send_all("h");
        std::this_thread::sleep_for(50ms);
    }
    for (const Socket* one : {&silent, &asks, &trickles}) {
        CHECK(ended(*one));
    }
    CHECK(std::chrono::steady_clock::now() < begun + 2 * Connection::kJoinTimeout);
    // A flood of silent ones: the oldest go, each newcomer is heard, the stream stands.
    std::vector<Socket> flood;
    for (int i = 0; i < 60; ++i) {
        flood.push_back(dial(acceptor.address()));
    }
    const Socket late = dial(acceptor.address());
    late.send_all("hello sidecar=5 az=a share=2 standing=1\r\n");
    CHECK(next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(ended(flood.front()));
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(read_some(proxy, 18).size() == 18);
}

TEST_CASE_METHOD(Pair,
                 "who does not read makes nobody wait, and in the end can't be kept up with") {
    peer.send_all(kHello);
    next<core_event::StreamOpened>();
    const std::string much(64 * 1024, 'x');
    Connection::SendResult posted = Connection::SendResult::accepted;
    int number = 0;
    for (; posted == Connection::SendResult::accepted && number < 1'000; ++number) {
        posted = connection->send(much);
    }
    CHECK(posted == Connection::SendResult::peer_not_reading);
    CHECK(number >= 2);
    connection->close();
    next<core_event::StreamClosed>();
}

TEST_CASE_METHOD(Base, "the acceptor takes, sheds unidentified peers first, and ends all it took") {
    Acceptor acceptor(context(), 3, 3);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket first = dial(acceptor.address()), proxy = dial(acceptor.address());
    proxy.send_all(kHello);
    const StreamId stream = next<core_event::StreamOpened>().stream;
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(read_some(proxy, 18).size() == 18);
    const Socket collector = dial(acceptor.address());
    collector.send_all("agent az=a\r\nprobe\r\n");
    CHECK(read_some(collector, 7).size() == 7);
    const Socket fourth = dial(acceptor.address());
    CHECK(ended(first));
    fourth.send_all("probe\r\n");
    CHECK(read_some(fourth, 7).size() == 7);
    // The answer comes before the loop has let go of `fourth`, which until then counts as being
    // read and is not shed. One thread serves all connections, so an answer on another one shows
    // that it is done with this.
    collector.send_all("probe\r\n");
    CHECK(read_some(collector, 7).size() == 7);
    // A second stream of the same proxy is taken beside the first; the core ends the old one.
    const Socket again = dial(acceptor.address());
    CHECK(ended(fourth));
    again.send_all(kHello);
    CHECK(next<core_event::StreamOpened>().stream > stream);
    acceptor.close(stream);
    CHECK(next<core_event::StreamClosed>().stream == stream);
    CHECK(ended(proxy));
    // A reset, not an end.
    const linger at_once{1, 0};
    ::setsockopt(again.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    {
        const Socket gone = std::move(const_cast<Socket&>(again));
    }
    CHECK(next<core_event::StreamClosed>().reason == "reset");
    acceptor.shutdown();
    CHECK(ended(collector));
}

TEST_CASE_METHOD(
    Base,
    "a thousand proxies that dial at once all join, among unidentified peers that say nothing") {
    constexpr int kProxies = 1'000;
    rlimit files{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &files) == 0);
    files.rlim_cur = files.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &files) == 0);
    REQUIRE(files.rlim_cur > 2 * kProxies + 500);
    const protocol::Bounds wide{kProxies};
    const Limits limits = Limits::of(192, 2'944, kProxies, 3);
    Acceptor acceptor(ConnectionContext{names, wide, pool, lines, writing, inbox, quiet.log},
                      limits.max_connections, limits.max_unidentified);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    std::vector<Socket> proxies, silent;
    for (int i = 0; i < kProxies; ++i) {
        proxies.push_back(dial(acceptor.address()));
        proxies.back().send_all("hello sidecar=" + std::to_string(i) +
                                " az=a share=2 standing=1\r\n");
        if (i % 5 == 0) {
            silent.push_back(dial(acceptor.address()));
        }
    }
    std::set<StreamId> streams;
    for (int i = 0; i < kProxies; ++i) {
        streams.insert(next<core_event::StreamOpened>().stream);
    }
    CHECK(streams.size() == kProxies);
    // No thread for each: processes are given 512 of them on the fleet's days.
    const std::filesystem::directory_iterator threads("/proc/self/task");
    CHECK(std::distance(begin(threads), end(threads)) < 16);
    for (const StreamId stream : streams) {
        acceptor.write(stream, "push\r\n");
    }
    for (const Socket& proxy : proxies) {
        CHECK(read_some(proxy, 6) == "push\r\n");
    }
    acceptor.shutdown();
}

TEST_CASE_METHOD(Base, "the watch goes on through every kind of break, from the version it holds") {
    Discovery discovery(
        {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
         kWatch + chunk(version(42)) + chunk("\n"),              // then silence
         kWatch + chunk(version(43)) + "zz\r\n",                 // a broken chunk
         kWatch + chunk(version(44)) + chunk("{\"version\":4"),  // an object cut off
         kWatch + chunk("{oh}\n"),
         kWatch + chunk(version(45).substr(0, 9)) + chunk(version(45).substr(9)) + "!",
         kWatch + chunk(version(46))});
    WatchTimeouts timeouts;
    timeouts.idle = 150ms, timeouts.initial_backoff = 1ms, timeouts.max_backoff = 2ms;
    DiscoveryWatch watch("d", discovery.listener.local(), names, 41, kListBytes, pool, inbox,
                         quiet.log, timeouts);
    discovery.begin();
    REQUIRE(watch.start());
    std::vector<std::int64_t> versions;
    int lost = 0;
    while (versions.empty() || versions.back() < 46) {
        for (auto& item : inbox.wait(clock_now()() + Duration{100'000})) {
            if (const auto* told = std::get_if<core_event::EndpointListReceived>(&item.event)) {
                versions.push_back(told->message.version);
            } else {
                ++lost;
            }
        }
    }
    watch.stop();
    CHECK(versions == std::vector<std::int64_t>{42, 43, 44, 45, 46});
    CHECK(lost >= 1);
    REQUIRE(discovery.all_asked().size() == 8);
    CHECK(discovery.asked[0] == "GET /catalog/members?stream=1&index=41 HTTP/1.1");
    CHECK(discovery.asked[3] == "GET /catalog/members?stream=1&index=42 HTTP/1.1");
    CHECK(discovery.asked[7] == "GET /catalog/members?stream=1&index=45 HTTP/1.1");
}

TEST_CASE_METHOD(
    Base, "told another discovery, the watch keeps the old one until the new one has spoken") {
    Discovery old({kWatch + chunk(version(42))}), next_one({kWatch, kWatch + chunk(version(43))}),
        third({kWatch + chunk("\n")});
    WatchTimeouts timeouts;
    timeouts.idle = 300ms;
    DiscoveryWatch watch("old", old.listener.local(), names, 41, kListBytes, pool, inbox, quiet.log,
                         timeouts);
    old.begin(), next_one.begin(), third.begin();
    REQUIRE(watch.start());
    CHECK(next<core_event::EndpointListReceived>().message.version == 42);
    watch.follow("next", next_one.listener.local());  // silent at first
    next_one.connection(0);
    old.connection(0).send_all(chunk("\n") + chunk(version(42)));
    CHECK(next<core_event::EndpointListReceived>().message.version == 42);
    // It falls silent as well, and the list is said to be without a watch; then the new one speaks.
    std::int64_t last = 0;
    while (last != 43) {
        for (auto& item : inbox.wait(clock_now()() + Duration{100'000})) {
            if (const auto* told = std::get_if<core_event::EndpointListReceived>(&item.event)) {
                last = told->message.version;
            }
        }
    }
    CHECK(ended(old.connection(0)));
    // Two at once: the first of them is left before it has spoken.
    watch.follow("nowhere", *address_of("127.0.0.1:1"));
    watch.follow("third", third.listener.local());
    CHECK(ended(next_one.connection(1)));
    watch.stop();
    CHECK(third.all_asked().at(0) == "GET /catalog/members?stream=1&index=43 HTTP/1.1");
}

TEST_CASE_METHOD(Base, "the whole list is fetched when it is asked for") {
    Discovery discovery(
        {kWatch + chunk(version(42)),
         "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(test::kTwoServerList.size()) +
             "\r\n\r\n" + test::kTwoServerList,
         kWatch});
    DiscoveryWatch watch("d", discovery.listener.local(), names, 41, kListBytes, pool, inbox,
                         quiet.log);
    discovery.begin();
    REQUIRE(watch.start());
    CHECK(next<core_event::EndpointListReceived>().message.version == 42);
    watch.fetch();
    CHECK(next<core_event::EndpointListReceived>().message.list.form ==
          event::EndpointListUpdate::Form::complete);
    watch.stop();
    CHECK(discovery.all_asked().at(1) == "GET /catalog/members HTTP/1.1");
}

TEST_CASE_METHOD(Base, "probes tell who answers") {
    Discovery server(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\n\r\n!", "!"});
    server.begin();
    HealthCheckRunner health_checks(pool, inbox, clock_now());
    for (const bool ok : {true, false, false}) {
        health_checks.start_check({"s-1"}, text_of(server.listener.local()));
        CHECK(next<core_event::HealthCheckCompleted>().result.healthy == ok);
    }
    health_checks.start_check({"s-1"}, "no address");
    CHECK(!next<core_event::HealthCheckCompleted>().result.healthy);
    CHECK(server.all_asked().at(0) == "GET /ping HTTP/1.1");
}

TEST_CASE("the program goes from its known list to serving, and on SIGTERM's word to its end") {
    test::Quiet quiet;
    Discovery discovery({kWatch + chunk(version(41))});
    discovery.begin();
    StartConfiguration start;
    start.name = "n1", start.listen = "127.0.0.1:0",
    start.discovery = text_of(discovery.listener.local());
    start.sockets = 1024, start.memory_mb = 192, start.bounds = {8},
    start.settings = test::sample_settings(), start.names = test::names();
    start.initial_list = *protocol::EndpointListReader(start.names).read(test::kTwoServerList);
    PlannerProcess program(start, clock_now(), quiet.log);
    CHECK(program.state() == LifecycleState::created);
    int code = -1;
    std::thread runs([&] { code = program.run(); });
    while (program.state() != LifecycleState::serving &&
           program.state() != LifecycleState::failed) {
        std::this_thread::yield();
    }
    REQUIRE(program.state() == LifecycleState::serving);
    const Socket proxy = dial(program.address());
    proxy.send_all("probe\r\n" + kHello);
    CHECK(read_some(proxy, 7) == "alive\r\n");
    CHECK(read_some(proxy, 40).find("push routes=lookup+order full=1") == 0);
    // A reload that can't be read leaves all as it was; a good one goes on at the new address.
    static const std::string file = "/tmp/micaroad-test-" + std::to_string(::getpid()) + ".json";
    const auto path = [](const char* name) {
        return std::string_view(name) == "LB_CONFIG" ? file.c_str() : nullptr;
    };
    for (const std::string& text :
         {std::string("{\"discovery\":"), std::string(), std::string("{\"discovery\":7}")}) {
        std::ofstream(file) << text;
        program.reload(path);
    }
    Discovery moved({kWatch + chunk(version(43))});
    moved.begin();
    for (int twice = 0; twice < 2; ++twice) {
        std::ofstream(file) << R"({"discovery":")" << text_of(moved.listener.local()) << "\"}";
        program.reload(path);
    }
    std::remove(file.c_str());
    CHECK(ended(discovery.connection(0)));
    proxy.send_all("probe\r\n");
    for (std::string seen; seen.find("alive\r\n") == std::string::npos;) {
        const std::string more = read_some(proxy, 1);
        REQUIRE(more.size() == 1);
        seen += more;
    }
    StartConfiguration other = start;
    other.listen = text_of(program.address());
    PlannerProcess second(other, clock_now(), quiet.log);
    CHECK(second.run() == 1);
    CHECK(second.state() == LifecycleState::failed);
    program.stop();
    runs.join();
    CHECK(code == 0);
    CHECK(program.state() == LifecycleState::stopped);
    CHECK(ended(proxy));
    start.listen = "somewhere";
    CHECK_THROWS_WITH(PlannerProcess(start, clock_now(), quiet.log), Catch::Contains("listen"));
}

TEST_CASE_METHOD(Base,
                 "one that does not read loses its stream before it costs another its orders") {
    Acceptor acceptor(context(), 4, 4);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket idle = dial(acceptor.address()), reader = dial(acceptor.address());
    idle.send_all(kHello);
    const StreamId stuck = next<core_event::StreamOpened>().stream;
    reader.send_all("hello sidecar=4 az=a share=2 standing=1\r\n");
    const StreamId read = next<core_event::StreamOpened>().stream;
    // More than the kernel takes for it and the buffers hold; then what is ordered to the other
    // goes out whole.
    const std::string much(100 * 1024, 'x'), order(800 * 1024, 'y');
    for (int i = 0; i < 20; ++i) {
        acceptor.write(stuck, much);
    }
    acceptor.write(read, order);
    CHECK(read_some(reader, order.size()) == order);
    CHECK(next<core_event::StreamClosed>().stream == stuck);
}
