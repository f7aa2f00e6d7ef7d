#include "routing/limiter.hpp"

#include <algorithm>
#include <utility>

namespace micaroad::routing {

Limiter::Limiter(const Pool& pool)
    : max_running_(pool.max_connections), queue_timeout_(pool.queue_timeout) {
    for (const Server& server : pool.servers) {
        servers_[server.name] = {.max_running = server.max_connections,
                                 .max_queued = server.max_queued};
    }
}

bool Limiter::is_known(RpcNumber rpc) const {
    return running_.contains(rpc) || arrivals_.contains(rpc);
}

bool Limiter::server_has_capacity(const std::string& server) const {
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.closed) {
        return false;
    }
    const ServerState& state = found->second;
    return state.max_running == 0 || state.running < state.max_running;
}

bool Limiter::pool_has_capacity() const {
    return max_running_ == 0 || running() < max_running_;
}

Limiter::Admission Limiter::admit(RpcNumber rpc, const std::string& server) {
    ++servers_.at(server).running;
    running_[rpc] = server;
    return {.rpc = rpc, .outcome = Outcome::admitted, .server = server, .timeout_at = {}};
}

Limiter::Admission Limiter::reject(RpcNumber rpc, const std::string& server) {
    return {.rpc = rpc, .outcome = Outcome::rejected, .server = server, .timeout_at = {}};
}

Limiter::Admission Limiter::enqueue(QueuedRpc queued) {
    if (queued.in_server_queue) {
        ++servers_.at(queued.servers.front()).queued;
    }
    const Admission admission{.rpc = queued.rpc,
                              .outcome = Outcome::queued,
                              .server = "",
                              .timeout_at = queued.timeout_at};
    arrivals_[queued.rpc] = next_arrival_;
    queue_[next_arrival_] = std::move(queued);
    ++next_arrival_;
    return admission;
}

void Limiter::dequeue(Queue::iterator position) {
    const QueuedRpc& queued = position->second;
    if (queued.in_server_queue) {
        --servers_.at(queued.servers.front()).queued;
    }
    arrivals_.erase(queued.rpc);
    queue_.erase(position);
}

// Queued RPCs are not overtaken: a new RPC is admitted at once only if no RPC queued before it
// could have used that capacity.
Limiter::Admission Limiter::request(RpcNumber rpc, const std::string& server, TimePoint now) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.closed || is_known(rpc)) {
        return reject(rpc, server);
    }
    const ServerState& state = found->second;
    if (state.queued == 0 && server_has_capacity(server) && pool_has_capacity()) {
        return admit(rpc, server);
    }
    if (state.max_queued > 0 && state.queued >= state.max_queued) {
        return reject(rpc, server);
    }
    return enqueue({.rpc = rpc,
                    .servers = {server},
                    .in_server_queue = true,
                    .timeout_at = now + queue_timeout_});
}

Limiter::Admission Limiter::request_any(RpcNumber rpc, const std::vector<std::string>& servers,
                                        TimePoint now) {
    if (servers.empty() || is_known(rpc)) {
        return reject(rpc, "");
    }
    for (const std::string& server : servers) {
        if (server_has_capacity(server) && pool_has_capacity()) {
            return admit(rpc, server);
        }
    }
    return enqueue({.rpc = rpc,
                    .servers = servers,
                    .in_server_queue = false,
                    .timeout_at = now + queue_timeout_});
}

std::vector<Limiter::Admission> Limiter::finish(RpcNumber rpc) {
    if (const auto arrival = arrivals_.find(rpc); arrival != arrivals_.end()) {
        dequeue(queue_.find(arrival->second));
        return {};  // a queued RPC used no capacity
    }
    const auto found = running_.find(rpc);
    if (found == running_.end()) {
        return {};
    }
    --servers_.at(found->second).running;
    running_.erase(found);
    return admit_queued();
}

// Admits queued RPCs in the order of arrival, each at the first of its servers with capacity.
std::vector<Limiter::Admission> Limiter::admit_queued() {
    std::vector<Admission> admissions;
    auto next = queue_.begin();
    while (next != queue_.end() && pool_has_capacity()) {
        const auto position = next;
        ++next;
        const QueuedRpc& queued = position->second;
        const auto server = std::find_if(
            queued.servers.begin(), queued.servers.end(),
            [this](const std::string& candidate) { return server_has_capacity(candidate); });
        if (server == queued.servers.end()) {
            continue;
        }
        admissions.push_back(admit(queued.rpc, *server));
        dequeue(position);
    }
    return admissions;
}

std::vector<Limiter::Admission> Limiter::close_server(const std::string& server,
                                                      const std::vector<std::string>& others) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.closed) {
        return {};
    }
    ServerState& state = found->second;
    state.closed = true;
    for (auto& [arrival, queued] : queue_) {
        if (!queued.in_server_queue || queued.servers.front() != server) {
            continue;
        }
        --state.queued;
        queued.in_server_queue = false;
        queued.servers = others;
    }
    return admit_queued();
}

std::vector<Limiter::Admission> Limiter::open_server(const std::string& server) {
    if (const auto found = servers_.find(server); found != servers_.end()) {
        found->second.closed = false;
    }
    return admit_queued();
}

std::vector<Limiter::Admission> Limiter::expire(TimePoint now) {
    std::vector<Admission> rejections;
    while (!queue_.empty() && queue_.begin()->second.timeout_at <= now) {
        rejections.push_back(reject(queue_.begin()->second.rpc, ""));
        dequeue(queue_.begin());
    }
    return rejections;
}

std::optional<TimePoint> Limiter::next_timeout() const {
    return queue_.empty() ? std::nullopt : std::optional{queue_.begin()->second.timeout_at};
}

int Limiter::running(const std::string& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.running;
}

}  // namespace micaroad::routing
