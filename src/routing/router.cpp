#include "routing/router.hpp"

#include <fmt/format.h>

#include <utility>

namespace micaroad::routing {

Router::Router(Plan plan) : plan_(std::make_shared<const Plan>(std::move(plan))), chooser_(*plan_) {
    for (const Listener& listener : plan_->listeners) {
        entries_.emplace(listener.name, Entry{&listener, RouteIndex(listener.routes)});
    }
    for (const Pool& pool : plan_->pools) {
        pools_[pool.name] = &pool;
    }
}

Decision Router::decide(const std::string& listener, const Rpc& rpc, const View& view) const {
    const Entry& entry = entries_.at(listener);
    const auto usable = [&](const std::string& pool) { return chooser_.usable(pool, view); };
    Decision decision;
    decision.listener = listener;
    std::string pool = entry.listener->default_pool;
    if (const auto number = entry.index.first(rpc, usable)) {
        const Route& route = entry.listener->routes[*number];
        decision.route = route.name;
        decision.why.push_back(fmt::format("route {} is the first of {} that fits", route.name,
                                           entry.listener->routes.size()));
        if (const auto* away = std::get_if<TurnAway>(&route.then)) {
            decision.kind = Decision::Kind::turned_away, decision.status = away->status;
            decision.why.push_back(fmt::format("it turns RPCs away with {}", away->status));
            return decision;
        }
        if (const auto* redirect = std::get_if<Redirect>(&route.then)) {
            decision.kind = Decision::Kind::redirected, decision.status = redirect->status;
            decision.location = redirect->location;
            decision.why.push_back(fmt::format("it redirects to {}", redirect->location));
            return decision;
        }
        pool = std::get<ToPool>(route.then).pool;
    } else if (pool.empty()) {
        decision.why.push_back(fmt::format("none of {} routes fits and there is no default pool",
                                           entry.listener->routes.size()));
        return decision;
    } else {
        decision.why.push_back(
            fmt::format("none of {} routes fits: the default pool", entry.listener->routes.size()));
    }
    const auto at = pools_.find(pool);
    if (at == pools_.end()) {
        decision.pool = pool;
        decision.why.push_back(fmt::format("there is no pool {}", pool));
        return decision;
    }
    decide_in(*at->second, rpc, view, decision);
    return decision;
}

// A stuck RPC waits for its own server only where that is full and others are not: stickiness is a
// preference, and a server's own limit binds all the same.
void Router::decide_in(const Pool& pool, const Rpc& rpc, const View& view,
                       Decision& decision) const {
    decision.pool = pool.name;
    decision.parts = chooser_.parts(pool, view);
    decision.why.push_back(decision.parts.why);
    decision.stuck_to = chooser_.stuck_to(pool, rpc, view, decision.parts);
    if (!decision.stuck_to.empty()) {
        decision.why.push_back(
            fmt::format("it stays with {}, by its {}", decision.stuck_to,
                        pool.stickiness.by == Stickiness::By::cookie ? "cookie" : "key's hash"));
    }
    if (decision.parts.parts.empty() && decision.stuck_to.empty()) {
        decision.kind = Decision::Kind::turned_away, decision.status = 503;
        return;
    }
    const PoolNow now = view.pool(pool.name);
    const bool pool_full = pool.connections_most > 0 && now.running >= pool.connections_most;
    if (!pool_full && (!decision.parts.all_full || decision.parts.parts.empty())) {
        decision.kind = Decision::Kind::send;
        return;
    }
    decision.kind = Decision::Kind::wait, decision.patience = pool.queue_patience;
    decision.why.push_back(
        pool_full ? fmt::format("the pool runs the {} it may: it waits", pool.connections_most)
                  : "it waits for a server");
}

}  // namespace micaroad::routing
