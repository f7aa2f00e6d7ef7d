// Readers of listeners and their routes.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "operators/address.hpp"
#include "operators/readers.hpp"
#include "operators/text_parser.hpp"

namespace micaroad::operators {
namespace {

constexpr std::array<std::uint32_t, 5> kRedirectStatuses{301, 302, 303, 307, 308};

void read_addresses(const Listener& message, const LocatedMessage& location,
                    routing::Listener& listener) {
    for (int i = 0; i < message.address_size(); ++i) {
        const std::string& address = message.address(i);
        if (!is_socket_address(address, HostForm::any_allowed)) {
            location.add_fault("address", address, "invalid address",
                               "host:port, *:port or [IPv6]:port", i);
        }
        listener.addresses.push_back(address);
    }
}

void read_redirect(const Redirect& message, const LocatedMessage& location, routing::Route& route) {
    if (!location.check_required()) {
        return;
    }
    const std::uint32_t status = message.status();
    if (std::find(kRedirectStatuses.begin(), kRedirectStatuses.end(), status) ==
        kRedirectStatuses.end()) {
        location.add_fault("status", std::to_string(status), "not a redirect status",
                           fmt::format("{}", fmt::join(kRedirectStatuses, ", ")));
    }
    route.action = routing::Redirect{message.location(), static_cast<int>(status)};
}

void read_action(const Route& message, const LocatedMessage& location, const FileState& state,
                 routing::Route& route) {
    switch (message.then_case()) {
        case Route::kPool:
            route.action =
                routing::ToPool{check_pool_name(location, "pool", message.pool(), state)};
            return;
        case Route::kTurnAway: {
            const LocatedMessage turn_away = location.nested("turn_away", message.turn_away());
            route.action = routing::Reject{
                turn_away.read_number("status", message.turn_away().status(), 400, 599)};
            return;
        }
        case Route::kRedirect:
            read_redirect(message.redirect(), location.nested("redirect", message.redirect()),
                          route);
            return;
        case Route::THEN_NOT_SET:
            location.add_fault("name", route.name, "the route has no action",
                               "pool, turn_away or redirect");
    }
}

void read_route(const Route& message, const LocatedMessage& location, const FileState& state,
                std::set<std::string>& names, routing::Listener& listener) {
    if (!location.check_required()) {
        return;
    }
    routing::Route route;
    route.name = location.check_name("name", message.name());
    if (!names.insert(route.name).second) {
        location.add_fault("name", route.name, "duplicate route name in this listener");
    }
    if (message.has_when()) {
        route.match = read_match(message.when(), location.nested("when", message.when()), state);
    }
    read_action(message, location, state, route);
    listener.routes.push_back(std::move(route));
}

}  // namespace

std::string check_pool_name(const LocatedMessage& location, const char* field,
                            const std::string& name, const FileState& state) {
    if (!state.pool_names.contains(name)) {
        const std::string near = nearest(name, {state.pool_names.begin(), state.pool_names.end()});
        location.add_fault(
            field, name,
            near.empty() ? "unknown pool" : fmt::format("unknown pool (did you mean '{}'?)", near));
    }
    return name;
}

void read_listener(const Listener& message, const LocatedMessage& location, FileState& state) {
    if (!location.check_required()) {
        return;
    }
    routing::Listener listener;
    listener.name = location.check_name("name", message.name());
    if (!state.listeners_read.insert(listener.name).second) {
        location.add_fault("name", listener.name, "duplicate listener name");
    }
    read_addresses(message, location, listener);
    if (message.has_connections_most()) {
        listener.max_connections = location.read_number(
            "connections_most", message.connections_most(), 1, kMaxConnections);
    }
    std::set<std::string> route_names;
    for (int i = 0; i < message.route_size(); ++i) {
        const Route& route = message.route(i);
        read_route(route, location.nested("route", route, i), state, route_names, listener);
    }
    if (message.has_default_pool()) {
        listener.default_pool =
            check_pool_name(location, "default_pool", message.default_pool(), state);
    }
    if (listener.routes.empty() && listener.default_pool.empty()) {
        state.result.notices.push_back(
            fmt::format("listener {} has neither routes nor a default pool", listener.name));
    }
    state.result.plan.listeners.push_back(std::move(listener));
}

}  // namespace micaroad::operators
