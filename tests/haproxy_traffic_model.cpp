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
                HaproxyTrafficModel::Node& node) {
    for (std::size_t i = from; i < words.size(); ++i) {
        const auto next = [&] { return i + 1 < words.size() ? words[++i] : std::string("0"); };
        if (words[i] == "weight") {
            node.weight = static_cast<int>(std::strtol(next().c_str(), nullptr, 10));
        } else if (words[i] == "backup") {
            node.backup = true;
        } else if (words[i] == "disabled") {
            node.disabled = true;
        } else if (words[i] == "maxconn") {
            node.max_conn = static_cast<int>(std::strtol(next().c_str(), nullptr, 10));
        } else if (words[i] == "slowstart") {
            node.slow_start = seconds_of(next());
        } else if (words[i] == "inter") {
            node.check_every = seconds_of(next());
        }
    }
}

// Of a server that has come up: "the weight grows linearly from 1 to 100%", renewed at every check,
// for kinds that can change weights while they run.
double weight_now(const HaproxyTrafficModel::Pool& pool, const HaproxyTrafficModel::Node& node) {
    const bool moves =
        pool.balance == "roundrobin" || pool.balance == "leastconn" || pool.balance == "random";
    if (!moves || node.slow_start <= 0 || node.up_for >= node.slow_start) {
        return node.weight;
    }
    const double seen = std::floor(node.up_for / node.check_every) * node.check_every;
    return node.weight * std::max(0.01, seen / node.slow_start);
}

// Who takes part: active servers that are up and weigh anything; without any, the backups, of which
// the first alone unless allbackups is set.
std::vector<HaproxyTrafficModel::Node*> in_use(HaproxyTrafficModel::Pool& pool) {
    std::vector<HaproxyTrafficModel::Node*> nodes;
    for (const bool backup : {false, true}) {
        for (auto& node : pool.nodes) {
            if (node.backup != backup || node.down || node.disabled || pool.disabled ||
                node.weight == 0) {
                continue;
            }
            nodes.push_back(&node);
            if (backup && !pool.all_backups) {
                break;
            }
        }
        if (!nodes.empty()) {
            break;
        }
    }
    return nodes;
}

// FNV-1a, then each server as often in a row as it weighs: "map-based" hashing by the manual.
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
    std::map<std::string, std::pair<bool, Node>>
        defaults;  // option allbackups and default-server by section's name
    std::string section, last;
    Node standard;
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
            standard = {};
            all_backups = false;
            pool = nullptr;
            if (from != words.end()) {
                std::tie(all_backups, standard) = defaults[*(from + 1)];
            }
            last = section;
            defaults[last] = {all_backups, standard};
        } else if (words[0] == "backend" || words[0] == "listen") {
            std::tie(all_backups, standard) = defaults[from != words.end() ? *(from + 1) : last];
            pool = &pools[words[1]];
            pool->name = words[1];
            pool->all_backups = all_backups;
        } else if (words[0] == "frontend" || words[0] == "global" || words[0] == "peers" ||
                   words[0] == "resolvers") {
            pool = nullptr;
        } else if (words[0] == "default-server") {
            read_words(words, 1, standard);
            if (pool == nullptr) {
                defaults[last].second = standard;
            }
        } else if (words[0] == "option" && words.size() > 1 && words[1] == "allbackups") {
            pool ? (void)(pool->all_backups = true) : (void)(defaults[last].first = true);
        } else if (pool != nullptr && words[0] == "balance") {
            pool->balance = words[1].substr(0, words[1].find('('));
            if (words[1] == "hash") {
                pool->balance = "source";
            }
        } else if (pool != nullptr && words[0] == "disabled") {
            pool->disabled = true;
        } else if (pool != nullptr && words[0] == "server" && words.size() > 2) {
            Node node = standard;
            node.name = words[1];
            read_words(words, 3, node);
            pool->nodes.push_back(node);
        }
    }
    return pools;
}

std::map<std::string, int> HaproxyTrafficModel::spread(Pool pool,
                                                       const std::vector<Client>& clients,
                                                       std::mt19937_64& chance) {
    std::map<std::string, int> counts;
    const std::vector<Node*> nodes = in_use(pool);
    if (nodes.empty()) {
        counts[""] = static_cast<int>(clients.size());
        return counts;
    }
    std::vector<double> weights;
    double sum = 0;
    for (const Node* node : nodes) {
        weights.push_back(weight_now(pool, *node)), sum += weights.back();
    }
    const auto by_weight = [&](double at) {  // at: within 0..1
        at *= sum;
        for (std::size_t i = 0; i + 1 < nodes.size(); ++i) {
            if ((at -= weights[i]) < 0) {
                return nodes[i];
            }
        }
        return nodes.back();
    };
    const auto round = [&] {  // the one furthest behind its part goes next
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i]->turn += weights[i];
        }
        Node* next =
            *std::max_element(nodes.begin(), nodes.end(),
                              [](const Node* a, const Node* b) { return a->turn < b->turn; });
        next->turn -= sum;
        return next;
    };
    std::uniform_real_distribution<> unit(0, 1);
    std::exponential_distribution<> stays(1.0 / 12);
    using End = std::pair<double, Node*>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    double now = 0;
    for (const Client& client : clients) {
        now += 1;
        while (!ends.empty() && ends.top().first <= now) {
            --ends.top().second->running;
            ends.pop();
        }
        Node* node = nullptr;
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
            node = by_weight(static_cast<double>(hash_of(key) >> 11) / 9007199254740992.0);
        } else if (pool.balance == "random") {
            node = by_weight(unit(chance));
        } else if (pool.balance == "leastconn") {
            const auto load = [&](std::size_t i) { return (nodes[i]->running + 1) / weights[i]; };
            std::size_t best = chance() % nodes.size();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (load(i) < load(best)) {
                    best = i;
                }
            }
            node = nodes[best];
        } else if (pool.balance == "first") {
            for (Node* at : nodes) {
                if (node == nullptr && (at->max_conn == 0 || at->running < at->max_conn)) {
                    node = at;
                }
            }
        } else {
            node = round();
        }
        if (node == nullptr) {
            ++counts[""];
            continue;
        }
        ++counts[node->name];
        ++node->running;
        ends.emplace(now + stays(chance), node);
    }
    return counts;
}

}  // namespace micaroad::test
