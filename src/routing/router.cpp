#include "routing/router.hpp"

#include <fmt/format.h>

#include <optional>
#include <utility>
#include <variant>

namespace micaroad::routing {
namespace {

constexpr int kServiceUnavailable = 503;

// Records the route in the decision. Returns the pool to use; absent if the decision is complete.
std::optional<std::string> follow_route(const Listener& listener, const Route& route,
                                        Decision& decision) {
    decision.route = route.name;
    decision.explanation.push_back(fmt::format("route {} is the first of {} that matches",
                                               route.name, listener.routes.size()));
    if (const auto* rejection = std::get_if<Reject>(&route.action)) {
        decision.kind = Decision::Kind::rejected;
        decision.status = rejection->status;
        decision.explanation.push_back(
            fmt::format("it rejects RPCs with status {}", rejection->status));
        return std::nullopt;
    }
    if (const auto* redirect = std::get_if<Redirect>(&route.action)) {
        decision.kind = Decision::Kind::redirected;
        decision.status = redirect->status;
        decision.location = redirect->location;
        decision.explanation.push_back(fmt::format("it redirects to {}", redirect->location));
        return std::nullopt;
    }
    return std::get<ToPool>(route.action).pool;
}

// As follow_route(), for an RPC that matches no route.
std::optional<std::string> follow_default(const Listener& listener, Decision& decision) {
    if (listener.default_pool.empty()) {
        decision.explanation.push_back(fmt::format(
            "none of {} routes matches and there is no default pool", listener.routes.size()));
        return std::nullopt;
    }
    decision.explanation.push_back(
        fmt::format("none of {} routes matches: the default pool applies", listener.routes.size()));
    return listener.default_pool;
}

}  // namespace

Router::Router(Plan plan)
    : plan_(std::make_shared<const Plan>(std::move(plan))), selector_(*plan_) {
    for (const Listener& listener : plan_->listeners) {
        listeners_.emplace(listener.name, IndexedListener{&listener, RouteIndex(listener.routes)});
    }
    for (const Pool& pool : plan_->pools) {
        pools_[pool.name] = &pool;
    }
}

Decision Router::decide(const std::string& listener, const Rpc& rpc, const View& view) const {
    const IndexedListener& indexed = listeners_.at(listener);
    const auto usable_count = [this, &view](const std::string& pool) {
        return selector_.usable_count(pool, view);
    };
    Decision decision;
    decision.listener = listener;
    const auto number = indexed.index.find_first(rpc, usable_count);
    const std::optional<std::string> pool =
        number ? follow_route(*indexed.listener, indexed.listener->routes[*number], decision)
               : follow_default(*indexed.listener, decision);
    if (!pool) {
        return decision;
    }
    const auto found = pools_.find(*pool);
    if (found == pools_.end()) {
        decision.pool = *pool;
        decision.explanation.push_back(fmt::format("there is no pool {}", *pool));
        return decision;
    }
    decide_in_pool(*found->second, rpc, view, decision);
    return decision;
}

// A sticky RPC, like any other, waits only if all servers in use are full. Stickiness is a
// preference, and the limit of its own server still applies.
void Router::decide_in_pool(const Pool& pool, const Rpc& rpc, const View& view,
                            Decision& decision) const {
    decision.pool = pool.name;
    decision.split = selector_.split(pool, view);
    decision.explanation.push_back(decision.split.explanation);
    decision.sticky_server = selector_.sticky_server(pool, rpc, view, decision.split);
    if (!decision.sticky_server.empty()) {
        const bool by_cookie = pool.stickiness.by == Stickiness::By::cookie;
        decision.explanation.push_back(fmt::format("it is sticky to {} by its {}",
                                                   decision.sticky_server,
                                                   by_cookie ? "cookie" : "hashed key"));
    }
    const bool no_shares = decision.split.shares.empty();
    if (no_shares && decision.sticky_server.empty()) {
        decision.kind = Decision::Kind::rejected;
        decision.status = kServiceUnavailable;
        return;
    }
    const bool pool_full =
        pool.max_connections > 0 && view.pool(pool.name).running >= pool.max_connections;
    if (!pool_full && (!decision.split.all_full || no_shares)) {
        decision.kind = Decision::Kind::send;
        return;
    }
    decision.kind = Decision::Kind::wait;
    decision.queue_timeout = pool.queue_timeout;
    decision.explanation.push_back(
        pool_full ? fmt::format("the pool has reached its limit of {} running RPCs: it waits",
                                pool.max_connections)
                  : "it waits for a server with free capacity");
}

}  // namespace micaroad::routing
