// Fixtures and fakes for tests of the code under src/net: a blocking SyncPoints, a scripted HTTP
// server on loopback and a connection over a socket pair. Each wait ends as soon as its condition
// holds; its time limit only keeps a failing test from hanging.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "helpers.hpp"
#include "net/acceptor.hpp"
#include "net/discovery_watch.hpp"
#include "net/event_loop.hpp"
#include "planner/sync_points.hpp"

namespace micaroad::test {

using namespace micaroad::net;
using namespace std::chrono_literals;

// Blocks every thread that reaches a point passed to block_at(), until that point is released.
class BlockingSyncPoints : public SyncPoints {
 public:
    ~BlockingSyncPoints() override {
        const std::lock_guard lock(mutex_);
        release_all();
    }
    void block_at(SyncPoint point) {
        const std::lock_guard lock(mutex_);
        blocked_[point] = 0;
    }
    // Waits until `threads` threads are blocked at the point.
    void await(SyncPoint point, int threads = 1) {
        std::unique_lock lock(mutex_);
        const bool blocked =
            changed_.wait_for(lock, 10s, [&] { return blocked_.at(point) >= threads; });
        if (!blocked) {
            release_all();  // otherwise the failing test could not end
        }
        REQUIRE(blocked);
    }
    void release(SyncPoint point) {
        const std::lock_guard lock(mutex_);
        blocked_.erase(point);
        ++releases_[point];
        changed_.notify_all();
    }
    void reached(SyncPoint point) override {
        std::unique_lock lock(mutex_);
        const auto found = blocked_.find(point);
        if (found == blocked_.end()) {
            return;
        }
        ++found->second;
        changed_.notify_all();
        changed_.wait(lock, [&, before = releases_[point]] { return releases_[point] != before; });
    }

 private:
    void release_all() {
        for (const auto& [point, threads] : std::exchange(blocked_, {})) {
            ++releases_[point];
        }
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<SyncPoint, int> blocked_;   // number of threads blocked, for each point to block at
    std::map<SyncPoint, int> releases_;  // how often each point was released
};

// A clock that reads the steady clock.
inline Clock clock_now() {
    return [] {
        return TimePoint{std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch())};
    };
}

// What acceptors, connections and watches share: an inbox, buffer pools, names, sync points, a log.
struct NetFixture {
    DiscardingLog quiet;
    const SymbolTable names = test::names();
    protocol::BufferPool read_buffers{512};
    Inbox inbox{clock_now()};
    std::vector<CoreEvent> pending;

    protocol::BufferPool line_buffers{64}, write_buffers{320};
    const protocol::Bounds bounds{8};

    BlockingSyncPoints sync;
    ConnectionContext context() {
        return {names, bounds, read_buffers, line_buffers, write_buffers, inbox, quiet.log, &sync};
    }

    // Waits for the next event of the inbox; the test fails if it is not of type `Event`.
    template <class Event>
    Event expect_next() {
        const TimePoint deadline = clock_now()() + Duration{100'000};
        while (pending.empty() && clock_now()() < deadline) {
            for (auto& item : inbox.wait(deadline)) {
                pending.push_back(std::move(item.event));
            }
        }
        REQUIRE(!pending.empty());
        const CoreEvent first = pending.front();
        pending.erase(pending.begin());
        INFO("index of the event in CoreEvent: " << first.index());
        REQUIRE(std::holds_alternative<Event>(first));
        return std::get<Event>(first);
    }
};

// Receives `count` bytes, or fewer if the connection ends or the receive times out before.
inline std::string receive_bytes(const Socket& socket, std::size_t count) {
    socket.set_receive_timeout(10s);
    std::string text(count, '\0');
    std::size_t size = 0;
    while (size < count) {
        const ssize_t got = socket.receive(text.data() + size, count - size);
        if (got <= 0) {
            break;
        }
        size += static_cast<std::size_t>(got);
    }
    return text.substr(0, size);
}
// Discards what is received until the connection ends, in order or by a reset. Returns false if it
// does not end within the receive timeout.
inline bool wait_for_close(const Socket& socket) {
    char bytes[64];
    socket.set_receive_timeout(10s);
    ssize_t got;
    while ((got = socket.receive(bytes, sizeof bytes)) > 0) {
        continue;
    }
    return got == 0 || got == -1;
}

inline Socket dial(const Address& address) {
    Socket socket = Socket::unconnected(address);
    REQUIRE(socket.connect(address, 5s));
    return socket;
}

// A connection in an event loop on a thread of its own, with `peer` as the other end of its socket.
struct ConnectionFixture : NetFixture {
    Socket peer;
    ConnectionContext connection_context = context();
    EventLoop loop{connection_context, [](StreamId) {}};
    ThreadGroup threads{1};
    std::shared_ptr<Connection> connection;
    ConnectionFixture() {
        int ends[2];
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
        peer = Socket(ends[1]);
        connection =
            std::make_shared<Connection>(connection_context, StreamId{1}, Socket(ends[0]), "peer");
        REQUIRE(loop.add(connection));
        REQUIRE(threads.start([this] { loop.run(); }));
    }
    ~ConnectionFixture() { connection->close(), loop.stop(), threads.wait(); }
};

constexpr std::size_t kMaxListBytes = 16 * 1024 * 1024;  // the bound for 128 MB of memory
inline const std::string kHello = "hello sidecar=3 az=a share=2 standing=1\r\n";

// An HTTP server on loopback that plays discovery or a server whose health is checked. It sends
// each connection the next of its responses and then keeps the connection open, unless the response
// ends in "!": then it shuts the connection down.
struct FakeHttpServer {
    Socket listener;
    std::vector<std::string> responses;
    std::vector<std::string> requests;  // the first line of each
    std::vector<Socket> connections;    // never reallocated, as tests keep references to elements
    std::atomic<std::size_t> responses_sent{0};
    std::thread thread;
    explicit FakeHttpServer(std::vector<std::string> texts) : responses(std::move(texts)) {
        listener = Socket::listen(*address_of("127.0.0.1:0")).value();
        REQUIRE(listener.is_open());
        connections.reserve(responses.size());
    }
    // Waits until the response on connection `n` has been sent.
    Socket& connection(std::size_t n) {
        while (responses_sent <= n) {
            std::this_thread::yield();
        }
        return connections.data()[n];
    }
    void start() {
        thread = std::thread([this] {
            for (const std::string& response : responses) {
                Socket socket(::accept(listener.fd(), nullptr, nullptr));
                if (!socket.is_open()) {
                    return;
                }
                std::string text;
                for (char c;
                     text.find("\r\n\r\n") == std::string::npos && socket.receive(&c, 1) == 1;) {
                    text += c;
                }
                requests.push_back(text.substr(0, text.find('\r')));
                socket.send_all(response);
                if (response.ends_with('!')) {
                    socket.shut_down();
                }
                connections.push_back(std::move(socket));
                ++responses_sent;
            }
        });
    }
    const std::vector<std::string>& stop_and_get_requests() {
        listener.shut_down();
        if (thread.joinable()) {
            thread.join();
        }
        return requests;
    }
    ~FakeHttpServer() { stop_and_get_requests(); }
};

// The text as one chunk of a chunked HTTP body.
inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
// The beginning of discovery's response to a watch.
inline const std::string kWatchHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
// An incremental update of the endpoint list that changes its version alone.
inline std::string empty_update(int version) {
    return R"({"version":)" + std::to_string(version) + R"(,"full":false,"servers":[]})" + "\n";
}

}  // namespace micaroad::test
