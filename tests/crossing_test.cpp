// Rare moments on real sockets: a thread is held at a named line (SyncPoints) while something else
// comes in between. Every crossing is forced, none is hoped for.
#include <sys/resource.h>

#include <cstdio>
#include <fstream>

#include "net/health_check_runner.hpp"
#include "net_helpers.hpp"
#include "program_helpers.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

// What ends an orderly connection: 0. A reset: -1.
ssize_t last_of(const Socket& socket) {
    char bytes[4096];
    socket.set_receive_timeout(10s);
    ssize_t got;
    while ((got = socket.receive(bytes, sizeof bytes)) > 0) {
        continue;
    }
    return got;
}

struct Entrance : Base {
    Acceptor acceptor;
    explicit Entrance(std::size_t connections = 40, std::size_t unidentified = 20)
        : acceptor(context(), connections, unidentified) {
        REQUIRE(acceptor.open(*address_of("127.0.0.1:0")));
    }
    Socket enter() { return dial(acceptor.address()); }
};

// Two connections of one event loop, without the kernel's small windows between.
struct Two : Base {
    ConnectionContext shared = context();
    EventLoop loop{shared, [](StreamId) {}};
    ThreadGroup threads{1};
    std::vector<std::shared_ptr<Connection>> connections;
    Socket flood, other;
    Two() {
        for (Socket* peer : {&flood, &other}) {
            int ends[2];
            REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
            *peer = Socket(ends[1]);
            const StreamId id{connections.size() + 1};
            connections.push_back(
                std::make_shared<Connection>(shared, id, Socket(ends[0]), "peer"));
            REQUIRE(loop.add(connections.back()));
        }
        REQUIRE(threads.start([this] { loop.run(); }));
    }
    ~Two() { loop.stop(), threads.wait(); }
};

}  // namespace

// ---- connections: dates, ends and shutdowns between two lines

