// Tests of rare interleavings on real sockets. A thread is blocked at a synchronization point while
// something else happens, so that each interleaving is forced and does not depend on timing.
#include <sys/resource.h>

#include <cstdio>
#include <fstream>

#include "net/health_check_runner.hpp"
#include "net_helpers.hpp"
#include "program_helpers.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

// Discards what is received and returns the last result: 0 after an orderly close, -1 after a
// reset.
ssize_t last_receive_result(const Socket& socket) {
    char bytes[4096];
    socket.set_receive_timeout(10s);
    ssize_t size;
    while ((size = socket.receive(bytes, sizeof bytes)) > 0) {
        continue;
    }
    return size;
}

// An acceptor that listens on loopback.
struct AcceptorFixture : NetFixture {
    Acceptor acceptor;
    explicit AcceptorFixture(std::size_t connections = 40, std::size_t unidentified = 20)
        : acceptor(context(), connections, unidentified) {
        REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    }
    Socket connect() { return dial(acceptor.address()); }
};

// Two connections in one event loop over socket pairs, which have no small TCP windows.
struct TwoConnectionsFixture : NetFixture {
    ConnectionContext connection_context = context();
    EventLoop loop{connection_context, [](StreamId) {}};
    ThreadGroup threads{1};
    std::vector<std::shared_ptr<Connection>> connections;
    Socket flood, other;
    TwoConnectionsFixture() {
        for (Socket* peer : {&flood, &other}) {
            int ends[2];
            REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
            *peer = Socket(ends[1]);
            const StreamId id{connections.size() + 1};
            connections.push_back(
                std::make_shared<Connection>(connection_context, id, Socket(ends[0]), "peer"));
            REQUIRE(loop.add(connections.back()));
        }
        REQUIRE(threads.start([this] { loop.run(); }));
    }
    ~TwoConnectionsFixture() { loop.stop(), threads.wait(); }
};

}  // namespace

// ---- connections: deadlines, closes and shutdowns at synchronization points

