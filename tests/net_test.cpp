// Tests of connections, the acceptor, the discovery watch and health checks over socket pairs and
// against fakes on loopback. Each wait ends as soon as its condition holds; its time limit only
// keeps a failing test from hanging.
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

TEST_CASE_METHOD(ConnectionFixture,
                 "a connection turns a proxy's messages into events and sends it updates") {
    for (const char c : kHello) {
        REQUIRE(peer.send_all({&c, 1}));
    }
    CHECK(expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{3});
    peer.send_all(
        "demand sidecar=3 kind=lookup n=4 bad=0 window=500\r\nack sidecar=3 version=9 "
        "lag_ms=1\r\nprobe\r\n");
    expect_next<core_event::ReportReceived>();
    CHECK(expect_next<core_event::StreamAcknowledged>().acknowledgement.nonce == Nonce{9});
    CHECK(receive_bytes(peer, 7) == "alive\r\n");
    CHECK(connection->send("push nonce_out=1\r\n") == Connection::SendResult::accepted);
    CHECK(receive_bytes(peer, 18) == "push nonce_out=1\r\n");
    peer.send_all("ack sidecar=3 ver");
    peer = Socket();
    CHECK(expect_next<core_event::StreamClosed>().reason ==
          "closed by peer in the middle of a line");
}

TEST_CASE_METHOD(ConnectionFixture,
                 "an unidentified peer's probe is answered, and a message that its role does not "
                 "allow closes the connection") {
    peer.send_all("probe\r\n");
    CHECK(receive_bytes(peer, 7) == "alive\r\n");
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
    CHECK(receive_bytes(peer, 7) == "error\r\n");
    CHECK(wait_for_close(peer));
    CHECK(connection->role() != Role::proxy);
    loop.stop(), threads.wait();
    inbox.put(core_event::StopRequested{});
    expect_next<core_event::StopRequested>();  // and nothing before it
}

TEST_CASE_METHOD(ConnectionFixture,
                 "a stream closed for an invalid line reports that line's fault as the reason") {
    peer.send_all(kHello + "probe\r\nprobe\n");
    expect_next<core_event::StreamOpened>();
    CHECK(expect_next<core_event::StreamClosed>().reason == "line does not end in CRLF");
}

TEST_CASE_METHOD(ConnectionFixture,
                 "a malformed line is dropped, and an unparseable line closes the stream") {
    const std::string valid = "demand sidecar=3 kind=lookup n=4 bad=0 window=500\r\n";
    const std::string malformed =
        "demand sidecar=4 kind=lookup n=4 bad=0 window=500\r\n" + kHello +
        "ack sidecar=3 version=x lag_ms=1\r\nagent az=a\r\nack sidecar=4 version=1 lag_ms=1\r\n"
        "demand sidecar=3 kind=lookup n=-4 bad=0 window=500\r\ndemand\r\n";
    peer.send_all(kHello + malformed + valid);
    expect_next<core_event::StreamOpened>();
    expect_next<core_event::ReportReceived>();
    peer.send_all(valid + malformed.substr(0, 20));
    peer.send_all("\x02\r\n");
    expect_next<core_event::ReportReceived>();
    peer.send_all("\x02\r\n" + valid);
    expect_next<core_event::StreamClosed>();
    CHECK(wait_for_close(peer));
}

TEST_CASE_METHOD(ConnectionFixture, "a malformed report does not close a collector's connection") {
    peer.send_all(
        "agent az=a\r\nack sidecar=1 version=1 lag_ms=1\r\noutcomes az=a host=s-1 n=4 bad=9 avg=1 "
        "window=500\r\n"
        "outcomes az=a host=s-1 n=4 bad=1 avg=30 window=500\r\n");
    CHECK(std::get<event::EndpointLoadReport>(expect_next<core_event::ReportReceived>().report)
              .failures == 1);
}

