// Serving an imported HAProxy configuration, with fake servers on loopback whose health checks can
// be made to fail, and a fake proxy that joins the planner and applies its orders.
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

// A health-checked server on loopback that answers every request with `status` and counts requests.
class FakeServer {
 public:
    FakeServer() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(fd_, 64);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        thread_ = std::thread([this] {
            for (int from; (from = ::accept(fd_, nullptr, nullptr)) >= 0; ::close(from)) {
                char bytes[1024];
                const ssize_t received = ::read(from, bytes, sizeof bytes);
                if (received <= 0) {
                    continue;
                }
                ++requests;
                if (std::string_view(bytes, static_cast<std::size_t>(received))
                        .starts_with("HEAD /ping HTTP/1.1\r\nHost: shop.example\r\n")) {
                    ++valid_requests;
                }
                const std::string response =
                    fmt::format("HTTP/1.1 {} x\r\nContent-Length: 0\r\n\r\n", status.load());
                (void)!::write(from, response.data(), response.size());
            }
        });
    }
    ~FakeServer() { ::shutdown(fd_, SHUT_RDWR), thread_.join(), ::close(fd_); }
    std::atomic<int> status{200}, requests{0}, valid_requests{0};
    int port = 0;

 private:
    int fd_;
    std::thread thread_;
};

// A proxy that speaks the documented protocol: it keeps its table and the servers that are ejected.
class FakeProxy {
 public:
    explicit FakeProxy(const net::Address& at) : socket_(net::Socket::unconnected(at)) {
        REQUIRE(socket_.connect(at, std::chrono::seconds(2)));
        REQUIRE(socket_.send_all("hello sidecar=0 az=here share=5 standing=1\r\n"));
    }
    // Reads orders until the open servers are the expected ones; false on timeout.
    bool await_open_servers(const std::set<std::string>& expected, int timeout_ms = 4'000) {
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
        while (open_servers() != expected && std::chrono::steady_clock::now() < deadline) {
            read(50);
        }
        return open_servers() == expected;
    }
    std::set<std::string> open_servers() const {
        std::set<std::string> open_servers;
        for (const auto& [server, weight] : table_) {
            if (!ejected_.contains(server)) {
                open_servers.insert(server);
            }
        }
        return open_servers;
    }
    const std::map<std::string, double>& table() const { return table_; }

 private:
    void read(int timeout_ms) {
        pollfd poll_entry{socket_.fd(), POLLIN, 0};
        if (::poll(&poll_entry, 1, timeout_ms) <= 0) {
            return;
        }
        char bytes[4096];
        const ssize_t received = socket_.receive(bytes, sizeof bytes);
        REQUIRE(received > 0);
        buffer_.append(bytes, static_cast<std::size_t>(received));
        for (std::size_t end; (end = buffer_.find("\r\n")) != std::string::npos;
             buffer_.erase(0, end + 2)) {
            apply(buffer_.substr(0, end));
        }
    }
    void apply(const std::string& line) {
        const auto list_field = [&line](const std::string& name) {
            std::vector<std::string> items;
            const auto found = line.find(" " + name + "=");
            if (found == std::string::npos) {
                return items;
            }
            const auto from = found + name.size() + 2;
            for (const char c : line.substr(from, line.find(' ', from) - from)) {
                c == ',' || items.empty()
                    ? (void)items.emplace_back(c == ',' ? "" : std::string(1, c))
                    : (void)(items.back() += c);
            }
            return items;
        };
        if (line.find(" full=1") != std::string::npos) {
            table_.clear();
        }
        for (const auto& entry : list_field("endpoints")) {
            const double weight = std::stod(entry.substr(entry.rfind(':') + 1));
            const std::string server = entry.substr(0, entry.rfind(':'));
            weight > 0 ? (void)(table_[server] = weight) : (void)table_.erase(server);
        }
        for (const auto& server : list_field("eject")) {
            ejected_.insert(server);
        }
        for (const auto& server : list_field("restore")) {
            ejected_.erase(server);
        }
        for (const auto& nonce : list_field("nonce_out")) {
            socket_.send_all(fmt::format("ack sidecar=0 version={} lag_ms=1\r\n", nonce));
        }
    }

    net::Socket socket_;
    std::string buffer_;
    std::map<std::string, double> table_;
    std::set<std::string> ejected_;
};

// A clock that starts at a fixed time and advances with the steady clock.
Clock make_clock() {
    return [started_at = std::chrono::steady_clock::now()] {
        return TimePoint{Duration{17'000'000'000'000}} +
               std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - started_at);
    };
}

}  // namespace

TEST_CASE(
    "a served import follows health checks, uses the backup, and drains and restores a server on "
    "reload") {
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

    test::DiscardingLog discarding_log;
    command::PlannerService service(import.plan, make_clock(), discarding_log.log);
    std::thread service_thread([&] { CHECK(service.run() == 0); });
    for (int i = 0; i < 200 && service.state() != LifecycleState::serving; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    {
        FakeProxy proxy(service.address());
        CHECK(proxy.await_open_servers({"web/a", "web/b"}));
        CHECK(proxy.table().at("web/b") / proxy.table().at("web/a") == Approx(3));
        b.status = 503;
        CHECK(proxy.await_open_servers({"web/a"}));
        a.status = 500;
        CHECK(proxy.await_open_servers({"web/spare"}));
        b.status = 204;
        CHECK(proxy.await_open_servers({"web/b"}));
        a.status = 200;
        CHECK(proxy.await_open_servers({"web/a", "web/b"}));
        // A reload drains b; a reload that changes the set of pools is rejected.
        routing::Plan plan = import.plan;
        plan.pools[0].servers[1].state = routing::State::draining;
        CHECK(service.replace(plan));
        CHECK(proxy.await_open_servers({"web/a"}));
        routing::Plan other = plan;
        other.pools[0].name = "other";
        CHECK(!service.replace(other));
        CHECK(service.replace(import.plan));
        CHECK(proxy.await_open_servers({"web/a", "web/b"}));
        CHECK((spare.requests > 2 && a.valid_requests == a.requests));
    }
    service.stop();
    service_thread.join();
}
