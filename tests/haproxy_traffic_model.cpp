#include "haproxy_traffic_model.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <queue>
#include <sstream>

namespace micaroad::test {
namespace {

double seconds_of(const std::string& text) {
    std::size_t end = 0;
    const double number = std::stod(text, &end);
    const std::string unit = text.substr(end);
    return number * (unit == "us"  ? 1e-6
                     : unit == "s" ? 1
                     : unit == "m" ? 60
                     : unit == "h" ? 3'600
                     : unit == "d" ? 86'400
                                   : 1e-3);
}

std::vector<std::string> words_of(const std::string& line) {
    std::istringstream in(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(word);
    }
    return words;
}

void read_words(const std::vector<std::string>& words, std::size_t from,
                HaproxyTrafficModel::Server& server) {
    for (std::size_t i = from; i < words.size(); ++i) {
        const auto next = [&] { return i + 1 < words.size() ? words[++i] : std::string("0"); };
        if (words[i] == "weight") {
            server.weight = static_cast<int>(std::strtol(next().c_str(), nullptr, 10));
        } else if (words[i] == "backup") {
            server.backup = true;
        } else if (words[i] == "disabled") {
            server.disabled = true;
        } else if (words[i] == "maxconn") {
            server.max_conn = static_cast<int>(std::strtol(next().c_str(), nullptr, 10));
        } else if (words[i] == "slowstart") {
            server.slow_start = seconds_of(next());
        } else if (words[i] == "inter") {
            server.check_interval = seconds_of(next());
        }
    }
}

// Returns the weight that a server has at this time of its slow start. By the manual, "the weight
// grows linearly from 1 to 100%"; it is updated at each health check, for those `balance`
// algorithms that can change weights at run time.
double weight_now(const HaproxyTrafficModel::Pool& pool,
                  const HaproxyTrafficModel::Server& server) {
    const bool weight_changes_at_run_time =
        pool.balance == "roundrobin" || pool.balance == "leastconn" || pool.balance == "random";
    if (!weight_changes_at_run_time || server.slow_start <= 0 ||
        server.seconds_up >= server.slow_start) {
        return server.weight;
    }
    const double seconds_at_last_check =
        std::floor(server.seconds_up / server.check_interval) * server.check_interval;
    return server.weight * std::max(0.01, seconds_at_last_check / server.slow_start);
}

// Returns the servers that get traffic: the usable active servers (up, enabled, weight above 0); if
// there are none, the first usable backup, or all of them if `option allbackups` is set.
std::vector<HaproxyTrafficModel::Server*> servers_with_traffic(HaproxyTrafficModel::Pool& pool) {
    std::vector<HaproxyTrafficModel::Server*> servers;
    for (const bool backup : {false, true}) {
        for (auto& server : pool.servers) {
            if (server.backup != backup || server.down || server.disabled || pool.disabled ||
                server.weight == 0) {
                continue;
            }
            servers.push_back(&server);
            if (backup && !pool.all_backups) {
                break;
            }
        }
        if (!servers.empty()) {
            break;
        }
    }
    return servers;
}

// FNV-1a with a final bit mixer. The manual's "map-based" hashing repeats each server by its
// weight; spread() selects by weight from the hash, which gives the same split.
std::uint64_t hash_of(const std::string& text) {
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (const unsigned char c : text) {
        hash = (hash ^ c) * 1'099'511'628'211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

}  // namespace

std::map<std::string, HaproxyTrafficModel::Pool> HaproxyTrafficModel::read(
    const std::string& text) {
    std::map<std::string, Pool> pools;
    Pool* pool = nullptr;
    std::map<std::string, std::pair<bool, Server>>
        defaults;  // (option allbackups, default-server) by the name of the defaults section
    std::string section, last_defaults;
    Server default_server;
    bool all_backups = false;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        const auto words = words_of(line);
        if (words.empty()) {
            continue;
        }
        const auto from = std::find(words.begin(), words.end(), "from");
        if (words[0] == "defaults") {
            section = words.size() > 1 && words[1] != "from" ? words[1] : "";
            default_server = {};
            all_backups = false;
            pool = nullptr;
            if (from != words.end()) {
                std::tie(all_backups, default_server) = defaults[*(from + 1)];
            }
            last_defaults = section;
            defaults[last_defaults] = {all_backups, default_server};
        } else if (words[0] == "backend" || words[0] == "listen") {
            std::tie(all_backups, default_server) =
                defaults[from != words.end() ? *(from + 1) : last_defaults];
            pool = &pools[words[1]];
            pool->name = words[1];
            pool->all_backups = all_backups;
        } else if (words[0] == "frontend" || words[0] == "global" || words[0] == "peers" ||
                   words[0] == "resolvers") {
            pool = nullptr;
        } else if (words[0] == "default-server") {
            read_words(words, 1, default_server);
            if (pool == nullptr) {
                defaults[last_defaults].second = default_server;
            }
        } else if (words[0] == "option" && words.size() > 1 && words[1] == "allbackups") {
            pool ? (void)(pool->all_backups = true) : (void)(defaults[last_defaults].first = true);
        } else if (pool != nullptr && words[0] == "balance") {
            pool->balance = words[1].substr(0, words[1].find('('));
            if (words[1] == "hash") {
                pool->balance = "source";
            }
        } else if (pool != nullptr && words[0] == "disabled") {
            pool->disabled = true;
        } else if (pool != nullptr && words[0] == "server" && words.size() > 2) {
            Server server = default_server;
            server.name = words[1];
            read_words(words, 3, server);
            pool->servers.push_back(server);
        }
    }
    return pools;
}

std::map<std::string, int> HaproxyTrafficModel::spread(Pool pool,
                                                       const std::vector<Client>& clients,
                                                       std::mt19937_64& rng) {
    std::map<std::string, int> counts;
    const std::vector<Server*> servers = servers_with_traffic(pool);
    if (servers.empty()) {
        counts[""] = static_cast<int>(clients.size());
        return counts;
    }
    std::vector<double> weights;
    double sum = 0;
    for (const Server* server : servers) {
        weights.push_back(weight_now(pool, *server)), sum += weights.back();
    }
    const auto select_by_weight = [&](double position) {  // position: 0 to 1
        position *= sum;
        for (std::size_t i = 0; i + 1 < servers.size(); ++i) {
            if ((position -= weights[i]) < 0) {
                return servers[i];
            }
        }
        return servers.back();
    };
    const auto select_round_robin = [&] {  // selects the server with the most credit
        for (std::size_t i = 0; i < servers.size(); ++i) {
            servers[i]->round_robin_credit += weights[i];
        }
        Server* next =
            *std::max_element(servers.begin(), servers.end(), [](const Server* a, const Server* b) {
                return a->round_robin_credit < b->round_robin_credit;
            });
        next->round_robin_credit -= sum;
        return next;
    };
    std::uniform_real_distribution<> unit(0, 1);
    std::exponential_distribution<> duration(1.0 / 12);
    using Completion = std::pair<double, Server*>;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
    double now = 0;
    for (const Client& client : clients) {
        now += 1;
        while (!completions.empty() && completions.top().first <= now) {
            --completions.top().second->running;
            completions.pop();
        }
        Server* server = nullptr;
        std::string key;
        if (pool.balance == "source") {
            key = client.source;
        }
        if (pool.balance == "uri") {
            key = client.path;
        }
        if (pool.balance == "url_param") {
            key = client.query;
        }
        if (pool.balance == "hdr") {
            key = client.header;
        }
        if (!key.empty()) {
            server = select_by_weight(static_cast<double>(hash_of(key) >> 11) / 9007199254740992.0);
        } else if (pool.balance == "random") {
            server = select_by_weight(unit(rng));
        } else if (pool.balance == "leastconn") {
            const auto load = [&](std::size_t i) { return (servers[i]->running + 1) / weights[i]; };
            std::size_t best = rng() % servers.size();
            for (std::size_t i = 0; i < servers.size(); ++i) {
                if (load(i) < load(best)) {
                    best = i;
                }
            }
            server = servers[best];
        } else if (pool.balance == "first") {
            for (Server* candidate : servers) {
                if (server == nullptr &&
                    (candidate->max_conn == 0 || candidate->running < candidate->max_conn)) {
                    server = candidate;
                }
            }
        } else {
            server = select_round_robin();
        }
        if (server == nullptr) {
            ++counts[""];
            continue;
        }
        ++counts[server->name];
        ++server->running;
        completions.emplace(now + duration(rng), server);
    }
    return counts;
}

}  // namespace micaroad::test