TEST_CASE_METHOD(
    NetFixture,
    "a peer that does not join in time is closed, whatever it sends, and no stream is affected") {
    Acceptor acceptor(context(), 40, 20);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket proxy = dial(acceptor.address());
    proxy.send_all(kHello);
    const StreamId stream = expect_next<core_event::StreamOpened>().stream;
    const auto started = std::chrono::steady_clock::now();
    const Socket silent = dial(acceptor.address()), probing = dial(acceptor.address()),
                 trickling = dial(acceptor.address());
    while (std::chrono::steady_clock::now() < started + Connection::kJoinTimeout - 200ms) {
        probing.send_all("probe\r\n"), trickling.send_all("h");
        std::this_thread::sleep_for(50ms);
    }
    for (const Socket* socket : {&silent, &probing, &trickling}) {
        CHECK(wait_for_close(*socket));
    }
    CHECK(std::chrono::steady_clock::now() < started + 2 * Connection::kJoinTimeout);
    // When many silent peers connect, the oldest are shed; a newcomer can still join, and the
    // stream stays open.
    std::vector<Socket> flood;
    for (int i = 0; i < 60; ++i) {
        flood.push_back(dial(acceptor.address()));
    }
    const Socket late = dial(acceptor.address());
    late.send_all("hello sidecar=5 az=a share=2 standing=1\r\n");
    CHECK(expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(wait_for_close(flood.front()));
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(receive_bytes(proxy, 18).size() == 18);
}

TEST_CASE_METHOD(ConnectionFixture,
                 "sending to a peer that does not read never blocks and fails in the end") {
    peer.send_all(kHello);
    expect_next<core_event::StreamOpened>();
    const std::string block(64 * 1024, 'x');
    Connection::SendResult result = Connection::SendResult::accepted;
    int number = 0;
    for (; result == Connection::SendResult::accepted && number < 1'000; ++number) {
        result = connection->send(block);
    }
    CHECK(result == Connection::SendResult::peer_not_reading);
    CHECK(number >= 2);
    connection->close();
    expect_next<core_event::StreamClosed>();
}

TEST_CASE_METHOD(
    NetFixture,
    "the acceptor sheds unidentified peers first, and its shutdown closes every connection") {
    Acceptor acceptor(context(), 3, 3);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket first = dial(acceptor.address()), proxy = dial(acceptor.address());
    proxy.send_all(kHello);
    const StreamId stream = expect_next<core_event::StreamOpened>().stream;
    acceptor.write(stream, "push nonce_out=1\r\n");
    CHECK(receive_bytes(proxy, 18).size() == 18);
    const Socket collector = dial(acceptor.address());
    collector.send_all("agent az=a\r\nprobe\r\n");
    CHECK(receive_bytes(collector, 7).size() == 7);
    const Socket fourth = dial(acceptor.address());
    CHECK(wait_for_close(first));
    fourth.send_all("probe\r\n");
    CHECK(receive_bytes(fourth, 7).size() == 7);
    // The response is sent while the event loop still counts `fourth` as being read, so that it is
    // not shed yet. One thread serves all connections, so a response on another one shows that the
    // loop is done with `fourth`.
    collector.send_all("probe\r\n");
    CHECK(receive_bytes(collector, 7).size() == 7);
    // A second stream of the same proxy is accepted beside the first; closing the old one is up to
    // the core.
    const Socket second = dial(acceptor.address());
    CHECK(wait_for_close(fourth));
    second.send_all(kHello);
    CHECK(expect_next<core_event::StreamOpened>().stream > stream);
    acceptor.close(stream);
    CHECK(expect_next<core_event::StreamClosed>().stream == stream);
    CHECK(wait_for_close(proxy));
    // The peer closes with a reset.
    const linger immediately{1, 0};
    ::setsockopt(second.fd(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    {
        const Socket gone = std::move(const_cast<Socket&>(second));
    }
    CHECK(expect_next<core_event::StreamClosed>().reason == "reset");
    acceptor.shutdown();
    CHECK(wait_for_close(collector));
}

TEST_CASE_METHOD(
    NetFixture,
    "a thousand proxies that connect at once all join, despite silent unidentified peers") {
    constexpr int kProxies = 1'000;
    rlimit file_limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &file_limit) == 0);
    file_limit.rlim_cur = file_limit.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &file_limit) == 0);
    REQUIRE(file_limit.rlim_cur > 2 * kProxies + 500);
    const protocol::Bounds bounds_for_all{kProxies};
    const Limits limits = Limits::of(192, 2'944, kProxies, 3);
    Acceptor acceptor(ConnectionContext{names, bounds_for_all, read_buffers, line_buffers,
                                        write_buffers, inbox, quiet.log},
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
        streams.insert(expect_next<core_event::StreamOpened>().stream);
    }
    CHECK(streams.size() == kProxies);
    // There is no thread per proxy: the fleet allows a process 512 threads.
    const std::filesystem::directory_iterator threads("/proc/self/task");
    CHECK(std::distance(begin(threads), end(threads)) < 16);
    for (const StreamId stream : streams) {
        acceptor.write(stream, "push\r\n");
    }
    for (const Socket& proxy : proxies) {
        CHECK(receive_bytes(proxy, 6) == "push\r\n");
    }
    acceptor.shutdown();
}

