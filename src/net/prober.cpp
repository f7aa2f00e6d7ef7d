#include "net/prober.hpp"

#include "protocol/http.hpp"

namespace micaroad::net {

void Prober::ask(const ServerId& server, const std::string& address) {
    const TimePoint begun = clock_();
    const auto end = [this, server, begun](bool ok) {
        inbox_.put(core_event::HealthCheckCompleted{{server, ok, clock_() - begun}});
    };
    const auto where = address_of(address);
    if (!where || !threads_.start([this, end, where, address] { end(answers(*where, address)); })) {
        end(false);
    }
}

void Prober::begin_stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const Socket* socket : live_) {
        socket->shut_down();
    }
}

void Prober::stop() {
    begin_stop();
    threads_.wait();
}

bool Prober::stopping() {
    const std::lock_guard lock(mutex_);
    return stopping_;
}

bool Prober::answers(const Address& address, const std::string& host) {
    Socket socket = Socket::unconnected(address);
    if (!socket.open()) {
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return false;
        }
        live_.insert(&socket);
    }
    const bool ok = [&] {
        reach(sync_, SyncPoint::probe_registered);
        if (!socket.connect(address, kPatience)) {
            return false;
        }
        reach(sync_, SyncPoint::probe_connected);
        // A socket that is shut down before it is connected may not hear of it.
        if (stopping()) {
            return false;
        }
        socket.wait_at_most(kPatience);
        if (!socket.send_all(protocol::http_get(host, "/ping"))) {
            return false;
        }
        const auto until = std::chrono::steady_clock::now() + kPatience;
        protocol::HttpReader http;
        const protocol::BufferPool::Lease buffer = pool_.take();
        if (!buffer) {
            return false;
        }
        while (!http.in_body() && std::chrono::steady_clock::now() < until) {
            const ssize_t got = socket.receive(buffer->data(), buffer->size());
            if (got <= 0) {
                return false;
            }
            if (!http.feed({buffer->data(), static_cast<std::size_t>(got)},
                           [](std::string_view) {})) {
                return false;
            }
        }
        return http.in_body() && http.status() == 200;
    }();
    const std::lock_guard lock(mutex_);
    live_.erase(&socket);
    return ok;
}

}  // namespace micaroad::net
