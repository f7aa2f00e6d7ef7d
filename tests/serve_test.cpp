// An imported file, served: fake servers on loopback that can be made ill, and a proxy that
// joins and reads its orders.
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "command/planner_service.hpp"
#include "haproxy/translate.hpp"
#include "helpers.hpp"

using namespace micaroad;

namespace {

// A health-checked server on loopback: answers every request with its status, and counts them.
class FakeServer {
 public:
    FakeServer() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        ::bind(fd_, reinterpret_cast<sockaddr*>(&at), size);
        ::listen(fd_, 64);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
        thread_ = std::thread([this] {
            for (int from; (from = ::accept(fd_, nullptr, nullptr)) >= 0; ::close(from)) {
                char bytes[1024];
                const ssize_t got = ::read(from, bytes, sizeof bytes);
                if (got <= 0) {
                    continue;
                }
                ++asked;
                if (std::string_view(bytes, static_cast<std::size_t>(got))
                        .starts_with("HEAD /ping HTTP/1.1\r\nHost: shop.example\r\n")) {
                    ++well_asked;
                }
                const std::string answer =
                    fmt::format("HTTP/1.1 {} x\r\nContent-Length: 0\r\n\r\n", status.load());
                (void)!::write(from, answer.data(), answer.size());
            }
        });
    }
    ~FakeServer() { ::shutdown(fd_, SHUT_RDWR), thread_.join(), ::close(fd_); }
    std::atomic<int> status{200}, asked{0}, well_asked{0};
    int port = 0;

 private:
    int fd_;
    std::thread thread_;
};

// A proxy by the protocol's page: its table and whom it shuts out.
class Proxy {
 public:
    explicit Proxy(const net::Address& at) : socket_(net::Socket::unconnected(at)) {
        REQUIRE(socket_.connect(at, std::chrono::seconds(2)));
        REQUIRE(socket_.send_all("hello sidecar=0 az=here share=5 standing=1\r\n"));
    }
    // Reads on until the open servers are those, or the time is over.
    bool has(const std::set<std::string>& wanted, int ms = 4'000) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
        while (open() != wanted && std::chrono::steady_clock::now() < until) {
            read(50);
        }
        return open() == wanted;
    }
    std::set<std::string> open() const {
        std::set<std::string> open;
        for (const auto& [server, weight] : table_) {
            if (!shut_.contains(server)) {
                open.insert(server);
            }
        }
        return open;
    }
    const std::map<std::string, double>& table() const { return table_; }

 private:
    void read(int ms) {
        pollfd at{socket_.fd(), POLLIN, 0};
        if (::poll(&at, 1, ms) <= 0) {
            return;
        }
        char bytes[4096];
        const ssize_t got = socket_.receive(bytes, sizeof bytes);
        REQUIRE(got > 0);
        held_.append(bytes, static_cast<std::size_t>(got));
        for (std::size_t end; (end = held_.find("\r\n")) != std::string::npos;
             held_.erase(0, end + 2)) {
            take(held_.substr(0, end));
        }
    }
    void take(const std::string& line) {
        const auto list = [&line](const std::string& name) {
            std::vector<std::string> words;
            const auto at = line.find(" " + name + "=");
            if (at == std::string::npos) {
                return words;
            }
            const auto from = at + name.size() + 2;
            for (const char c : line.substr(from, line.find(' ', from) - from)) {
                c == ',' || words.empty()
                    ? (void)words.emplace_back(c == ',' ? "" : std::string(1, c))
                    : (void)(words.back() += c);
            }
            return words;
        };
        if (line.find(" full=1") != std::string::npos) {
            table_.clear();
        }
        for (const auto& word : list("endpoints")) {
            const double weight = std::stod(word.substr(word.rfind(':') + 1));
            const std::string server = word.substr(0, word.rfind(':'));
            weight > 0 ? (void)(table_[server] = weight) : (void)table_.erase(server);
        }
        for (const auto& server : list("eject")) {
            shut_.insert(server);
        }
        for (const auto& server : list("restore")) {
            shut_.erase(server);
        }
        for (const auto& mark : list("nonce_out")) {
            socket_.send_all(fmt::format("ack sidecar=0 version={} lag_ms=1\r\n", mark));
        }
    }

    net::Socket socket_;
    std::string held_;
    std::map<std::string, double> table_;
    std::set<std::string> shut_;
};

Clock clock_now() {
    return [begun = std::chrono::steady_clock::now()] {
        return TimePoint{Duration{17'000'000'000'000}} +
               std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begun);
    };
}

}  // namespace

TEST_CASE(
    "from HAProxy's file to a running planner: health, the backup's turn, a drain by reload, and "
    "back") {
    FakeServer a, b, spare;
    const std::string text = fmt::format(R"(defaults
 timeout connect 500ms
 timeout server 2s
backend web
 option httpchk HEAD /ping
 http-check send hdr Host shop.example
 default-server check inter 40ms rise 2 fall 2
 server a 127.0.0.1:{} weight 1
 server b 127.0.0.1:{} weight 3
 server spare 127.0.0.1:{} backup
)",
                                         a.port, b.port, spare.port);
    haproxy::TreeBuilder builder({});
    builder.add("shop.cfg", text);
    haproxy::Import import = haproxy::translate(builder.finish());
    REQUIRE(import.faults.empty());
    import.plan.service.listen = "127.0.0.1:0";
    import.plan.service.proxies = 4;

    test::DiscardingLog quiet;
    command::PlannerService served(import.plan, clock_now(), quiet.log);
    std::thread running([&] { CHECK(served.run() == 0); });
    for (int i = 0; i < 200 && served.state() != LifecycleState::serving; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    {
        Proxy proxy(served.address());
        CHECK(proxy.has({"web/a", "web/b"}));
        CHECK(proxy.table().at("web/b") / proxy.table().at("web/a") == Approx(3));
        b.status = 503;
        CHECK(proxy.has({"web/a"}));
        a.status = 500;
        CHECK(proxy.has({"web/spare"}));
        b.status = 204;
        CHECK(proxy.has({"web/b"}));
        a.status = 200;
        CHECK(proxy.has({"web/a", "web/b"}));
        // The file is read again: b drains, and another pool can't be taken in while it serves.
        routing::Plan plan = import.plan;
        plan.pools[0].servers[1].state = routing::State::draining;
        CHECK(served.replace(plan));
        CHECK(proxy.has({"web/a"}));
        routing::Plan other = plan;
        other.pools[0].name = "other";
        CHECK(!served.replace(other));
        CHECK(served.replace(import.plan));
        CHECK(proxy.has({"web/a", "web/b"}));
        CHECK((spare.asked > 2 && a.well_asked == a.asked));
    }
    served.stop();
    running.join();
}
