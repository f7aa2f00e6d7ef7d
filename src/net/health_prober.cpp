#include "net/health_prober.hpp"

#include <utility>

#include "protocol/http.hpp"

namespace micaroad::net {
namespace {

constexpr Duration kLongestSleep = std::chrono::seconds(1);  // slow starts move by steps meanwhile
constexpr std::size_t kAnswer = 2'048;  // of which the first line is all that counts

std::chrono::milliseconds ms(Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span) +
           std::chrono::milliseconds(1);
}

}  // namespace

HealthProber::HealthProber(routing::Plan plan, Clock clock, Tell tell, Log& log)
    : clock_(std::move(clock)),
      tell_(std::move(tell)),
      log_(log),
      keeper_(std::move(plan), clock_()) {}

bool HealthProber::start() {
    return keeping_.start([this] { keep(); });
}

void HealthProber::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const Socket* socket : live_) {
            socket->shut_down();
        }
    }
    wake_.notify_all();
    keeping_.wait();
    threads_.wait();
}

bool HealthProber::replace(routing::Plan plan) {
    {
        const std::lock_guard lock(mutex_);
        if (!keeper_.replace(std::move(plan), clock_())) {
            return false;
        }
        replaced_ = true;
    }
    wake_.notify_all();
    return true;
}

void HealthProber::keep() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = clock_();
        for (const auto& [server, ok] : std::exchange(answers_, {})) {
            const std::string what = keeper_.probed(server, ok, now);
            if (!what.empty()) {
                log_.info("health: {}", what);
            }
        }
        replaced_ = false;
        if (auto list = keeper_.changed(now)) {
            tell_(std::move(*list), keeper_.addresses());
        }
        for (auto& probe : keeper_.take_due(now)) {
            threads_.start([this, probe = std::move(probe)] { ask(probe); });
        }
        const TimePoint due =
            std::min(keeper_.next_due().value_or(now + kLongestSleep), now + kLongestSleep);
        wake_.wait_for(lock, std::max(due - clock_(), Duration{1}),
                       [this] { return stopping_ || replaced_ || !answers_.empty(); });
    }
}

void HealthProber::ask(const routing::Keeper::Probe& probe) {
    const bool ok = answers(probe);
    {
        const std::lock_guard lock(mutex_);
        if (!stopping_) {
            answers_.emplace_back(probe.server, ok);
        }
    }
    wake_.notify_all();
}

bool HealthProber::answers(const routing::Keeper::Probe& probe) {
    const auto address = address_of(probe.address);
    if (!address) {
        return false;
    }
    Socket socket = Socket::unconnected(*address);
    if (!socket.open()) {
        return false;
    }
    struct Live {
        HealthProber& prober;
        const Socket& socket;
        ~Live() {
            const std::lock_guard lock(prober.mutex_);
            prober.live_.erase(&socket);
        }
    };
    {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return false;
        }
        live_.insert(&socket);
    }
    const Live live{*this, socket};
    const Duration patience =
        probe.rule.patience > Duration{} ? probe.rule.patience : probe.rule.every;
    const auto until = std::chrono::steady_clock::now() + ms(patience);
    if (!socket.connect(*address, ms(patience))) {
        return false;
    }
    {
        // A socket that is shut down before it is connected may not hear of it.
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return false;
        }
    }
    if (probe.rule.kind == routing::HealthRule::Kind::connect) {
        return true;
    }
    socket.wait_at_most(ms(patience));
    const std::string& host = probe.rule.http_host.empty() ? probe.address : probe.rule.http_host;
    if (!socket.send_all(
            protocol::http_request(probe.rule.http_method, host, probe.rule.http_path))) {
        return false;
    }
    protocol::HttpReader http;
    char bytes[kAnswer];
    while (http.status() == 0 && std::chrono::steady_clock::now() < until) {
        const ssize_t got = socket.receive(bytes, sizeof bytes);
        if (got <= 0 ||
            !http.feed({bytes, static_cast<std::size_t>(got)}, [](std::string_view) {})) {
            return false;
        }
    }
    return http.status() >= probe.rule.status_least && http.status() <= probe.rule.status_most;
}

}  // namespace micaroad::net
