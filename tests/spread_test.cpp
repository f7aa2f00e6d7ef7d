// Imported pools split traffic over fake servers as the HAProxy model does: for every file of the
// corpus, in the normal state, with one server down, with all active servers down, with one server
// draining, and during a slow start. A chi-square test of homogeneity compares the two splits.
// Where the import report says that the planner splits differently, the bound in the report is
// checked instead.
#include <fmt/format.h>

#include <boost/math/distributions/chi_squared.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "corpus.hpp"
#include "counting_servers.hpp"
#include "haproxy_traffic_model.hpp"
#include "routing/router.hpp"

using namespace micaroad;
using test::CorpusFile;
using test::HaproxyTrafficModel;

namespace {

constexpr int kRpcs = 6'000;
// Two splits with a smaller p-value differ. A real difference gives a far smaller one; over some
// 500 comparisons with fixed seeds, no pair of equal splits comes near it.
constexpr double kMinPValue = 1e-5;

enum class Case { normal, one_down, all_active_down, one_draining, slow_start };
const std::map<Case, const char*> kCaseNames{{Case::normal, "normal"},
                                             {Case::one_down, "one down"},
                                             {Case::all_active_down, "all active down"},
                                             {Case::one_draining, "one draining"},
                                             {Case::slow_start, "slow start"}};

std::vector<HaproxyTrafficModel::Client> clients(std::mt19937_64& rng) {
    std::vector<HaproxyTrafficModel::Client> clients;
    for (int i = 0; i < kRpcs; ++i) {
        const auto number = rng();
        clients.push_back(
            {fmt::format("10.{}.{}.{}", number % 256, number / 256 % 256, number / 65'536 % 256),
             fmt::format("/d{}/e{}/f", number % 100'003, number % 7),
             fmt::format("{}", number % 1'000'003), fmt::format("desk-{}", number % 999'983)});
    }
    return clients;
}

// Sends one RPC of each client by the planner's shares and returns the number of RPCs by server, as
// counted by fake servers; "" counts the RPCs for which there was no share.
std::map<std::string, int> replay(const routing::Plan& plan, const routing::Pool& pool,
                                  const routing::View& view,
                                  const std::vector<HaproxyTrafficModel::Client>& clients,
                                  std::mt19937_64& rng) {
    const routing::Router router(plan);
    std::vector<std::string> names;
    for (const auto& server : pool.servers) {
        names.push_back(server.name);
    }
    test::CountingServers servers(names);
    int unassigned = 0;
    for (const auto& client : clients) {
        routing::Rpc rpc;
        rpc.source = *routing::parse_address(client.source), rpc.path = client.path,
        rpc.query = "user=" + client.query;
        rpc.headers = {{"x-desk", client.header}};
        routing::Decision decision;
        router.decide_in_pool(*router.plan().pool(pool.name), rpc, view, decision);
        if (!decision.sticky_server.empty()) {
            servers.send(decision.sticky_server);
        } else if (decision.split.shares.empty()) {
            ++unassigned;
        } else {
            double position = std::uniform_real_distribution<>(0, 1)(rng);
            std::size_t i = 0;
            while (i + 1 < decision.split.shares.size() &&
                   (position -= decision.split.shares[i].share) >= 0) {
                ++i;
            }
            servers.send(decision.split.shares[i].server);
        }
    }
    auto counts = servers.counts();
    if (unassigned > 0) {
        counts[""] = unassigned;
    }
    std::erase_if(counts, [](const auto& entry) { return entry.second == 0; });
    return counts;
}

struct Comparison {
    double p_value = 1;     // the probability that equal splits differ at least as much
    double difference = 0;  // the largest difference of a server's share
};

Comparison compare(const std::map<std::string, int>& planner_counts,
                   const std::map<std::string, int>& model_counts) {
    std::map<std::string, std::pair<double, double>> rows;
    double a = 0, b = 0;
    for (const auto& [name, n] : planner_counts) {
        rows[name].first = n;
        a += n;
    }
    for (const auto& [name, n] : model_counts) {
        rows[name].second = n;
        b += n;
    }
    Comparison comparison;
    double sum = 0;
    for (const auto& [name, row] : rows) {
        const double all = row.first + row.second, x = all * a / (a + b), y = all * b / (a + b);
        sum += (row.first - x) * (row.first - x) / x + (row.second - y) * (row.second - y) / y;
        comparison.difference =
            std::max(comparison.difference, std::abs(row.first / a - row.second / b));
    }
    if (rows.size() > 1) {
        comparison.p_value = boost::math::cdf(boost::math::complement(
            boost::math::chi_squared(static_cast<double>(rows.size() - 1)), sum));
    }
    return comparison;
}

// Returns the model's pool without the servers that the imported pool lacks: the importer drops
// lines that HAProxy itself refuses, which the model does not check.
HaproxyTrafficModel::Pool without_unknown_servers(HaproxyTrafficModel::Pool model_pool,
                                                  const routing::Pool& pool) {
    std::erase_if(model_pool.servers, [&pool](const auto& model_server) {
        return std::none_of(
            pool.servers.begin(), pool.servers.end(),
            [&model_server](const auto& server) { return server.name == model_server.name; });
    });
    return model_pool;
}

// Sets up a case in the view of the planner and in the model. Returns false if the case can't occur
// in the pool.
bool set_up_case(Case which, const routing::Pool& pool, HaproxyTrafficModel::Pool& model_pool,
                 routing::View& view) {
    view.now = TimePoint{Duration{100'000'000}};
    const auto change_server =
        [&](const routing::Server& server,
            const std::function<void(routing::ServerState&, HaproxyTrafficModel::Server&)>&
                change) {
            const auto model_server =
                std::find_if(model_pool.servers.begin(), model_pool.servers.end(),
                             [&](const auto& candidate) { return candidate.name == server.name; });
            change(view.servers[pool.name + "/" + server.name], *model_server);
        };
    const auto first = std::find_if(pool.servers.begin(), pool.servers.end(), [](const auto& s) {
        return s.tier == routing::Tier::active && s.state == routing::State::ready;
    });
    if (which == Case::normal) {
        return true;
    }
    if (first == pool.servers.end() || !first->health_source.empty()) {
        return false;
    }
    switch (which) {
        case Case::normal:
            break;
        case Case::one_down:
            change_server(*first, [](auto& state, auto& model_server) {
                state.up = false, model_server.down = true;
            });
            break;
        case Case::all_active_down:
            for (const auto& server : pool.servers) {
                if (server.tier == routing::Tier::active) {
                    change_server(server, [](auto& state, auto& model_server) {
                        state.up = false, model_server.down = true;
                    });
                }
            }
            break;
        case Case::one_draining:
            change_server(*first, [&](auto& state, auto& model_server) {
                state.state_override = routing::State::draining, state.draining_since = view.now,
                model_server.weight = 0;
            });
            break;
        case Case::slow_start:
            if (first->slow_start == Duration{}) {
                return false;
            }
            change_server(*first, [&](auto& state, auto& model_server) {
                state.up_since = view.now - first->slow_start / 4,
                model_server.seconds_up =
                    std::chrono::duration<double>(first->slow_start / 4).count();
            });
    }
    return true;
}

}  // namespace

TEST_CASE(
    "imported pools split traffic as the HAProxy model does, in every state of their servers") {
    int comparisons = 0;
    double largest_difference = 0, smallest_p_value = 1;
    for (const CorpusFile& file : CorpusFile::read_all()) {
        const auto import = file.import();
        const auto model_pools = HaproxyTrafficModel::read(file.text);
        for (const auto& pool : import.plan.pools) {
            // Skip pools that the model's simple parser can't read: server templates, continued
            // lines, macros and tracked health.
            const auto found = model_pools.find(pool.name);
            const bool model_reads_all =
                found != model_pools.end() &&
                without_unknown_servers(found->second, pool).servers.size() ==
                    pool.servers.size() &&
                file.name != "macros" && file.name != "quoting";
            if (!model_reads_all || pool.servers.empty()) {
                continue;
            }
            for (const auto& [which, name] : kCaseNames) {
                HaproxyTrafficModel::Pool model_pool = without_unknown_servers(found->second, pool);
                routing::View view;
                if (!set_up_case(which, pool, model_pool, view)) {
                    continue;
                }
                std::mt19937_64 rng(std::hash<std::string>{}(file.name + pool.name) % 1'000'000 +
                                    static_cast<unsigned>(which));
                const auto client_list = clients(rng);
                const auto planner_counts = replay(import.plan, pool, view, client_list, rng);
                const auto model_counts = HaproxyTrafficModel::spread(model_pool, client_list, rng);
                const Comparison comparison = compare(planner_counts, model_counts);
                CAPTURE(file.name, pool.name, name, comparison.p_value, comparison.difference,
                        planner_counts, model_counts);
                ++comparisons;
                if (model_pool.balance == "first") {
                    continue;  // the split differs: see the next test case
                }
                if (model_pool.balance == "leastconn") {
                    CHECK(comparison.difference < 0.1);  // the report's bound for equal servers
                    continue;
                }
                CHECK(comparison.p_value > kMinPValue);
                largest_difference = std::max(largest_difference, comparison.difference),
                smallest_p_value = std::min(smallest_p_value, comparison.p_value);
            }
        }
    }
    CHECK(comparisons > 100);
    CHECK(largest_difference < 0.04);
    WARN(comparisons << " splits compared; largest difference of a share " << largest_difference
                     << ", smallest p-value " << smallest_p_value);
}

TEST_CASE(
    "`balance first` is not preserved: HAProxy fills servers in order, the planner splits evenly") {
    const CorpusFile file = CorpusFile::read("first");
    const auto import = file.import();
    std::mt19937_64 rng(5);
    const auto client_list = clients(rng);
    const auto model_counts = HaproxyTrafficModel::spread(
        HaproxyTrafficModel::read(file.text).at("web"), client_list, rng);
    CHECK(compare(replay(import.plan, import.plan.pools.at(0), {}, client_list, rng), model_counts)
              .p_value < kMinPValue);
}

TEST_CASE("a deliberately wrong translation is detected against the HAProxy model") {
    struct WrongTranslation {
        const char *file, *pool;
        Case which;
        std::function<void(routing::Pool&)> make_wrong;
    };
    const std::vector<WrongTranslation> wrong_translations{
        {"roundrobin-weights", "web", Case::normal,
         [](auto& pool) { std::swap(pool.servers[0].weight, pool.servers[1].weight); }},
        {"one-backup", "web", Case::normal,
         [](auto& pool) { pool.servers[2].tier = routing::Tier::active; }},
        {"one-backup", "web", Case::all_active_down, [](auto& pool) { pool.servers.pop_back(); }},
        {"allbackups", "web", Case::all_active_down, [](auto& pool) { pool.all_backups = false; }},
        {"two-backups-first-alone", "web", Case::all_active_down,
         [](auto& pool) { pool.all_backups = true; }},
        {"weight-zero-drains", "web", Case::normal,
         [](auto& pool) {
             pool.servers[2].weight = 1, pool.servers[2].state = routing::State::ready;
         }},
        {"backups-of-weight-zero", "web", Case::all_active_down,
         [](auto& pool) {
             pool.servers[1].weight = 1, pool.servers[1].state = routing::State::ready;
         }},
        {"disabled-servers", "web", Case::normal,
         [](auto& pool) { pool.servers[1].state = routing::State::ready; }},
        {"slow-start", "web", Case::slow_start,
         [](auto& pool) {
             for (auto& server : pool.servers) {
                 server.slow_start = {};
             }
         }},
        {"default-server-and-own", "web", Case::normal,
         [](auto& pool) {
             for (auto& server : pool.servers) {
                 server.weight = 8;
             }
         }},
        {"uri-hash-depth", "web", Case::normal,
         [](auto& pool) { pool.stickiness.path_length = 3; }},
    };
    for (const WrongTranslation& wrong : wrong_translations) {
        const CorpusFile file = CorpusFile::read(wrong.file);
        auto plan = file.import().plan;
        const auto unchanged_model_pool = HaproxyTrafficModel::read(file.text).at(wrong.pool);
        auto& pool = *std::find_if(plan.pools.begin(), plan.pools.end(),
                                   [&](const auto& p) { return p.name == wrong.pool; });
        HaproxyTrafficModel::Pool model_pool = unchanged_model_pool;
        routing::View view;
        REQUIRE(set_up_case(wrong.which, pool, model_pool, view));
        std::mt19937_64 rng(11);
        const auto client_list = clients(rng);
        const auto model_counts = HaproxyTrafficModel::spread(model_pool, client_list, rng);
        CAPTURE(wrong.file, kCaseNames.at(wrong.which));
        const auto p_value_before =
            compare(replay(plan, pool, view, client_list, rng), model_counts).p_value;
        wrong.make_wrong(pool);
        CHECK(p_value_before > kMinPValue);
        CHECK(compare(replay(plan, pool, view, client_list, rng), model_counts).p_value <
              kMinPValue);
    }
}
