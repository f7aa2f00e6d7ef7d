#include "routing/keeper.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace micaroad::routing {
namespace {

bool alike(const ListedEndpoint& a, const ListedEndpoint& b) {
    return std::tie(a.server, a.kind, a.phase, a.size, a.last_start) ==
           std::tie(b.server, b.kind, b.phase, b.size, b.last_start);
}

}  // namespace

Keeper::Keeper(Plan plan, TimePoint now) {
    begin(std::move(plan), now);
}

void Keeper::begin(Plan plan, TimePoint now) {
    plan_ = std::make_unique<Plan>(std::move(plan));
    roster_ = std::make_unique<Roster>(*plan_);
    std::map<std::string, HealthBook> books;
    std::map<std::string, ServerNow> servers;
    for (const Pool& pool : plan_->pools) {
        HealthBook book(pool, now);
        for (const Server& server : pool.servers) {
            const std::string name = full_name(pool, server);
            const auto known = view_.servers.find(name);
            ServerNow state = known == view_.servers.end() ? ServerNow{} : known->second;
            if (server.state != State::draining) {
                state.draining_since.reset();
            } else if (!state.draining_since) {
                state.draining_since = now;
            }
            // Who is no longer checked counts as up; who was down stays so until probes say
            // otherwise.
            if (!server.checked && server.health_of.empty()) {
                state.up = true;
            }
            if (!state.up) {
                book.begin_down(server.name);
            }
            servers[name] = state;
        }
        books.emplace(pool.name, std::move(book));
    }
    books_ = std::move(books), view_.servers = std::move(servers);
}

std::vector<Keeper::Probe> Keeper::take_due(TimePoint now) {
    std::vector<Probe> probes;
    for (const Pool& pool : plan_->pools) {
        for (const std::string& name : books_.at(pool.name).take_due(now)) {
            const auto server = std::find_if(pool.servers.begin(), pool.servers.end(),
                                             [&name](const Server& s) { return s.name == name; });
            probes.push_back({full_name(pool, *server), server->address, pool.health});
        }
    }
    return probes;
}

std::optional<TimePoint> Keeper::next_due() const {
    std::optional<TimePoint> first;
    for (const auto& [pool, book] : books_) {
        const auto due = book.next_due();
        if (due && (!first || *due < *first)) {
            first = due;
        }
    }
    // A slow start moves weights by steps, and a drain ends, without any probe.
    for (const auto& [name, server] : view_.servers) {
        if (server.draining_since &&
            (!first || *server.draining_since + view_.drain_grace < *first) &&
            *server.draining_since + view_.drain_grace > view_.now) {
            first = *server.draining_since + view_.drain_grace;
        }
    }
    return first;
}

std::string Keeper::probed(const std::string& server, bool ok, TimePoint now) {
    const auto slash = server.find('/');
    const auto book = books_.find(server.substr(0, slash));
    if (slash == std::string::npos || book == books_.end()) {
        return "";
    }
    const auto change = book->second.probed(server.substr(slash + 1), ok, now);
    if (!change) {
        return "";
    }
    ServerNow& state = view_.servers[server];
    state.up = change->up;
    if (change->up) {
        state.up_since = now;
    }
    return fmt::format("{} is {}: {}", server, change->up ? "up" : "down", change->why);
}

bool Keeper::replace(Plan plan, TimePoint now) {
    const auto names = [](const Plan& plan) {
        std::vector<std::string> names;
        for (const Pool& pool : plan.pools) {
            names.push_back(pool.name);
        }
        return names;
    };
    if (names(plan) != names(*plan_)) {
        return false;
    }
    begin(std::move(plan), now);
    return true;
}

std::optional<event::EndpointListUpdate> Keeper::changed(TimePoint now) {
    view_.now = now;
    event::EndpointListUpdate list = roster_->list(view_);
    if (last_ &&
        std::equal(last_->begin(), last_->end(), list.servers.begin(), list.servers.end(), alike)) {
        return std::nullopt;
    }
    last_ = list.servers;
    return list;
}

}  // namespace micaroad::routing
