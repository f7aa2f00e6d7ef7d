#include "net/prober.hpp"

#include "net/http_status.hpp"
#include "protocol/http.hpp"

namespace micaroad::net {

namespace {

constexpr int kHealthyStatus = 200;

}  // namespace

void Prober::ask(const ServerId& server, const std::string& address) {
    const TimePoint begun = clock_();
    const auto complete = [this, server, begun](bool healthy) {
        inbox_.put(core_event::HealthCheckCompleted{{server, healthy, clock_() - begun}});
    };
    const auto parsed = address_of(address);
    if (!parsed) {
        complete(false);
        return;
    }
    const bool started = threads_.start(
        [this, complete, where = *parsed, host = address] { complete(is_healthy(where, host)); });
    if (!started) {
        complete(false);
    }
}

void Prober::stop() {
    begin_stop();
    threads_.wait();
}

bool Prober::is_healthy(const Address& address, const std::string& host) {
    Socket socket = Socket::unconnected(address);
    if (!socket.is_open()) {
        return false;
    }
    const ActiveSockets::Registration registration(sockets_, socket);
    if (!registration.listed()) {
        return false;
    }
    reach(sync_, SyncPoint::probe_registered);
    if (!socket.connect(address, kTimeout)) {
        return false;
    }
    reach(sync_, SyncPoint::probe_connected);
    // A socket that is shut down before it is connected may not notice.
    if (sockets_.stopped()) {
        return false;
    }
    socket.set_receive_timeout(kTimeout);
    if (!socket.send_all(protocol::http_get(host, "/ping"))) {
        return false;
    }
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    const protocol::BufferPool::Lease buffer = pool_.take();
    if (!buffer) {
        return false;
    }
    return receive_http_status(socket, *buffer, ResponsePart::headers, deadline) == kHealthyStatus;
}

}  // namespace micaroad::net
