// What tests of the drivers share: stand-ins of our own on loopback, and arrivals as they come.
// Waits end with what they wait for; their limits only keep a failing test from hanging.
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

// Holds whoever reaches a place that is to be held, until it is let go.
class Holder : public SyncPoints {
 public:
    ~Holder() override {
        const std::lock_guard lock(mutex_);
        let_go_all();
    }
    void hold(SyncPoint point) {
        const std::lock_guard lock(mutex_);
        held_[point] = 0;
    }
    void await(SyncPoint point, int number = 1) {  // until as many are held there
        std::unique_lock lock(mutex_);
        const bool there = changed_.wait_for(lock, 10s, [&] { return held_.at(point) >= number; });
        if (!there) {
            let_go_all();  // else the failing test could not end
        }
        REQUIRE(there);
    }
    void let_go(SyncPoint point) {
        const std::lock_guard lock(mutex_);
        held_.erase(point);
        ++times_[point];
        changed_.notify_all();
    }
    void reached(SyncPoint point) override {
        std::unique_lock lock(mutex_);
        const auto at = held_.find(point);
        if (at == held_.end()) {
            return;
        }
        ++at->second;
        changed_.notify_all();
        changed_.wait(lock, [&, time = times_[point]] { return times_[point] != time; });
    }

 private:
    void let_go_all() {
        for (const auto& [point, number] : std::exchange(held_, {})) {
            ++times_[point];
        }
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<SyncPoint, int> held_;   // how many are held there
    std::map<SyncPoint, int> times_;  // that those held there were let go
};

inline Clock clock_now() {
    return [] {
        return TimePoint{std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch())};
    };
}

struct Base {
    DiscardingLog quiet;
    const SymbolTable names = test::names();
    protocol::BufferPool pool{512};
    Inbox inbox{clock_now()};
    std::vector<CoreEvent> held;

    protocol::BufferPool lines{64}, writing{320};
    const protocol::Bounds bounds{8};

    Holder sync;
    ConnectionContext context() {
        return {names, bounds, pool, lines, writing, inbox, quiet.log, &sync};
    }

    // The next arrival; any that is no `Kind` fails the test.
    template <class Kind>
    Kind next() {
        const TimePoint limit = clock_now()() + Duration{100'000};
        while (held.empty() && clock_now()() < limit) {
            for (auto& item : inbox.wait(limit)) {
                held.push_back(std::move(item.event));
            }
        }
        REQUIRE(!held.empty());
        const CoreEvent first = held.front();
        held.erase(held.begin());
        INFO("arrival " << first.index());
        REQUIRE(std::holds_alternative<Kind>(first));
        return std::get<Kind>(first);
    }
};

inline std::string read_some(const Socket& socket, std::size_t least) {
    socket.set_receive_timeout(10s);
    std::string text(least, '\0');
    std::size_t size = 0;
    while (size < least) {
        const ssize_t got = socket.receive(text.data() + size, least - size);
        if (got <= 0) {
            break;
        }
        size += static_cast<std::size_t>(got);
    }
    return text.substr(0, size);
}
inline bool ended(const Socket& socket) {
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

struct Pair : Base {
    Socket peer;
    ConnectionContext shared = context();
    EventLoop loop{shared, [](StreamId) {}};
    ThreadGroup threads{1};
    std::shared_ptr<Connection> connection;
    Pair() {
        int ends[2];
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
        peer = Socket(ends[1]);
        connection = std::make_shared<Connection>(shared, StreamId{1}, Socket(ends[0]), "peer");
        REQUIRE(loop.add(connection));
        REQUIRE(threads.start([this] { loop.run(); }));
    }
    ~Pair() { connection->close(), loop.stop(), threads.wait(); }
};

constexpr std::size_t kListBytes = 16 * 1024 * 1024;  // that a list may have, as at 128 MB
inline const std::string kHello = "hello sidecar=3 az=a share=2 standing=1\r\n";

// Discovery of our own: gives each connection the next of its answers, then holds it open.
struct Discovery {
    Socket listener;
    std::vector<std::string> answers;
    std::vector<std::string> asked;
    std::vector<Socket> open;  // never moved: others use what stands in it
    std::atomic<std::size_t> taken{0};
    std::thread thread;
    explicit Discovery(std::vector<std::string> texts) : answers(std::move(texts)) {
        listener = Socket::listen(*address_of("127.0.0.1:0")).value();
        REQUIRE(listener.is_open());
        open.reserve(answers.size());
    }
    Socket& connection(std::size_t n) {  // once it has been answered
        while (taken <= n) {
            std::this_thread::yield();
        }
        return open.data()[n];
    }
    void begin() {
        thread = std::thread([this] {
            for (const std::string& answer : answers) {
                Socket socket(::accept(listener.fd(), nullptr, nullptr));
                if (!socket.is_open()) {
                    return;
                }
                std::string text;
                for (char c;
                     text.find("\r\n\r\n") == std::string::npos && socket.receive(&c, 1) == 1;) {
                    text += c;
                }
                asked.push_back(text.substr(0, text.find('\r')));
                socket.send_all(answer);
                if (answer.ends_with('!')) {
                    socket.shut_down();
                }
                open.push_back(std::move(socket));
                ++taken;
            }
        });
    }
    const std::vector<std::string>& all_asked() {  // it answers no more
        listener.shut_down();
        if (thread.joinable()) {
            thread.join();
        }
        return asked;
    }
    ~Discovery() { all_asked(); }
};

inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
inline const std::string kWatch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string version(int number) {
    return R"({"version":)" + std::to_string(number) + R"(,"full":false,"servers":[]})" + "\n";
}

}  // namespace micaroad::test
