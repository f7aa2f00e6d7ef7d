#include "net/health_check_runner.hpp"

#include "net/health_check_connection.hpp"
#include "protocol/http.hpp"

namespace micaroad::net {

namespace {

constexpr int kHealthyStatus = 200;

}  // namespace

void HealthCheckRunner::start_check(const ServerId& server, const std::string& address) {
    const TimePoint started_at = clock_();
    const auto complete = [this, server, started_at](bool healthy) {
        inbox_.put(core_event::HealthCheckCompleted{{server, healthy, clock_() - started_at}});
    };
    const auto parsed = address_of(address);
    if (!parsed) {
        complete(false);
        return;
    }
    const bool started = threads_.start([this, complete, parsed_address = *parsed, host = address] {
        complete(is_healthy(parsed_address, host));
    });
    if (!started) {
        complete(false);
    }
}

void HealthCheckRunner::stop() {
    begin_stop();
    threads_.wait();
}

bool HealthCheckRunner::is_healthy(const Address& address, const std::string& host) {
    HealthCheckConnection connection(sockets_, address, sync_);
    if (!connection.connect(kTimeout)) {
        return false;
    }
    if (!connection.send(protocol::http_get(host, "/ping"), kTimeout)) {
        return false;
    }
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    const protocol::BufferPool::Lease buffer = pool_.take();
    if (!buffer) {
        return false;
    }
    return connection.receive_status(*buffer, ResponsePart::headers, deadline) == kHealthyStatus;
}

}  // namespace micaroad::net
