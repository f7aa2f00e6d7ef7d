#include "net/health_checker.hpp"

#include <algorithm>
#include <utility>

#include "net/health_check_connection.hpp"
#include "protocol/http.hpp"

namespace micaroad::net {

namespace {

// Longest sleep between two passes over the health checks, and so the longest step of a slow start.
constexpr Duration kMaxSleep = std::chrono::seconds(1);
// Only the status line of a response is used.
constexpr std::size_t kResponseBufferBytes = 2'048;

std::chrono::milliseconds rounded_up(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration) +
           std::chrono::milliseconds(1);
}

std::chrono::milliseconds timeout_of(const routing::HealthRule& rule) {
    return rounded_up(rule.timeout > Duration{} ? rule.timeout : rule.interval);
}

}  // namespace

HealthChecker::HealthChecker(routing::Plan plan, Clock clock, OnList on_list, Log& log)
    : clock_(std::move(clock)),
      on_list_(std::move(on_list)),
      log_(log),
      endpoints_(std::move(plan), clock_()) {}

bool HealthChecker::start() {
    return thread_.start([this] { run(); });
}

void HealthChecker::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        sockets_.stop();
    }
    wakeup_.notify_all();
    thread_.wait();
    check_threads_.wait();
}

bool HealthChecker::replace(routing::Plan plan) {
    {
        const std::lock_guard lock(mutex_);
        if (!endpoints_.replace(std::move(plan), clock_())) {
            return false;
        }
        plan_replaced_ = true;
    }
    wakeup_.notify_all();
    return true;
}

void HealthChecker::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = clock_();
        for (const CheckResult& result : std::exchange(results_, {})) {
            const std::optional<routing::HealthChange> change =
                endpoints_.on_check_result(result.server, result.healthy, now);
            if (change) {
                log_.info("health_check: state changed server={} detail=\"{}\"", result.server,
                          routing::describe(*change));
            }
        }
        plan_replaced_ = false;
        if (auto list = endpoints_.take_changed_list(now)) {
            on_list_(std::move(*list), endpoints_.addresses());
        }
        for (Check& check : endpoints_.take_due(now)) {
            (void)check_threads_.start([this, check = std::move(check)] { run_check(check); });
        }
        const TimePoint wake_by = now + kMaxSleep;
        const TimePoint due = std::min(endpoints_.next_due().value_or(wake_by), wake_by);
        wakeup_.wait_for(lock, std::max(due - clock_(), Duration{1}),
                         [this] { return stopping_ || plan_replaced_ || !results_.empty(); });
    }
}

void HealthChecker::run_check(const Check& check) {
    const bool healthy = is_healthy(check);
    {
        const std::lock_guard lock(mutex_);
        if (!stopping_) {
            results_.push_back({check.server, healthy});
        }
    }
    wakeup_.notify_all();
}

bool HealthChecker::is_healthy(const Check& check) {
    const auto address = address_of(check.address);
    if (!address) {
        return false;
    }
    const routing::HealthRule& rule = check.rule;
    HealthCheckConnection connection(sockets_, *address);
    const auto timeout = timeout_of(rule);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    if (!connection.connect(timeout)) {
        return false;
    }
    if (rule.kind == routing::HealthRule::Kind::connect) {
        return true;
    }
    const std::string& host = rule.http_host.empty() ? check.address : rule.http_host;
    if (!connection.send(protocol::http_request(rule.http_method, host, rule.http_path), timeout)) {
        return false;
    }
    char buffer[kResponseBufferBytes];
    const auto status = connection.receive_status(buffer, ResponsePart::status_line, deadline);
    return status && *status >= rule.min_status && *status <= rule.max_status;
}

}  // namespace micaroad::net