TEST_CASE_METHOD(NetFixture,
                 "after any kind of failure the watch continues from the version it holds") {
    FakeHttpServer discovery(
        {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
         kWatchHeader + chunk(empty_update(42)) + chunk("\n"),              // then nothing more
         kWatchHeader + chunk(empty_update(43)) + "zz\r\n",                 // a broken chunk
         kWatchHeader + chunk(empty_update(44)) + chunk("{\"version\":4"),  // a truncated object
         kWatchHeader + chunk("{oh}\n"),
         kWatchHeader + chunk(empty_update(45).substr(0, 9)) + chunk(empty_update(45).substr(9)) +
             "!",
         kWatchHeader + chunk(empty_update(46))});
    WatchTimeouts timeouts;
    timeouts.idle = 150ms, timeouts.initial_backoff = 1ms, timeouts.max_backoff = 2ms;
    DiscoveryWatch watch("d", discovery.listener.local(), names, 41, kMaxListBytes, read_buffers,
                         inbox, quiet.log, timeouts);
    discovery.start();
    REQUIRE(watch.start());
    std::vector<std::int64_t> versions;
    int lost = 0;
    while (versions.empty() || versions.back() < 46) {
        for (auto& item : inbox.wait(clock_now()() + Duration{100'000})) {
            if (const auto* received = std::get_if<core_event::EndpointListReceived>(&item.event)) {
                versions.push_back(received->message.version);
            } else {
                ++lost;
            }
        }
    }
    watch.stop();
    CHECK(versions == std::vector<std::int64_t>{42, 43, 44, 45, 46});
    CHECK(lost >= 1);
    REQUIRE(discovery.stop_and_get_requests().size() == 8);
    CHECK(discovery.requests[0] == "GET /catalog/members?stream=1&index=41 HTTP/1.1");
    CHECK(discovery.requests[3] == "GET /catalog/members?stream=1&index=42 HTTP/1.1");
    CHECK(discovery.requests[7] == "GET /catalog/members?stream=1&index=45 HTTP/1.1");
}

TEST_CASE_METHOD(
    NetFixture,
    "after a change of address the watch keeps the old discovery until the new one sends data") {
    FakeHttpServer old({kWatchHeader + chunk(empty_update(42))}),
        next({kWatchHeader, kWatchHeader + chunk(empty_update(43))}),
        third({kWatchHeader + chunk("\n")});
    WatchTimeouts timeouts;
    timeouts.idle = 300ms;
    DiscoveryWatch watch("old", old.listener.local(), names, 41, kMaxListBytes, read_buffers, inbox,
                         quiet.log, timeouts);
    old.start(), next.start(), third.start();
    REQUIRE(watch.start());
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 42);
    watch.follow("next", next.listener.local());  // silent at first
    next.connection(0);
    old.connection(0).send_all(chunk("\n") + chunk(empty_update(42)));
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 42);
    // The old one falls silent as well, and the watch is reported as lost; then the new one sends
    // data.
    std::int64_t last = 0;
    while (last != 43) {
        for (auto& item : inbox.wait(clock_now()() + Duration{100'000})) {
            if (const auto* received = std::get_if<core_event::EndpointListReceived>(&item.event)) {
                last = received->message.version;
            }
        }
    }
    CHECK(wait_for_close(old.connection(0)));
    // Of two new addresses in a row, the first is abandoned before it has sent anything.
    watch.follow("nowhere", *address_of("127.0.0.1:1"));
    watch.follow("third", third.listener.local());
    CHECK(wait_for_close(next.connection(1)));
    watch.stop();
    CHECK(third.stop_and_get_requests().at(0) == "GET /catalog/members?stream=1&index=43 HTTP/1.1");
}

TEST_CASE_METHOD(NetFixture, "fetch() requests the complete endpoint list") {
    FakeHttpServer discovery(
        {kWatchHeader + chunk(empty_update(42)),
         "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(test::kTwoServerList.size()) +
             "\r\n\r\n" + test::kTwoServerList,
         kWatchHeader});
    DiscoveryWatch watch("d", discovery.listener.local(), names, 41, kMaxListBytes, read_buffers,
                         inbox, quiet.log);
    discovery.start();
    REQUIRE(watch.start());
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 42);
    watch.fetch();
    CHECK(expect_next<core_event::EndpointListReceived>().message.list.form ==
          event::EndpointListUpdate::Form::complete);
    watch.stop();
    CHECK(discovery.stop_and_get_requests().at(1) == "GET /catalog/members HTTP/1.1");
}

TEST_CASE_METHOD(NetFixture, "a health check succeeds only with a 200 response") {
    FakeHttpServer server(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\n\r\n!", "!"});
    server.start();
    HealthCheckRunner health_checks(read_buffers, inbox, clock_now());
    for (const bool ok : {true, false, false}) {
        health_checks.start_check({"s-1"}, text_of(server.listener.local()));
        CHECK(expect_next<core_event::HealthCheckCompleted>().result.healthy == ok);
    }
    health_checks.start_check({"s-1"}, "no address");
    CHECK(!expect_next<core_event::HealthCheckCompleted>().result.healthy);
    CHECK(server.stop_and_get_requests().at(0) == "GET /ping HTTP/1.1");
}

TEST_CASE(
    "a planner process serves after its initial list, follows a reload and stops with exit code "
    "0") {
    test::DiscardingLog quiet;
    FakeHttpServer discovery({kWatchHeader + chunk(empty_update(41))});
    discovery.start();
    StartConfiguration start;
    start.name = "n1", start.listen = "127.0.0.1:0",
    start.discovery = text_of(discovery.listener.local());
    start.sockets = 1024, start.memory_mb = 192, start.bounds = {8},
    start.settings = test::sample_settings(), start.names = test::names();
    start.initial_list = *protocol::EndpointListReader(start.names).read(test::kTwoServerList);
    PlannerProcess process(start, clock_now(), quiet.log);
    CHECK(process.state() == LifecycleState::created);
    int code = -1;
    std::thread runner([&] { code = process.run(); });
    while (process.state() != LifecycleState::serving &&
           process.state() != LifecycleState::failed) {
        std::this_thread::yield();
    }
    REQUIRE(process.state() == LifecycleState::serving);
    const Socket proxy = dial(process.address());
    proxy.send_all("probe\r\n" + kHello);
    CHECK(receive_bytes(proxy, 7) == "alive\r\n");
    CHECK(receive_bytes(proxy, 40).find("push routes=lookup+order full=1") == 0);
    // A reload of an unreadable file changes nothing; a valid one moves the watch to the new
    // address.
    static const std::string file = "/tmp/micaroad-test-" + std::to_string(::getpid()) + ".json";
    const auto path = [](const char* name) {
        return std::string_view(name) == "LB_CONFIG" ? file.c_str() : nullptr;
    };
    for (const std::string& text :
         {std::string("{\"discovery\":"), std::string(), std::string("{\"discovery\":7}")}) {
        std::ofstream(file) << text;
        process.reload(path);
    }
    FakeHttpServer moved({kWatchHeader + chunk(empty_update(43))});
    moved.start();
    for (int round = 0; round < 2; ++round) {
        std::ofstream(file) << R"({"discovery":")" << text_of(moved.listener.local()) << "\"}";
        process.reload(path);
    }
    std::remove(file.c_str());
    CHECK(wait_for_close(discovery.connection(0)));
    proxy.send_all("probe\r\n");
    for (std::string seen; seen.find("alive\r\n") == std::string::npos;) {
        const std::string more = receive_bytes(proxy, 1);
        REQUIRE(more.size() == 1);
        seen += more;
    }
    StartConfiguration other = start;
    other.listen = text_of(process.address());
    PlannerProcess second(other, clock_now(), quiet.log);
    CHECK(second.run() == 1);
    CHECK(second.state() == LifecycleState::failed);
    process.stop();
    runner.join();
    CHECK(code == 0);
    CHECK(process.state() == LifecycleState::stopped);
    CHECK(wait_for_close(proxy));
    start.listen = "somewhere";
    CHECK_THROWS_WITH(PlannerProcess(start, clock_now(), quiet.log), Catch::Contains("listen"));
}

TEST_CASE_METHOD(NetFixture,
                 "a proxy that does not read is closed before another proxy's updates are lost") {
    Acceptor acceptor(context(), 4, 4);
    REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    const Socket idle = dial(acceptor.address()), reader = dial(acceptor.address());
    idle.send_all(kHello);
    const StreamId stalled_stream = expect_next<core_event::StreamOpened>().stream;
    reader.send_all("hello sidecar=4 az=a share=2 standing=1\r\n");
    const StreamId reading_stream = expect_next<core_event::StreamOpened>().stream;
    // More than the kernel's buffers and the write buffers can hold for the stalled stream; an
    // update to the other stream is then still sent whole.
    const std::string block(100 * 1024, 'x'), order(800 * 1024, 'y');
    for (int i = 0; i < 20; ++i) {
        acceptor.write(stalled_stream, block);
    }
    acceptor.write(reading_stream, order);
    CHECK(receive_bytes(reader, order.size()) == order);
    CHECK(expect_next<core_event::StreamClosed>().stream == stalled_stream);
}
