#include "routing/choice.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "routing/match.hpp"

namespace micaroad::routing {
namespace {

// Steps of a slow start, so that weights change by whole parts and tables seldom.
constexpr int kWarmSteps = 16;

const char* name_of(Tier tier) {
    return tier == Tier::active ? "active" : "backup";
}

std::string cut_path(const Stickiness& stickiness, const Rpc& rpc) {
    std::string path = rpc.path;
    if (stickiness.with_query && !rpc.query.empty()) {
        path += "?" + rpc.query;
    }
    if (stickiness.path_length > 0) {
        path.resize(std::min<std::size_t>(path.size(), stickiness.path_length));
    }
    if (stickiness.path_depth <= 0) {
        return path;
    }
    std::size_t at = 0;  // the slash before each directory counts with it
    for (int depth = 0; depth <= stickiness.path_depth; ++depth) {
        at = path.find('/', depth == 0 ? 0 : at + 1);
        if (at == std::string::npos) {
            return path;
        }
    }
    return path.substr(0, at);
}

std::string query_value(const std::string& query, const std::string& name) {
    for (std::size_t from = 0; from <= query.size();) {
        const std::size_t end = std::min(query.find('&', from), query.size());
        const std::string word = query.substr(from, end - from);
        const auto equals = word.find('=');
        if (word.substr(0, equals) == name && equals != std::string::npos) {
            return word.substr(equals + 1);
        }
        from = end + 1;
    }
    return "";
}

// A part's draw for a key, larger for larger shares: the largest of all wins with probability equal
// to its share, and a server that leaves takes only its own keys along (rendezvous hashing,
// weighted by -share/ln(u)).
double draw(const std::string& key, const Part& part) {
    const XXH64_hash_t hash =
        XXH64(key.data(), key.size(), XXH64(part.server.data(), part.server.size(), 0));
    const double u =
        (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;  // 2^53: within (0, 1)
    return -part.share / std::log(u);
}

}  // namespace

std::string sticky_key(const Stickiness& stickiness, const Rpc& rpc) {
    using By = Stickiness::By;
    switch (stickiness.by) {
        case By::none:
            return "";
        case By::source:
            return rpc.source.text();
        case By::path:
            return cut_path(stickiness, rpc);
        case By::query:
            return query_value(rpc.query, stickiness.name);
        case By::header: {
            const std::string name = lower(stickiness.name);
            const auto at =
                std::find_if(rpc.headers.begin(), rpc.headers.end(),
                             [&name](const auto& field) { return field.first == name; });
            return at == rpc.headers.end() ? "" : at->second;
        }
        case By::cookie: {
            const auto at = rpc.cookies.find(stickiness.name);
            return at == rpc.cookies.end() ? "" : at->second;
        }
        case By::request_hash:
            return rpc.method + " " + rpc.host + " " + rpc.path + "?" + rpc.query + " " +
                   rpc.source.text();
    }
    return "";
}

Chooser::Chooser(const Plan& plan) : plan_(plan) {
    for (const Pool& pool : plan.pools) {
        pools_[pool.name] = &pool;
        for (const Server& server : pool.servers) {
            named_[full_name(pool, server)] = {&pool, &server};
        }
    }
}

double Chooser::warmth(const Server& server, const ServerNow& now, TimePoint at) {
    if (server.slow_start <= Duration{} || now.up_since == TimePoint{}) {
        return 1;
    }
    const Duration age = std::max(at - now.up_since, Duration{});
    if (age >= server.slow_start) {
        return 1;
    }
    const auto step = kWarmSteps * age.count() / server.slow_start.count();
    return static_cast<double>(std::max<Duration::rep>(step, 1)) / kWarmSteps;
}

// Maintenance and drains are taken over along with health, as a server that shares its process's
// health shares its end.
Standing Chooser::standing(const Pool& pool, const Server& server, const View& view,
                           std::string* why) const {
    const auto say = [why](Standing standing, std::string text) {
        if (why != nullptr) {
            *why = std::move(text);
        }
        return standing;
    };
    const Server* at = &server;
    std::string name = full_name(pool, server);
    const ServerNow& own = view.server(name);
    for (std::size_t steps = 0;; ++steps) {
        const ServerNow& now = view.server(name);
        const State state = now.told.value_or(at->state);
        const std::string of = at == &server ? "" : " (by " + name + ")";
        if (state == State::disabled) {
            return say(Standing::out, "disabled" + of);
        }
        if (state == State::maintenance) {
            return say(Standing::out, "in maintenance" + of);
        }
        // Weight 0 is a server's own matter, a drain by its state is not.
        if (state == State::draining && (at == &server || at->weight > 0)) {
            const TimePoint since = now.draining_since.value_or(view.now);
            if (view.now - since >= view.drain_grace) {
                return say(Standing::out, "drained" + of);
            }
            if (!now.up) {
                return say(Standing::out, "down" + of);
            }
            return say(Standing::stuck_only, "draining" + of);
        }
        if (at->health_of.empty()) {
            if (!now.up) {
                return say(Standing::out, "down" + of);
            }
            break;
        }
        const auto next = named_.find(at->health_of);
        if (next == named_.end() || steps > named_.size()) {
            return say(Standing::out, "its health is nowhere to be had");
        }
        name = at->health_of, at = next->second.server;
    }
    if (server.weight <= 0) {
        return say(Standing::stuck_only, "weight 0");
    }
    if (server.connections_most > 0 && own.running >= server.connections_most) {
        return say(Standing::full, fmt::format("full, {} RPCs run there", own.running));
    }
    return say(Standing::usable, "ready");
}

int Chooser::usable(const std::string& pool, const View& view) const {
    const auto at = pools_.find(pool);
    if (at == pools_.end()) {
        return 0;
    }
    int active = 0, backup = 0;
    for (const Server& server : at->second->servers) {
        const Standing standing = this->standing(*at->second, server, view);
        if (standing == Standing::usable || standing == Standing::full) {
            ++(server.tier == Tier::active ? active : backup);
        }
    }
    return active > 0 ? active : at->second->all_backups ? backup : std::min(backup, 1);
}

Parts Chooser::parts(const Pool& pool, const View& view) const {
    Parts chosen;
    for (const Tier tier : {Tier::active, Tier::backup}) {
        std::vector<std::pair<const Server*, bool>> found;  // and whether it is full
        for (const Server& server : pool.servers) {
            if (server.tier != tier) {
                continue;
            }
            const Standing standing = this->standing(pool, server, view);
            if (standing != Standing::usable && standing != Standing::full) {
                continue;
            }
            found.emplace_back(&server, standing == Standing::full);
            if (tier == Tier::backup && !pool.all_backups) {
                break;
            }
        }
        if (found.empty()) {
            continue;
        }
        chosen.tier = tier;
        chosen.all_full =
            std::all_of(found.begin(), found.end(), [](const auto& at) { return at.second; });
        double sum = 0;
        for (const auto& [server, full] : found) {
            if (full && !chosen.all_full) {
                continue;
            }
            const double weight =
                server->weight * warmth(*server, view.server(full_name(pool, *server)), view.now);
            chosen.parts.push_back({server->name, weight}), sum += weight;
        }
        for (Part& part : chosen.parts) {
            part.share /= sum;
        }
        const bool first = tier == Tier::backup && !pool.all_backups;
        chosen.why = fmt::format("{} {} of pool {} can be used{}", chosen.parts.size(),
                                 name_of(tier), pool.name,
                                 first                  ? ", the first of its backups"
                                 : chosen.all_full      ? ", all of them full"
                                 : tier == Tier::backup ? ", as no active server can"
                                                        : "");
        return chosen;
    }
    chosen.why = fmt::format("no server of pool {} can be used", pool.name);
    return chosen;
}

std::string Chooser::stuck_to(const Pool& pool, const Rpc& rpc, const View& view,
                              const Parts& parts) const {
    const std::string key = sticky_key(pool.stickiness, rpc);
    if (key.empty()) {
        return "";
    }
    if (pool.stickiness.by == Stickiness::By::cookie) {
        // Several may bear one mark, as a backup does beside its active server: the first that may
        // be used.
        std::string down;
        for (const Server& server : pool.servers) {
            if (server.mark.empty() || server.mark != key) {
                continue;
            }
            std::string why;
            if (standing(pool, server, view, &why) != Standing::out) {
                return server.name;
            }
            if (down.empty() && why.starts_with("down")) {
                down = server.name;
            }
        }
        return pool.stickiness.keeps_down ? down : "";
    }
    const auto best = std::max_element(
        parts.parts.begin(), parts.parts.end(),
        [&key](const Part& a, const Part& b) { return draw(key, a) < draw(key, b); });
    return best == parts.parts.end() ? "" : best->server;
}

}  // namespace micaroad::routing
