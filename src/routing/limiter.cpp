#include "routing/limiter.hpp"

#include <algorithm>

namespace micaroad::routing {

Limiter::Limiter(const Pool& pool) : most_(pool.connections_most), patience_(pool.queue_patience) {
    for (const Server& server : pool.servers) {
        limits_[server.name] = {server.connections_most, server.queue_most};
    }
}

bool Limiter::has_room(const std::string& server) const {
    const auto at = limits_.find(server);
    if (at == limits_.end() || at->second.closed) {
        return false;
    }
    return at->second.most == 0 || at->second.running < at->second.most;
}

Limiter::Answer Limiter::run(RpcNumber rpc, const std::string& server) {
    ++limits_.at(server).running;
    runs_[rpc] = server;
    return {rpc, Verdict::runs, server, {}};
}

Limiter::Answer Limiter::wait(RpcNumber rpc, Wait wait) {
    if (wait.alone) {
        ++limits_.at(wait.servers.front()).waiting;
    }
    const TimePoint until = wait.until;
    places_[rpc] = next_;
    waits_[next_++] = {rpc, std::move(wait)};
    return {rpc, Verdict::waits, "", until};
}

void Limiter::leave_queue(std::map<std::uint64_t, std::pair<RpcNumber, Wait>>::iterator at) {
    const auto& [rpc, wait] = at->second;
    if (wait.alone) {
        --limits_.at(wait.servers.front()).waiting;
    }
    places_.erase(rpc);
    waits_.erase(at);
}

// Nobody goes past those that wait: a newcomer runs at once only if nobody before it could have
// taken the place.
Limiter::Answer Limiter::ask(RpcNumber rpc, const std::string& server, TimePoint now) {
    const auto at = limits_.find(server);
    if (at == limits_.end() || at->second.closed || runs_.contains(rpc) || places_.contains(rpc)) {
        return {rpc, Verdict::turned_away, server, {}};
    }
    if (at->second.waiting == 0 && has_room(server) && pool_has_room()) {
        return run(rpc, server);
    }
    if (at->second.queue > 0 && at->second.waiting >= at->second.queue) {
        return {rpc, Verdict::turned_away, server, {}};
    }
    return wait(rpc, {{server}, true, now + patience_});
}

Limiter::Answer Limiter::ask_any(RpcNumber rpc, const std::vector<std::string>& servers,
                                 TimePoint now) {
    if (servers.empty() || runs_.contains(rpc) || places_.contains(rpc)) {
        return {rpc, Verdict::turned_away, "", {}};
    }
    for (const std::string& server : servers) {
        if (has_room(server) && pool_has_room()) {
            return run(rpc, server);
        }
    }
    return wait(rpc, {servers, false, now + patience_});
}

std::vector<Limiter::Answer> Limiter::done(RpcNumber rpc, TimePoint) {
    if (const auto at = places_.find(rpc); at != places_.end()) {
        leave_queue(waits_.find(at->second));
        return {};  // it held no place that another waits for
    }
    const auto at = runs_.find(rpc);
    if (at == runs_.end()) {
        return {};
    }
    --limits_.at(at->second).running;
    runs_.erase(at);
    return admit();
}

std::vector<Limiter::Answer> Limiter::admit() {
    std::vector<Answer> answers;
    for (auto at = waits_.begin(); at != waits_.end() && pool_has_room();) {
        const auto here = at++;
        const auto& [rpc, wait] = here->second;
        const auto server = std::find_if(wait.servers.begin(), wait.servers.end(),
                                         [this](const auto& s) { return has_room(s); });
        if (server == wait.servers.end()) {
            continue;
        }
        const RpcNumber number = rpc;
        const std::string name = *server;
        leave_queue(here);
        answers.push_back(run(number, name));
    }
    return answers;
}

std::vector<Limiter::Answer> Limiter::close(const std::string& server,
                                            const std::vector<std::string>& others, TimePoint) {
    const auto limit = limits_.find(server);
    if (limit == limits_.end() || limit->second.closed) {
        return {};
    }
    limit->second.closed = true;
    for (auto& [place, waiting] : waits_) {
        Wait& wait = waiting.second;
        if (!wait.alone || wait.servers.front() != server) {
            continue;
        }
        --limit->second.waiting;
        wait.alone = false, wait.servers = others;
    }
    return admit();
}

std::vector<Limiter::Answer> Limiter::open(const std::string& server) {
    if (const auto at = limits_.find(server); at != limits_.end()) {
        at->second.closed = false;
    }
    return admit();
}

std::vector<Limiter::Answer> Limiter::expire(TimePoint now) {
    std::vector<Answer> answers;
    while (!waits_.empty() && waits_.begin()->second.second.until <= now) {
        answers.push_back({waits_.begin()->second.first, Verdict::turned_away, "", {}});
        leave_queue(waits_.begin());
    }
    return answers;
}

std::optional<TimePoint> Limiter::next_due() const {
    return waits_.empty() ? std::nullopt : std::optional{waits_.begin()->second.second.until};
}

int Limiter::running(const std::string& server) const {
    const auto at = limits_.find(server);
    return at == limits_.end() ? 0 : at->second.running;
}

}  // namespace micaroad::routing