TEST_CASE_METHOD(Entrance,
                 "a joining that came in time is heard, however late this process gets to it") {
    const Socket busy = enter();
    sync.hold(SyncPoint::connection_ready);
    busy.send_all("probe\r\n");
    sync.await(SyncPoint::connection_ready);
    const Socket proxy = enter();
    proxy.send_all(hello(5));
    std::this_thread::sleep_for(Connection::kJoinTimeout + 100ms);  // the date itself has to pass
    sync.let_go(SyncPoint::connection_ready);
    CHECK(next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(ended(busy));  // it only asked, and its date is over
}

TEST_CASE_METHOD(
    Entrance, "a connection whose date passes before it is watched ends, and nobody else by it") {
    sync.hold(SyncPoint::connection_listed);
    const Socket slow = enter();
    sync.await(SyncPoint::connection_listed);
    CHECK(ended(slow));  // the event loop ends it while the acceptor stands between two lines
    sync.let_go(SyncPoint::connection_listed);
    CHECK(alive(enter()));
}

TEST_CASE_METHOD(Entrance,
                 "who is accepted in the instant of the shutdown is ended with the others") {
    const Socket before = enter();
    REQUIRE(alive(before));
    sync.hold(SyncPoint::connection_accepted);
    const Socket late = enter();
    late.send_all(hello(5));
    sync.await(SyncPoint::connection_accepted);
    acceptor.begin_shutdown();
    sync.let_go(SyncPoint::connection_accepted);
    acceptor.shutdown();
    CHECK(ended(before));
    CHECK(ended(late));
    inbox.put(core_event::StopRequested{});
    next<core_event::StopRequested>();  // and it never joined
}

TEST_CASE_METHOD(Entrance, "bytes that come in the instant of the shutdown hold nothing up") {
    std::vector<Socket> peers;
    for (int i = 0; i < 8; ++i) {
        peers.push_back(enter()), peers.back().send_all(hello(i));
    }
    for (int i = 0; i < 8; ++i) {
        next<core_event::StreamOpened>();
    }
    sync.hold(SyncPoint::bytes_received);
    for (int i = 0; i < 8; ++i) {
        peers[i].send_all(usage(i) + answer(i, 1));
    }
    sync.await(SyncPoint::bytes_received);
    acceptor.begin_shutdown();
    sync.let_go(SyncPoint::bytes_received);
    const auto begun = steady_clock::now();
    acceptor.shutdown();
    CHECK(steady_clock::now() - begun < 600ms);  // the event loop looks up every 200 ms
    for (const Socket& peer : peers) {
        CHECK(ended(peer));
    }
}

TEST_CASE_METHOD(Entrance,
                 "who is in the middle of sending when the shutdown comes is told of it") {
    const Socket peer = enter();
    peer.send_all(hello(5));
    next<core_event::StreamOpened>();
    sync.hold(SyncPoint::bytes_received);
    const std::string much(16 << 20, ' ');  // more than the kernel holds for it
    const auto sends = beside([&] { return peer.send_all(much); });
    sync.await(SyncPoint::bytes_received);
    acceptor.begin_shutdown();
    sync.let_go(SyncPoint::bytes_received);
    acceptor.shutdown();
    CHECK(sends.wait_for(5s) == std::future_status::ready);
    peer.shut_down();  // else a failing test could not end
}

TEST_CASE("who has been read and not been taken yet is not shed") {
    Entrance entrance(2, 1);
    const Socket proxy = entrance.enter();
    entrance.sync.hold(SyncPoint::bytes_received);
    proxy.send_all(hello(5));
    entrance.sync.await(SyncPoint::bytes_received);
    const Socket newcomer = entrance.enter();
    CHECK(ended(newcomer));  // it finds nobody to go for it
    entrance.sync.let_go(SyncPoint::bytes_received);
    CHECK(entrance.next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
}

TEST_CASE("a proxy in the middle of its joining goes after those that say nothing") {
    Entrance entrance(12, 10);
    const Socket collector = entrance.enter();
    collector.send_all("agent az=a\r\n");
    REQUIRE(alive(collector));
    // Comes in, and has what it says read: what lay there before the collector's question is.
    const auto says = [&](const std::string& text) {
        Socket socket = entrance.enter();
        REQUIRE(alive(socket));
        socket.send_all(text);
        REQUIRE(alive(collector));
        return socket;
    };
    const Socket slow = says(hello(5).substr(0, 12));
    std::vector<Socket> silent, halves;
    for (int i = 0; i < 30; ++i) {
        silent.push_back(says(""));
    }
    CHECK(ended(silent.front()));
    slow.send_all(hello(5).substr(12));
    CHECK(entrance.next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    // Where all are in the middle of it, the oldest goes: hundreds that send half a message keep
    // nobody out.
    for (int i = 0; i < 30; ++i) {
        halves.push_back(says("hel"));
    }
    const Socket proxy = entrance.enter();
    proxy.send_all(hello(6));
    CHECK(entrance.next<core_event::StreamOpened>().joined.proxy == ProxyId{6});
    CHECK(ended(halves.front()));
}

TEST_CASE_METHOD(
    Entrance, "a joining that drips in joins past the usual date; one that never ends is ended") {
    const auto begun = steady_clock::now();
    const Socket slow = enter(), never = enter();
    const std::string line = hello(5);
    const auto step = (Connection::kJoinTimeout + 400ms) / line.size();
    for (const char c : line) {
        slow.send_all({&c, 1}), never.send_all("h");
        std::this_thread::sleep_for(step);
    }
    CHECK(next<core_event::StreamOpened>().joined.proxy == ProxyId{5});
    CHECK(steady_clock::now() > begun + Connection::kJoinTimeout);
    CHECK(ended(never));
    CHECK(steady_clock::now() < begun + 3s);  // the platform's date
}

TEST_CASE_METHOD(
    Entrance,
    "`error` comes through although more was sent than anybody read, and an orderly end after it") {
    const Socket peer = enter();
    peer.send_all(std::string(20'000, 'x'));
    CHECK(read_some(peer, 7) == "error\r\n");
    // It goes on for a moment, as it has not read that yet: nothing resets it.
    for (int i = 0; i < 10; ++i) {
        CHECK(peer.send_all(std::string(1'000, 'x')));
        std::this_thread::sleep_for(2ms);
    }
    CHECK(last_of(peer) == 0);
}

TEST_CASE_METHOD(
    Entrance, "who goes on sending after `error` is not read for ever, and makes way for others") {
    const auto begun = steady_clock::now();
    const Socket flood = enter(), quiet_one = enter();
    quiet_one.send_all("GET / HTTP/1.1\r\n\r\n");  // and keeps its connection open
    const std::string much(64 * 1024, 'x');
    while (flood.send_all(much)) {
        continue;
    }
    // Its half is closed at once; that all of it is, shows in that nothing is taken any more.
    bool taken = true;
    for (; taken && steady_clock::now() < begun + 2s; std::this_thread::sleep_for(10ms)) {
        taken = quiet_one.send_now("x");
    }
    CHECK(!taken);
    Entrance narrow(2, 1);
    const Socket collector = narrow.enter();
    collector.send_all("agent az=a\r\n");
    REQUIRE(alive(collector));
    const Socket refused = narrow.enter();
    refused.send_all("x\r\n");
    CHECK(read_some(refused, 7) == "error\r\n");
    narrow.sync.hold(SyncPoint::connection_ready);
    collector.send_all("probe\r\n");
    narrow.sync.await(SyncPoint::connection_ready);
    refused.send_all("and more, which nobody has read");
    const Socket newcomer = narrow.enter();
    const auto until = steady_clock::now() + 2s;  // it goes: nothing more is taken from it
    for (taken = true; taken && steady_clock::now() < until; std::this_thread::sleep_for(1ms)) {
        taken = refused.send_now("x");
    }
    CHECK(!taken);
    narrow.sync.let_go(SyncPoint::connection_ready);
    CHECK(alive(newcomer));
}

TEST_CASE_METHOD(Entrance,
                 "a long line right behind the joining is that proxy's, not a stranger's") {
    const Socket proxy = enter();
    proxy.send_all(hello(5) + "demand sidecar=5 kind=lookup" + std::string(3'000, ' ') +
                   "n=4 bad=0 window=500\r\n");
    next<core_event::StreamOpened>();
    next<core_event::ReportReceived>();
}

TEST_CASE_METHOD(
    Entrance, "joining, answer and usage in one segment count, whether an end or a reset follows") {
    const bool by_reset = GENERATE(false, true);
    Socket proxy = enter();
    sync.hold(SyncPoint::connection_ready);
    proxy.send_all(hello(5) + answer(5, 3) + usage(5));
    sync.await(SyncPoint::connection_ready);
    by_reset ? reset(std::move(proxy)) : (void)(proxy = Socket());
    sync.let_go(SyncPoint::connection_ready);
    const StreamId stream = next<core_event::StreamOpened>().stream;
    CHECK(next<core_event::StreamAcknowledged>().stream == stream);
    next<core_event::ReportReceived>();
    CHECK(next<core_event::StreamClosed>().reason == (by_reset ? "reset" : "closed by peer"));
    acceptor.write(stream, "push nonce_out=1\r\n");  // behind its end: nobody minds
    CHECK(alive(enter()));
}

TEST_CASE_METHOD(Two,
                 "a flood of answers costs its stream the rest of them, and no other stream one") {
    constexpr int kFlood = 50'000;
    flood.send_all(hello(5));
    const StreamId flooding = next<core_event::StreamOpened>().stream;
    other.send_all(hello(6));
    const StreamId good = next<core_event::StreamOpened>().stream;
    std::string lines;
    for (int i = 0; i < kFlood; ++i) {
        lines += i % 2 ? answer(5, i % 1000) : usage(5);
    }
    flood.send_all(lines);
    other.send_all(answer(6, 1) + usage(6));
    REQUIRE(alive(other));
    REQUIRE(alive(flood));  // all of it has been read
    std::size_t of_flood = 0, of_other = 0;
    inbox.put(core_event::StopRequested{});
    for (const auto& item : inbox.wait({})) {
        if (const auto* said = std::get_if<core_event::StreamAcknowledged>(&item.event)) {
            CHECK((said->stream == flooding || said->stream == good));
            ++(said->stream == flooding ? of_flood : of_other);
        }
        if (const auto* said = std::get_if<core_event::ReportReceived>(&item.event)) {
            ++(std::get<event::DemandReport>(said->report).proxy == ProxyId{5} ? of_flood
                                                                               : of_other);
        }
    }
    CHECK(of_flood == Connection::kMaxAcknowledgements);
    CHECK(of_other == 2);
    flood.send_all(answer(5, 7));  // once the core has taken all it is heard again
    CHECK(next<core_event::StreamAcknowledged>().stream == flooding);
}

TEST_CASE_METHOD(Two, "one collector that floods leaves room for what another reports") {
    flood.send_all("agent az=a\r\n"), other.send_all("agent az=b\r\n");
    const std::string report = "outcomes az=a host=s-1 n=4 bad=1 avg=30 window=500\r\n";
    std::string lines;
    for (std::size_t i = 0; i < Inbox::kMaxReports + 5'000; ++i) {
        lines += report;
    }
    flood.send_all(lines);
    REQUIRE(alive(flood));
    other.send_all("outcomes az=b host=s-1 n=9 bad=1 avg=30 window=500\r\n");
    REQUIRE(alive(other));
    const auto items = inbox.wait({});
    CHECK(items.size() == Inbox::kMaxReportsPerPeer + 1);
    CHECK(std::get<event::EndpointLoadReport>(
              std::get<core_event::ReportReceived>(items.back().event).report)
              .attempts == 9);
}

// ---- discovery: between any two lines of the watch

namespace {

const std::vector<SyncPoint> kWatchPoints{SyncPoint::watch_registered, SyncPoint::watch_connected,
                                          SyncPoint::watch_requested, SyncPoint::watch_responded};

std::string whole(int number, const std::string& tail = "") {
    std::string list = kTwoServerList;
    list.replace(list.find("41"), 2, std::to_string(number));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list +
           tail;
}
std::string half(const std::string& answer) {
    return answer.substr(0, answer.size() - 60) + "!";
}

struct Watched : Base {
    WatchTimeouts timeouts;
    Watched() {
        timeouts.initial_backoff = 1ms, timeouts.max_backoff = 20ms, timeouts.fetch_interval = 5ms;
    }
    std::unique_ptr<DiscoveryWatch> watch(Discovery& discovery) {
        return std::make_unique<DiscoveryWatch>("d", discovery.listener.local(), names, 41,
                                                kListBytes, pool, inbox, quiet.log, timeouts,
                                                &sync);
    }
    // The next list, past whatever else is said.
    core_event::EndpointListReceived list() {
        const TimePoint limit = clock_now()() + Duration{100'000};
        for (;;) {
            while (!held.empty()) {
                const CoreEvent first = held.front();
                held.erase(held.begin());
                if (const auto* told = std::get_if<core_event::EndpointListReceived>(&first)) {
                    return *told;
                }
            }
            REQUIRE(clock_now()() < limit);
            for (auto& item : inbox.wait(limit)) {
                held.push_back(std::move(item.event));
            }
        }
    }
};

}  // namespace

TEST_CASE_METHOD(
    Watched, "a fetch of the whole list that breaks off is made again, until the list has come") {
    const std::string bad = GENERATE(
        as<std::string>{}, half(whole(30)), "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n" + kTwoServerList.substr(0, 90) + "!", "!");
    Discovery discovery(
        {kWatch + chunk(version(42)), bad, bad, whole(30), kWatch + chunk(version(31))});
    const auto watching = watch(discovery);
    discovery.begin();
    REQUIRE(watching->start());
    CHECK(list().message.version == 42);
    watching->fetch();
    CHECK(list().message.version == 30);
    CHECK(list().message.version == 31);
    watching->stop();
    const auto& asked = discovery.all_asked();
    for (int n = 1; n <= 3; ++n) {
        CHECK(asked.at(n) == "GET /catalog/members HTTP/1.1");
    }
    // Versions count anew, and the watch with them: not from 42, which may never come.
    CHECK(asked.at(4) == "GET /catalog/members?stream=1&index=30 HTTP/1.1");
}

TEST_CASE_METHOD(Watched,
                 "where the whole list never comes, the watch goes on from the first version") {
    std::vector<std::string> answers{kWatch + chunk(version(42))};
    for (int i = 0; i < 3; ++i) {
        answers.push_back(half(whole(30)));
    }
    answers.push_back(kWatch + chunk(version(31)));
    Discovery discovery(answers);
    const auto watching = watch(discovery);
    discovery.begin();
    REQUIRE(watching->start());
    CHECK(list().message.version == 42);
    watching->fetch();
    CHECK(list().message.version == 31);
    watching->stop();
    CHECK(discovery.all_asked().at(4) == "GET /catalog/members?stream=1&index=0 HTTP/1.1");
}

TEST_CASE_METHOD(Watched, "a discovery whose versions never fit is asked for its list at a pace") {
    timeouts.fetch_interval = 50ms;
    std::vector<std::string> answers{kWatch + chunk(version(42))};
    for (int i = 0; i < 6; ++i) {
        answers.push_back(whole(50)), answers.push_back(kWatch + chunk(version(7)));
    }
    Discovery discovery(answers);
    const auto watching = watch(discovery);
    discovery.begin();
    REQUIRE(watching->start());
    list();
    const auto begun = steady_clock::now();
    for (int i = 0; i < 6; ++i) {
        watching->fetch();  // as the core does at each older version
        CHECK(list().message.version == 50);
        CHECK(list().message.version == 7);
    }
    CHECK(steady_clock::now() - begun >= 5 * timeouts.fetch_interval);
    watching->stop();
}

TEST_CASE_METHOD(Watched, "a fetch that is asked for between any two lines of the watch is made") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    timeouts.idle = 100ms;  // of the second answer, which is no whole list
    Discovery discovery({kWatch + chunk(version(42)) + "!", kWatch + chunk(version(43)), whole(50),
                         whole(50), kWatch});
    const auto watching = watch(discovery);
    sync.hold(point);
    discovery.begin();
    REQUIRE(watching->start());
    sync.await(point);
    watching->fetch();
    sync.let_go(point);
    while (list().message.list.form != event::EndpointListUpdate::Form::complete) {
        continue;
    }
    watching->stop();
    discovery.all_asked();
}

TEST_CASE_METHOD(Watched, "the end is heard between any two lines of the watch, whatever hangs") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    // One that takes and never speaks; at the last point one that has spoken and broken off.
    Discovery discovery(point == SyncPoint::watch_responded ? std::vector<std::string>{"!"}
                                                            : std::vector<std::string>{""});
    const auto watching = watch(discovery);
    sync.hold(point);
    discovery.begin();
    REQUIRE(watching->start());
    sync.await(point);
    watching->begin_stop();
    const auto begun = steady_clock::now();
    sync.let_go(point);
    watching->stop();
    CHECK(steady_clock::now() - begun < 300ms);  // of the 700 that the platform grants
}

TEST_CASE_METHOD(Watched,
                 "a new address that is told between any two lines of the watch is followed") {
    const SyncPoint point = GENERATE(from_range(kWatchPoints));
    Discovery old({kWatch + chunk(version(42)) + "!", kWatch + chunk(version(42))});
    Discovery moved({kWatch + chunk(version(43)), ""});
    const auto watching = watch(old);
    sync.hold(point);
    old.begin(), moved.begin();
    REQUIRE(watching->start());
    sync.await(point);
    watching->follow("moved", moved.listener.local());
    sync.let_go(point);
    while (list().message.version != 43) {
        continue;
    }
    // There and back, and there again while the way back is being dialled.
    watching->follow("d", old.listener.local());
    watching->follow("moved", moved.listener.local());
    CHECK(moved.connection(1).is_open());
    watching->stop();
}

TEST_CASE_METHOD(Watched,
                 "of more addresses than there are threads for, the one told last is followed") {
    Discovery old({kWatch + chunk(version(42))}), last({kWatch + chunk(version(60))});
    const auto watching = watch(old);
    old.begin(), last.begin();
    REQUIRE(watching->start());
    list();
    sync.hold(SyncPoint::watch_registered);
    watching->follow("n-1", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_registered);
    watching->follow("n-2", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_registered, 2);  // all threads are taken
    for (int n = 3; n < 12; ++n) {
        watching->follow("n-" + std::to_string(n), *address_of("127.0.0.1:1"));
    }
    watching->follow("last", last.listener.local());
    sync.let_go(SyncPoint::watch_registered);
    while (list().message.version != 60) {
        continue;
    }
    CHECK(ended(old.connection(0)));
    watching->stop();
}

TEST_CASE_METHOD(Watched, "an address that never speaks takes nothing from the one that does") {
    Discovery old({kWatch + chunk(version(42))});
    const auto watching = watch(old);
    old.begin();
    REQUIRE(watching->start());
    CHECK(next<core_event::EndpointListReceived>().message.version == 42);
    sync.hold(SyncPoint::watch_responded);
    watching->follow("mute", *address_of("127.0.0.1:1"));
    sync.await(SyncPoint::watch_responded);  // it came to nothing, and nothing was made of that yet
    sync.let_go(SyncPoint::watch_responded);
    sync.hold(SyncPoint::watch_responded);
    sync.await(SyncPoint::watch_responded);  // and now it was
    sync.let_go(SyncPoint::watch_responded);
    old.connection(0).send_all(chunk("\n") + chunk(version(43)));
    CHECK(next<core_event::EndpointListReceived>().message.version ==
          43);  // and no word of a lost list before it
    watching->stop();
}

TEST_CASE_METHOD(Watched,
                 "answers that drip, never end or break off anywhere are left in time, and nothing "
                 "of them is believed") {
    timeouts.idle = 300ms, timeouts.line = 150ms;
    const std::string good = kWatch + chunk(version(42));
    const std::string bad = GENERATE_COPY(
        as<std::string>{},
        kWatch + chunk(version(42)).substr(0, 1) + "!",           // a chunk cut in its length line
        kWatch + "zzz\r\n", "HTTP/1.1 2",                         // a status line that never ends
        "HTTP/1.1 200 OK\r\nX-Long: " + std::string(9'000, 'x'),  // nor a header
        "HTTP/1.1 200 OK\r\n\r\n" + version(42).substr(0, 20) + "!",  // no length, and cut
        kWatch + chunk(kTwoServerList.substr(0, kTwoServerList.find("},{") + 1)) +
            "!",  // between two servers
        "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + kTwoServerList.substr(0, 80));
    Discovery discovery({bad, kWatch + chunk(version(77))});
    const auto watching = watch(discovery);
    discovery.begin();
    const auto begun = steady_clock::now();
    REQUIRE(watching->start());
    const auto drips = beside([&] {
        for (int i = 0; i < 60 && discovery.connection(0).send_now("0"); ++i) {
            std::this_thread::sleep_for(10ms);
        }
    });
    drips.wait();
    CHECK(list().message.version == 77);
    CHECK(steady_clock::now() - begun < 2s);
    watching->stop();
    CHECK(discovery.all_asked().at(1) == "GET /catalog/members?stream=1&index=41 HTTP/1.1");
}

// ---- probes

TEST_CASE_METHOD(Base, "the end is heard between any two lines of a probe, whatever hangs") {
    const SyncPoint point =
        GENERATE(SyncPoint::health_check_registered, SyncPoint::health_check_connected);
    Discovery mute({""});
    mute.begin();
    HealthCheckRunner health_checks(pool, inbox, clock_now(), &sync);
    sync.hold(point);
    health_checks.start_check({"s-1"}, text_of(mute.listener.local()));
    sync.await(point);
    health_checks.begin_stop();
    const auto begun = steady_clock::now();
    sync.let_go(point);
    health_checks.stop();
    CHECK(steady_clock::now() - begun < 300ms);
    CHECK(!next<core_event::HealthCheckCompleted>().result.healthy);
}

// ---- the whole program

TEST_CASE("the program is gone well before it is killed, whatever hangs, floods and dials") {
    Discovery mute({"", ""});
    mute.begin();
    Running planner(text_of(mute.listener.local()));
    const Address address = planner.program.address();
    std::atomic<bool> over{false};
    const Socket flood = dial(address);
    flood.send_all(hello(3));
    while (planner.heard.all().empty()) {
        std::this_thread::yield();
    }
    const auto floods = beside([&] {
        std::string lines;
        for (int i = 0; i < 500; ++i) {
            lines += usage(3) + answer(3, 9'999);
        }
        while (!over && flood.send_all(lines)) {
            continue;
        }
    });
    const auto dials = beside([&] {
        for (int i = 0; i < 100 && !over; ++i) {
            Socket socket = Socket::unconnected(address);
            if (!socket.connect(address, 1s)) {
                break;
            }
            socket.send_now(hello(i % 8));
        }
    });
    while (planner.heard.all().size() < 3) {
        std::this_thread::yield();  // some of them have joined
    }
    const auto took = planner.stop();
    over = true;
    floods.wait(), dials.wait();
    CHECK(took < 600ms);
}

TEST_CASE("what arrives between the core's end and the drivers' is not waited for") {
    Running planner;
    const Socket proxy = dial(planner.program.address());
    proxy.send_all(hello(3));
    REQUIRE(read_mark(proxy) >= 0);
    planner.sync.hold(SyncPoint::core_stopped);
    planner.program.stop();
    planner.sync.await(SyncPoint::core_stopped);
    const Socket late = dial(planner.program.address());
    late.send_all(hello(4));
    planner.program.reload([](const char*) -> const char* { return nullptr; });
    proxy.send_all(usage(3) + answer(3, 1));
    planner.program.handle(*protocol::EndpointListReader(names()).read(kTwoServerList));
    planner.sync.let_go(SyncPoint::core_stopped);
    CHECK(planner.stop() < 600ms);
    CHECK(ended(proxy));
    CHECK(ended(late));
}

TEST_CASE("the end that is told before the program has begun is heard") {
    DiscardingLog quiet;
    PlannerProcess program(start_file(""), clock_now(), quiet.log);
    program.stop();
    CHECK(program.run() == 0);
    CHECK(program.state() == LifecycleState::stopped);
}

TEST_CASE(
    "a proxy's new stream and its old one cross: one joining at a time, answers of the old one "
    "count no more") {
    Running planner;
    const Socket old = dial(planner.program.address());
    old.send_all(hello(3));
    const int mark = read_mark(old);
    REQUIRE(mark >= 0);
    const Socket fresh = dial(planner.program.address());
    SECTION("the new one comes while an answer on the old one has been read and not been taken") {
        planner.sync.hold(SyncPoint::bytes_received);
        fresh.send_all(hello(3));
        planner.sync.await(SyncPoint::bytes_received);
        old.send_all(answer(3, mark));  // heard behind the joining
        planner.sync.let_go(SyncPoint::bytes_received);
        REQUIRE(read_mark(fresh) >= 0);
        CHECK(ended(old));
        fresh.send_all("probe\r\n");
        CHECK(planner.heard.all() == std::vector<std::string>{"joined", "left", "joined"});
    }
    SECTION("the old one has answered and ended, and nobody has read it, when the new one comes") {
        planner.sync.hold(SyncPoint::connection_ready);
        old.send_all(answer(3, mark));
        planner.sync.await(SyncPoint::connection_ready);
        old.shut_down();
        fresh.send_all(hello(3));
        planner.sync.let_go(SyncPoint::connection_ready);
        REQUIRE(read_mark(fresh) >= 0);
        const auto events = planner.heard.all();
        CHECK(events == std::vector<std::string>{"joined", "answered", "left", "joined"});
    }
}