TEST_CASE_METHOD(AcceptorFixture,
                 "a join that arrives in time is accepted even if it is read after the deadline") {
    const Socket busy = connect();
    sync.block_at(SyncPoint::connection_ready);
    busy.send_all("probe\r\n");
    sync.await(SyncPoint::connection_ready);
    const Socket proxy = connect();
    proxy.send_all(hello(5));
    std::this_thread::sleep_for(Connection::kJoinTimeout + 100ms);  // past the deadline
    sync.release(SyncPoint::connection_ready);
    CHECK(expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(wait_for_close(busy));  // it sent only a probe, and its deadline has passed
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a connection whose deadline passes before it is polled is closed, and no other one with it") {
    sync.block_at(SyncPoint::connection_listed);
    const Socket slow = connect();
    sync.await(SyncPoint::connection_listed);
    // The event loop closes it while the acceptor's thread is blocked.
    CHECK(wait_for_close(slow));
    sync.release(SyncPoint::connection_listed);
    CHECK(answers_probe(connect()));
}

TEST_CASE_METHOD(AcceptorFixture,
                 "a connection accepted while the shutdown begins is closed with the others") {
    const Socket before = connect();
    REQUIRE(answers_probe(before));
    sync.block_at(SyncPoint::connection_accepted);
    const Socket late = connect();
    late.send_all(hello(5));
    sync.await(SyncPoint::connection_accepted);
    acceptor.begin_shutdown();
    sync.release(SyncPoint::connection_accepted);
    acceptor.shutdown();
    CHECK(wait_for_close(before));
    CHECK(wait_for_close(late));
    inbox.put(core_event::StopRequested{});
    expect_next<core_event::StopRequested>();  // the late one has not joined
}

TEST_CASE_METHOD(AcceptorFixture, "bytes that arrive while the shutdown begins do not delay it") {
    std::vector<Socket> peers;
    for (int i = 0; i < 8; ++i) {
        peers.push_back(connect()), peers.back().send_all(hello(i));
    }
    for (int i = 0; i < 8; ++i) {
        expect_next<core_event::StreamOpened>();
    }
    sync.block_at(SyncPoint::bytes_received);
    for (int i = 0; i < 8; ++i) {
        peers[i].send_all(demand_report(i) + acknowledgement(i, 1));
    }
    sync.await(SyncPoint::bytes_received);
    acceptor.begin_shutdown();
    sync.release(SyncPoint::bytes_received);
    const auto started = steady_clock::now();
    acceptor.shutdown();
    CHECK(steady_clock::now() - started < 600ms);  // the event loop wakes every 200 ms
    for (const Socket& peer : peers) {
        CHECK(wait_for_close(peer));
    }
}

TEST_CASE_METHOD(AcceptorFixture,
                 "a peer that is sending when the shutdown begins is disconnected") {
    const Socket peer = connect();
    peer.send_all(hello(5));
    expect_next<core_event::StreamOpened>();
    sync.block_at(SyncPoint::bytes_received);
    const std::string block(16 << 20, ' ');  // more than the kernel buffers
    const auto sending = run_async([&] { return peer.send_all(block); });
    sync.await(SyncPoint::bytes_received);
    acceptor.begin_shutdown();
    sync.release(SyncPoint::bytes_received);
    acceptor.shutdown();
    CHECK(sending.wait_for(5s) == std::future_status::ready);
    peer.shut_down();  // otherwise a failing test could not end
}

TEST_CASE("a connection whose bytes are read but not yet parsed is not shed") {
    AcceptorFixture fixture(2, 1);
    const Socket proxy = fixture.connect();
    fixture.sync.block_at(SyncPoint::bytes_received);
    proxy.send_all(hello(5));
    fixture.sync.await(SyncPoint::bytes_received);
    const Socket newcomer = fixture.connect();
    CHECK(wait_for_close(newcomer));  // there is no connection that can be shed for it
    fixture.sync.release(SyncPoint::bytes_received);
    CHECK(fixture.expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
}

TEST_CASE("a proxy that is still sending its join is shed only after silent peers") {
    AcceptorFixture fixture(12, 10);
    const Socket collector = fixture.connect();
    collector.send_all("agent az=a\r\n");
    REQUIRE(answers_probe(collector));
    // Connects a peer and sends its text. The event loop has read the text once it has answered the
    // collector's later probe.
    const auto connect_and_send = [&](const std::string& text) {
        Socket socket = fixture.connect();
        REQUIRE(answers_probe(socket));
        socket.send_all(text);
        REQUIRE(answers_probe(collector));
        return socket;
    };
    const Socket slow = connect_and_send(hello(5).substr(0, 12));
    std::vector<Socket> silent, partial_joins;
    for (int i = 0; i < 30; ++i) {
        silent.push_back(connect_and_send(""));
    }
    CHECK(wait_for_close(silent.front()));
    slow.send_all(hello(5).substr(12));
    CHECK(fixture.expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    // If all have sent a part of their join, the oldest is shed, so that peers that send half a
    // message can't lock others out.
    for (int i = 0; i < 30; ++i) {
        partial_joins.push_back(connect_and_send("hel"));
    }
    const Socket proxy = fixture.connect();
    proxy.send_all(hello(6));
    CHECK(fixture.expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{6});
    CHECK(wait_for_close(partial_joins.front()));
}

// Guards against peers that are refused because others stop in the middle of long lines (issue 56,
// report a): the buffers for unfinished lines are taken, and a join in pieces needs one.
TEST_CASE_METHOD(AcceptorFixture,
                 "a join in pieces succeeds while others hold long unfinished lines") {
    std::vector<Socket> collectors;
    for (const int blocks : {19, 16, 16, 13}) {  // together all of line_buffers
        collectors.push_back(connect());
        collectors.back().send_all("agent az=a\r\n");
        REQUIRE(answers_probe(collectors.back()));
        collectors.back().send_all(
            "outcomes az=a host=" +
            std::string(blocks * protocol::BufferPool::kBlockBytes - 100, 'x'));
    }
    CHECK(wait_for_close(collectors.front()));  // it holds the longest line
    const Socket proxy = connect();
    REQUIRE(answers_probe(proxy));
    proxy.send_all(hello(5).substr(0, 12));
    std::this_thread::sleep_for(50ms);
    proxy.send_all(hello(5).substr(12));
    CHECK(expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
}

// Guards against strangers that take all connections by saying that they are collectors (issue 56,
// report a).
TEST_CASE("silent collectors make room for others, and those that report stay") {
    AcceptorFixture fixture(12, 10);  // two zones need four collectors
    const auto connect_collector = [&] {
        Socket collector = fixture.connect();
        collector.send_all("agent az=a\r\n");
        REQUIRE(answers_probe(collector));
        return collector;
    };
    const Socket reporting = connect_collector();
    std::vector<Socket> silent;
    for (int i = 0; i < 11; ++i) {
        silent.push_back(connect_collector());
    }
    REQUIRE(answers_probe(reporting));
    std::vector<Socket> proxies;
    for (const int number : {5, 6}) {
        proxies.push_back(fixture.connect());
        proxies.back().send_all(hello(number));
        CHECK(fixture.expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{number});
        CHECK(wait_for_close(silent[number - 5]));  // the one that was silent the longest
    }
    CHECK(answers_probe(reporting));
}

// Guards against input that is used after its stream was closed (issue 56, report c): a proxy has
// come back, and its old stream still has unread input.
TEST_CASE_METHOD(AcceptorFixture, "what a stream has not read when it is closed is dropped") {
    const Socket proxy = connect();
    proxy.send_all(hello(5));
    const StreamId stream = expect_next<core_event::StreamOpened>().stream;
    sync.block_at(SyncPoint::connection_ready);
    proxy.send_all("demand sidecar=5 kind=lookup n=3 bad=0 window=500.0\r\n");
    sync.await(SyncPoint::connection_ready);
    acceptor.close(stream);
    sync.release(SyncPoint::connection_ready);
    CHECK(expect_next<core_event::StreamClosed>().stream == stream);
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a join that arrives slowly succeeds after the usual deadline, and an endless one is closed") {
    const auto started = steady_clock::now();
    const Socket slow = connect(), endless = connect();
    const std::string line = hello(5);
    const auto step = (Connection::kJoinTimeout + 400ms) / line.size();
    for (const char c : line) {
        slow.send_all({&c, 1}), endless.send_all("h");
        std::this_thread::sleep_for(step);
    }
    CHECK(expect_next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(steady_clock::now() > started + Connection::kJoinTimeout);
    CHECK(wait_for_close(endless));
    CHECK(steady_clock::now() < started + 3s);  // the platform's deadline
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a peer receives `error` and an orderly close although it sent more than was read") {
    const Socket peer = connect();
    peer.send_all(std::string(20'000, 'x'));
    CHECK(receive_bytes(peer, 7) == "error\r\n");
    // The peer goes on sending for a moment, as if it had not read the error yet; the connection is
    // not reset.
    for (int i = 0; i < 10; ++i) {
        CHECK(peer.send_all(std::string(1'000, 'x')));
        std::this_thread::sleep_for(2ms);
    }
    CHECK(last_receive_result(peer) == 0);
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a peer that keeps sending after `error` is disconnected and makes room for others") {
    const auto started = steady_clock::now();
    const Socket flood = connect(), keeps_open = connect();
    keeps_open.send_all("GET / HTTP/1.1\r\n\r\n");  // does not close its connection
    const std::string block(64 * 1024, 'x');
    while (flood.send_all(block)) {
        continue;
    }
    // The planner closes its sending half at once. That the whole connection is closed shows when
    // sending to it fails.
    bool accepted = true;
    for (; accepted && steady_clock::now() < started + 2s; std::this_thread::sleep_for(10ms)) {
        accepted = keeps_open.send_now("x");
    }
    CHECK(!accepted);
    AcceptorFixture small(2, 1);
    const Socket collector = small.connect();
    collector.send_all("agent az=a\r\n");
    REQUIRE(answers_probe(collector));
    const Socket refused = small.connect();
    refused.send_all("x\r\n");
    CHECK(receive_bytes(refused, 7) == "error\r\n");
    small.sync.block_at(SyncPoint::connection_ready);
    collector.send_all("probe\r\n");
    small.sync.await(SyncPoint::connection_ready);
    refused.send_all("and more, which nobody has read");
    const Socket newcomer = small.connect();
    const auto deadline = steady_clock::now() + 2s;  // sending fails once it has been shed
    for (accepted = true; accepted && steady_clock::now() < deadline;
         std::this_thread::sleep_for(1ms)) {
        accepted = refused.send_now("x");
    }
    CHECK(!accepted);
    small.sync.release(SyncPoint::connection_ready);
    CHECK(answers_probe(newcomer));
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a long line right after the join is treated as the proxy's, not as an unidentified peer's") {
    const Socket proxy = connect();
    proxy.send_all(hello(5) + "demand sidecar=5 kind=lookup" + std::string(3'000, ' ') +
                   "n=4 bad=0 window=500\r\n");
    expect_next<core_event::StreamOpened>();
    expect_next<core_event::ReportReceived>();
}

TEST_CASE_METHOD(
    AcceptorFixture,
    "a join, acknowledgement and demand report in one segment count before a close and a reset") {
    const bool by_reset = GENERATE(false, true);
    Socket proxy = connect();
    sync.block_at(SyncPoint::connection_ready);
    proxy.send_all(hello(5) + acknowledgement(5, 3) + demand_report(5));
    sync.await(SyncPoint::connection_ready);
    by_reset ? close_with_reset(std::move(proxy)) : (void)(proxy = Socket());
    sync.release(SyncPoint::connection_ready);
    const StreamId stream = expect_next<core_event::StreamOpened>().stream;
    CHECK(expect_next<core_event::StreamAcknowledged>().stream == stream);
    expect_next<core_event::ReportReceived>();
    CHECK(expect_next<core_event::StreamClosed>().reason ==
          (by_reset ? "reset" : "closed by peer"));
    acceptor.write(stream, "push nonce_out=1\r\n");  // after its end: ignored
    CHECK(answers_probe(connect()));
}

TEST_CASE_METHOD(
    TwoConnectionsFixture,
    "a stream that floods acknowledgements loses the excess, and other streams lose none") {
    constexpr int kFlood = 50'000;
    flood.send_all(hello(5));
    const StreamId flood_stream = expect_next<core_event::StreamOpened>().stream;
    other.send_all(hello(6));
    const StreamId other_stream = expect_next<core_event::StreamOpened>().stream;
    std::string lines;
    for (int i = 0; i < kFlood; ++i) {
        lines += i % 2 ? acknowledgement(5, i % 1000) : demand_report(5);
    }
    flood.send_all(lines);
    other.send_all(acknowledgement(6, 1) + demand_report(6));
    REQUIRE(answers_probe(other));
    REQUIRE(answers_probe(flood));  // all of it has been read
    std::size_t accepted_from_flood = 0, accepted_from_other = 0;
    inbox.put(core_event::StopRequested{});
    for (const auto& item : inbox.wait({})) {
        if (const auto* received = std::get_if<core_event::StreamAcknowledged>(&item.event)) {
            CHECK((received->stream == flood_stream || received->stream == other_stream));
            ++(received->stream == flood_stream ? accepted_from_flood : accepted_from_other);
        }
        if (const auto* received = std::get_if<core_event::ReportReceived>(&item.event)) {
            ++(std::get<event::DemandReport>(received->report).proxy == ProxyId{5}
                   ? accepted_from_flood
                   : accepted_from_other);
        }
    }
    CHECK(accepted_from_flood == Connection::kMaxAcknowledgements);
    CHECK(accepted_from_other == 2);
    flood.send_all(acknowledgement(5, 7));  // accepted again once the core has emptied the inbox
    CHECK(expect_next<core_event::StreamAcknowledged>().stream == flood_stream);
}

TEST_CASE_METHOD(TwoConnectionsFixture,
                 "a collector that floods reports leaves room for those of another") {
    flood.send_all("agent az=a\r\n"), other.send_all("agent az=b\r\n");
    const std::string report = "outcomes az=a host=s-1 n=4 bad=1 avg=30 window=500\r\n";
    std::string lines;
    for (std::size_t i = 0; i < Inbox::kMaxReports + 5'000; ++i) {
        lines += report;
    }
    flood.send_all(lines);
    REQUIRE(answers_probe(flood));
    other.send_all("outcomes az=b host=s-1 n=9 bad=1 avg=30 window=500\r\n");
    REQUIRE(answers_probe(other));
    const auto items = inbox.wait({});
    CHECK(items.size() == Inbox::kMaxReportsPerPeer + 1);
    CHECK(std::get<event::EndpointLoadReport>(
              std::get<core_event::ReportReceived>(items.back().event).report)
              .attempts == 9);
}

// ---- discovery: events at the synchronization points of the watch

namespace {

const std::vector<SyncPoint> kWatchPoints{SyncPoint::watch_registered, SyncPoint::watch_connected,
                                          SyncPoint::watch_requested, SyncPoint::watch_responded};

// A response with the complete list at the given version.
std::string list_response(int version, const std::string& tail = "") {
    std::string list = kTwoServerList;
    list.replace(list.find("41"), 2, std::to_string(version));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list +
           tail;
}
std::string truncated(const std::string& response) {
    return response.substr(0, response.size() - 60) + "!";
}

// A watch of a fake discovery with short timeouts.
struct WatchFixture : NetFixture {
    WatchTimeouts timeouts;
    WatchFixture() {
        timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms, timeouts.fetch_interval = 5ms;
    }
    std::unique_ptr<DiscoveryWatch> make_watch(FakeHttpServer& discovery) {
        return std::make_unique<DiscoveryWatch>("d", discovery.listener.local(), names, 41,
                                                kMaxListBytes, read_buffers, inbox, quiet.log,
                                                timeouts, &sync);
    }
    // Waits for the next list and skips all other events.
    core_event::EndpointListReceived next_list() {
        const TimePoint deadline = clock_now()() + Duration{100'000};
        for (;;) {
            while (!pending.empty()) {
                const CoreEvent first = pending.front();
                pending.erase(pending.begin());
                if (const auto* received = std::get_if<core_event::EndpointListReceived>(&first)) {
                    return *received;
                }
            }
            REQUIRE(clock_now()() < deadline);
            for (auto& item : inbox.wait(deadline)) {
                pending.push_back(std::move(item.event));
            }
        }
    }
};

}  // namespace

TEST_CASE_METHOD(WatchFixture,
                 "a failed fetch of the complete list is repeated until the list arrives") {
    const std::string faulty_response =
        GENERATE(as<std::string>{}, truncated(list_response(30)),
                 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\n\r\n" + kTwoServerList.substr(0, 90) + "!", "!");
    FakeHttpServer discovery({kWatchHeader + chunk(empty_update(42)), faulty_response,
                              faulty_response, list_response(30),
                              kWatchHeader + chunk(empty_update(31))});
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    CHECK(next_list().message.version == 42);
    watch->fetch();
    CHECK(next_list().message.version == 30);
    CHECK(next_list().message.version == 31);
    watch->stop();
    const auto& requests = discovery.stop_and_get_requests();
    for (int n = 1; n <= 3; ++n) {
        CHECK(requests.at(n) == "GET /catalog/members HTTP/1.1");
    }
    // The versions have restarted, so the watch continues from version 30; 42 may never come.
    CHECK(requests.at(4) == "GET /catalog/members?stream=1&index=30 HTTP/1.1");
}

TEST_CASE_METHOD(WatchFixture,
                 "if the complete list never arrives, the watch restarts from version 0") {
    std::vector<std::string> responses{kWatchHeader + chunk(empty_update(42))};
    for (int i = 0; i < 3; ++i) {
        responses.push_back(truncated(list_response(30)));
    }
    responses.push_back(kWatchHeader + chunk(empty_update(31)));
    FakeHttpServer discovery(responses);
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    CHECK(next_list().message.version == 42);
    watch->fetch();
    CHECK(next_list().message.version == 31);
    watch->stop();
    CHECK(discovery.stop_and_get_requests().at(4) ==
          "GET /catalog/members?stream=1&index=0 HTTP/1.1");
}

TEST_CASE_METHOD(
    WatchFixture,
    "a discovery whose versions keep going back is asked for its list at a limited rate") {
    timeouts.fetch_interval = 50ms;
    std::vector<std::string> responses{kWatchHeader + chunk(empty_update(42))};
    for (int i = 0; i < 6; ++i) {
        responses.push_back(list_response(50)),
            responses.push_back(kWatchHeader + chunk(empty_update(7)));
    }
    FakeHttpServer discovery(responses);
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    next_list();
    const auto started = steady_clock::now();
    for (int i = 0; i < 6; ++i) {
        watch->fetch();  // as the core does at each older version
        CHECK(next_list().message.version == 50);
        CHECK(next_list().message.version == 7);
    }
    CHECK(steady_clock::now() - started >= 5 * timeouts.fetch_interval);
    watch->stop();
}

TEST_CASE_METHOD(WatchFixture,
                 "a fetch requested at any synchronization point of the watch is made") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    timeouts.idle = 100ms;  // ends the second response, which is not a complete list
    FakeHttpServer discovery({kWatchHeader + chunk(empty_update(42)) + "!",
                              kWatchHeader + chunk(empty_update(43)), list_response(50),
                              list_response(50), kWatchHeader});
    const auto watch = make_watch(discovery);
    sync.block_at(point);
    discovery.start();
    REQUIRE(watch->start());
    sync.await(point);
    watch->fetch();
    sync.release(point);
    while (next_list().message.list.form != event::EndpointListUpdate::Form::complete) {
        continue;
    }
    watch->stop();
    discovery.stop_and_get_requests();
}

TEST_CASE_METHOD(WatchFixture,
                 "the watch stops in time at any synchronization point, even if discovery hangs") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    // A discovery that accepts and never responds; at the last point, where a response has to have
    // ended, one that closes at once.
    FakeHttpServer discovery(point == SyncPoint::watch_responded ? std::vector<std::string>{"!"}
                                                                 : std::vector<std::string>{""});
    const auto watch = make_watch(discovery);
    sync.block_at(point);
    discovery.start();
    REQUIRE(watch->start());
    sync.await(point);
    watch->begin_stop();
    const auto started = steady_clock::now();
    sync.release(point);
    watch->stop();
    CHECK(steady_clock::now() - started < 300ms);  // the platform allows 700 ms
}

TEST_CASE_METHOD(WatchFixture,
                 "a new address set at any synchronization point of the watch is followed") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    FakeHttpServer old(
        {kWatchHeader + chunk(empty_update(42)) + "!", kWatchHeader + chunk(empty_update(42))});
    FakeHttpServer moved({kWatchHeader + chunk(empty_update(43)), ""});
    const auto watch = make_watch(old);
    sync.block_at(point);
    old.start(), moved.start();
    REQUIRE(watch->start());
    sync.await(point);
    watch->follow("moved", moved.listener.local());
    sync.release(point);
    while (next_list().message.version != 43) {
        continue;
    }
    // Back to the old address, and to the new one again while the old one is being connected.
    watch->follow("d", old.listener.local());
    watch->follow("moved", moved.listener.local());
    CHECK(moved.connection(1).is_open());
    watch->stop();
}

TEST_CASE_METHOD(WatchFixture,
                 "of more addresses than the watch has threads, the last one set is followed") {
    FakeHttpServer old({kWatchHeader + chunk(empty_update(42))}),
        last({kWatchHeader + chunk(empty_update(60))});
    const auto watch = make_watch(old);
    old.start(), last.start();
    REQUIRE(watch->start());
    next_list();
    sync.block_at(SyncPoint::watch_registered);
    watch->follow("n-1", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_registered);
    watch->follow("n-2", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_registered, 2);  // all threads are in use
    for (int n = 3; n < 12; ++n) {
        watch->follow("n-" + std::to_string(n), *address_of("127.0.0.1:1"));
    }
    watch->follow("last", last.listener.local());
    sync.release(SyncPoint::watch_registered);
    while (next_list().message.version != 60) {
        continue;
    }
    CHECK(wait_for_close(old.connection(0)));
    watch->stop();
}

TEST_CASE_METHOD(WatchFixture,
                 "an address that never responds does not disturb the watch of the current one") {
    FakeHttpServer old({kWatchHeader + chunk(empty_update(42))});
    const auto watch = make_watch(old);
    old.start();
    REQUIRE(watch->start());
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 42);
    sync.block_at(SyncPoint::watch_responded);
    watch->follow("mute", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_responded);  // the attempt failed, which is not evaluated yet
    sync.release(SyncPoint::watch_responded);
    sync.block_at(SyncPoint::watch_responded);
    sync.await(SyncPoint::watch_responded);  // the first failure has been evaluated
    sync.release(SyncPoint::watch_responded);
    old.connection(0).send_all(chunk("\n") + chunk(empty_update(43)));
    // The next event is the list, so no WatchLost came before it.
    CHECK(expect_next<core_event::EndpointListReceived>().message.version == 43);
    watch->stop();
}

TEST_CASE_METHOD(WatchFixture,
                 "responses that trickle, never end or break off are abandoned in time, and none "
                 "of their data is used") {
    timeouts.idle = 300ms, timeouts.line = 150ms;
    const std::string complete = kWatchHeader + chunk(empty_update(42));
    const std::string faulty_response = GENERATE_COPY(
        as<std::string>{},
        // A chunk cut within its size line, an invalid size line and an endless status line.
        kWatchHeader + chunk(empty_update(42)).substr(0, 1) + "!", kWatchHeader + "zzz\r\n",
        "HTTP/1.1 2",
        // An endless header line, and a body without a length that is truncated.
        "HTTP/1.1 200 OK\r\nX-Long: " + std::string(9'000, 'x'),
        "HTTP/1.1 200 OK\r\n\r\n" + empty_update(42).substr(0, 20) + "!",
        // A list truncated between two servers, and a body shorter than its length.
        kWatchHeader + chunk(kTwoServerList.substr(0, kTwoServerList.find("},{") + 1)) + "!",
        "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + kTwoServerList.substr(0, 80));
    FakeHttpServer discovery({faulty_response, kWatchHeader + chunk(empty_update(77))});
    const auto watch = make_watch(discovery);
    discovery.start();
    const auto started = steady_clock::now();
    REQUIRE(watch->start());
    const auto trickling = run_async([&] {
        for (int i = 0; i < 60 && discovery.connection(0).send_now("0"); ++i) {
            std::this_thread::sleep_for(10ms);
        }
    });
    trickling.wait();
    CHECK(next_list().message.version == 77);
    CHECK(steady_clock::now() - started < 2s);
    watch->stop();
    CHECK(discovery.stop_and_get_requests().at(1) ==
          "GET /catalog/members?stream=1&index=41 HTTP/1.1");
}

// ---- health checks

TEST_CASE_METHOD(
    NetFixture,
    "a health check stops in time at any synchronization point, even if the server hangs") {
    const SyncPoint point =
        GENERATE(SyncPoint::health_check_registered, SyncPoint::health_check_connected);
    FakeHttpServer silent({""});
    silent.start();
    HealthCheckRunner health_checks(read_buffers, inbox, clock_now(), &sync);
    sync.block_at(point);
    health_checks.start_check({"s-1"}, text_of(silent.listener.local()));
    sync.await(point);
    health_checks.begin_stop();
    const auto started = steady_clock::now();
    sync.release(point);
    health_checks.stop();
    CHECK(steady_clock::now() - started < 300ms);
    CHECK(!expect_next<core_event::HealthCheckCompleted>().result.healthy);
}

// ---- the whole process

TEST_CASE(
    "the process stops in time despite a hanging discovery, a flooding proxy and new connections") {
    FakeHttpServer silent({"", ""});
    silent.start();
    RunningPlanner planner(text_of(silent.listener.local()));
    const Address address = planner.process.address();
    std::atomic<bool> finished{false};
    const Socket flood = dial(address);
    flood.send_all(hello(3));
    while (planner.recorder.all().empty()) {
        std::this_thread::yield();
    }
    const auto flooding = run_async([&] {
        std::string lines;
        for (int i = 0; i < 500; ++i) {
            lines += demand_report(3) + acknowledgement(3, 9'999);
        }
        while (!finished && flood.send_all(lines)) {
            continue;
        }
    });
    const auto connecting = run_async([&] {
        for (int i = 0; i < 100 && !finished; ++i) {
            Socket socket = Socket::unconnected(address);
            if (!socket.connect(address, 1s)) {
                break;
            }
            socket.send_now(hello(i % 8));
        }
    });
    while (planner.recorder.all().size() < 3) {
        std::this_thread::yield();  // until some of them have joined
    }
    const auto stop_duration = planner.stop();
    finished = true;
    flooding.wait(), connecting.wait();
    CHECK(stop_duration < 600ms);
}

TEST_CASE("what arrives after the core has stopped does not delay the end of the process") {
    RunningPlanner planner;
    const Socket proxy = dial(planner.process.address());
    proxy.send_all(hello(3));
    REQUIRE(read_nonce(proxy) >= 0);
    planner.sync.block_at(SyncPoint::core_stopped);
    planner.process.stop();
    planner.sync.await(SyncPoint::core_stopped);
    const Socket late = dial(planner.process.address());
    late.send_all(hello(4));
    planner.process.reload([](const char*) -> const char* { return nullptr; });
    proxy.send_all(demand_report(3) + acknowledgement(3, 1));
    planner.process.handle(*protocol::EndpointListReader(names()).read(kTwoServerList));
    planner.sync.release(SyncPoint::core_stopped);
    CHECK(planner.stop() < 600ms);
    CHECK(wait_for_close(proxy));
    CHECK(wait_for_close(late));
}

TEST_CASE("a stop requested before run() takes effect") {
    DiscardingLog quiet;
    PlannerProcess process(start_configuration(""), clock_now(), quiet.log);
    process.stop();
    CHECK(process.run() == 0);
    CHECK(process.state() == LifecycleState::stopped);
}

TEST_CASE(
    "a proxy's new stream replaces its old one: it is joined once at a time, and the old stream's "
    "late acknowledgements do not count") {
    RunningPlanner planner;
    const Socket old = dial(planner.process.address());
    old.send_all(hello(3));
    const int nonce = read_nonce(old);
    REQUIRE(nonce >= 0);
    const Socket replacement = dial(planner.process.address());
    SECTION("the new one comes while an answer on the old one has been read and not been taken") {
        planner.sync.block_at(SyncPoint::bytes_received);
        replacement.send_all(hello(3));
        planner.sync.await(SyncPoint::bytes_received);
        old.send_all(acknowledgement(3, nonce));  // handled after the join
        planner.sync.release(SyncPoint::bytes_received);
        REQUIRE(read_nonce(replacement) >= 0);
        CHECK(wait_for_close(old));
        replacement.send_all("probe\r\n");
        CHECK(planner.recorder.all() == std::vector<std::string>{"joined", "left", "joined"});
    }
    SECTION("the old one has answered and ended, and nobody has read it, when the new one comes") {
        planner.sync.block_at(SyncPoint::connection_ready);
        old.send_all(acknowledgement(3, nonce));
        planner.sync.await(SyncPoint::connection_ready);
        old.shut_down();
        replacement.send_all(hello(3));
        planner.sync.release(SyncPoint::connection_ready);
        REQUIRE(read_nonce(replacement) >= 0);
        const auto events = planner.recorder.all();
        CHECK(events == std::vector<std::string>{"joined", "acknowledged", "left", "joined"});
    }
}
