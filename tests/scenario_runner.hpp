/// Runs a scenario of tests/scenarios against a planner; tests/scenarios/README.md describes the
/// notation.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad::test {

inline Duration ms(double value) {
    return Duration{std::llround(value * 10)};
}

/// Interprets the statements of one scenario. Holds the settings, the planner, the simulated time
/// and the state of the proxies that results from the planner's orders. `AnyPlanner` has the
/// interface of micaroad::Planner. It uses Catch2's assertions and so runs inside test cases only.
template <class AnyPlanner>
struct ScenarioRunner {
    DeploymentSettings settings;
    std::optional<AnyPlanner> planner;
    TimePoint now{ms(1'000'000)};
    std::vector<std::pair<TimePoint, TimerId>> timers;
    std::vector<std::pair<Duration, std::string>> repeated_statements;  // with their intervals
    std::map<int, std::map<std::string, double>> tables;
    std::set<std::string> withdrawn;
    std::map<int, std::map<int, int>> bound_tables;  // by proxy and method
    std::map<int, double> admission_levels;
    std::map<int, RetryPolicy> retry_policies;
    double lines = 0, widest_step = 0;
    int batches = 0, subscriptions = 0;
    std::string order_log;  // the orders for tables, withdrawals and admission, in sequence

    std::map<std::string, double> shares(std::map<std::string, double> table) const {
        double sum = 0;
        std::erase_if(table, [this](const auto& line) { return withdrawn.contains(line.first); });
        for (const auto& [server, weight] : table) {
            sum += weight;
        }
        for (auto& [server, weight] : table) {
            weight /= sum;
        }
        return table;
    }

    // Number of proxies that are bound to the table for at least one method.
    double bound_proxy_count(int table) const {
        const auto is_bound_to_table = [table](const auto& proxy) {
            return std::any_of(proxy.second.begin(), proxy.second.end(),
                               [table](const auto& at) { return at.second == table; });
        };
        return static_cast<double>(
            std::count_if(bound_tables.begin(), bound_tables.end(), is_bound_to_table));
    }

    void apply(const order::SetTableEntry& o) {
        REQUIRE(!o.server.value.empty());
        REQUIRE(std::isfinite(o.weight));
        REQUIRE(o.weight >= 0);
        if (settings.single_owner && o.weight > 0) {
            tables[o.table.value].clear();
        }
        o.weight > 0 ? (void)(tables[o.table.value][o.server.value] = o.weight)
                     : (void)tables[o.table.value].erase(o.server.value);
        order_log +=
            "line " + std::to_string(o.table.value) + o.server.value + std::to_string(o.weight);
        lines += bound_proxy_count(o.table.value);
    }
    void apply(const order::SetWithdrawn& o) {
        REQUIRE(!o.server.value.empty());
        o.withdrawn ? (void)withdrawn.insert(o.server.value)
                    : (void)withdrawn.erase(o.server.value);
        order_log += "withdraw" + o.server.value + std::to_string(o.withdrawn);
        for (const auto& [table, entries] : tables) {
            lines += entries.contains(o.server.value) ? bound_proxy_count(table) : 0;
        }
    }
    void apply(const order::SendNonce& o) { planner->handle(event::Acknowledgement{{0}, o.nonce}); }
    void apply(const order::BindProxy& o) {
        for (const auto& method : o.methods) {
            bound_tables[o.proxy.value][method.value] = o.table.value;
        }
        lines += 1 + static_cast<double>(tables[o.table.value].size());
    }
    void apply(const order::SetAdmission& o) {
        for (const auto& method : o.methods) {
            admission_levels[method.value] = o.amount;
            retry_policies[method.value] = o.retry_policy;
        }
        order_log += "level" + std::to_string(o.amount);
    }
    void apply(const order::StartTimer& o) { timers.emplace_back(now + o.after, o.timer); }
    void apply(const order::Subscribe&) { ++subscriptions; }
    template <class Other>
    void apply(const Other&) {}

    void decide() {
        const auto before = tables;
        const auto withdrawn_before = withdrawn;
        const auto orders = planner->decide(now);
        for (const Order& order : orders) {
            std::visit([this](const auto& o) { apply(o); }, order);
        }
        if (tables != before || withdrawn != withdrawn_before) {
            ++batches;
        }
        for (const auto& [table, entries_now] : tables) {
            if (!before.contains(table) || before.at(table).size() != entries_now.size()) {
                continue;
            }
            double squared_change = 0;
            if (withdrawn != withdrawn_before) {
                continue;
            }
            const auto shares_before = shares(before.at(table));
            for (const auto& [server, share] : shares(entries_now)) {
                if (shares_before.contains(server)) {
                    squared_change += std::pow(share - shares_before.at(server), 2);
                }
            }
            widest_step = std::max(widest_step, std::sqrt(squared_change));
        }
    }

    void run(Duration length) {
        decide();
        for (const TimePoint end = now + length; now < end;) {
            now += ms(100);
            for (auto& [interval, statement] : repeated_statements) {
                if (now.time_since_epoch() % interval == Duration{}) {
                    execute(statement);
                }
            }
            for (const auto& [due, timer] : std::exchange(timers, {})) {
                due <= now ? planner->handle(event::TimerExpired{timer})
                           : (void)timers.emplace_back(due, timer);
            }
            decide();
        }
    }

    // Parses name[:zone[:kind]][=phase][@started_ms_ago].
    ListedEndpoint parse_endpoint(std::string word) const {
        ListedEndpoint server;
        const auto cut_from = [&word](char separator) {
            const auto position = word.find(separator);
            const std::string rest = position == std::string::npos ? "" : word.substr(position + 1);
            word = word.substr(0, position);
            return rest;
        };
        if (const auto started_ms_ago = cut_from('@'); !started_ms_ago.empty()) {
            server.last_start = now - ms(std::stod(started_ms_ago));
        }
        const auto phase = cut_from('=');
        server.phase = phase == "draining" ? EndpointPhase::draining
                       : phase == "gone"   ? EndpointPhase::gone
                                           : EndpointPhase::ready;
        std::istringstream parts(word);
        std::string part;
        std::getline(parts, server.server.value, ':');
        if (std::getline(parts, part, ':')) {
            server.zone.value = std::stoi(part);
        }
        if (std::getline(parts, part, ':')) {
            server.kind.value = std::stoi(part);
        }
        return server;
    }

    void execute_method(std::istream& in) {
        Method method;
        std::string option;
        double soft_deadline_ms = 0;
        in >> soft_deadline_ms >> method.criticality;
        method.soft_deadline = ms(soft_deadline_ms);
        while (in >> option) {
            if (option == "own-zone") {
                method.own_zone_only = true;
            }
            if (option.rfind("kind=", 0) == 0) {
                method.only_kinds.push_back({std::stoi(option.substr(5))});
            }
        }
        settings.methods.push_back(method);
    }

    void execute_settings(std::istream& in) {
        std::string key;
        double value = 0;
        in >> key >> value;
        const std::map<std::string, std::function<void()>> keys{
            {"proxies", [&] { settings.proxy_count = static_cast<int>(value); }},
            {"planners", [&] { settings.planner_count = static_cast<int>(value); }},
            {"zones", [&] { settings.zone_count = static_cast<int>(value); }},
            {"pace", [&] { settings.channel_lines_per_second = value; }},
            {"grace", [&] { settings.drain_grace = ms(value); }},
            {"waiting", [&] { settings.max_pending_lines = value; }},
            {"messages", [&] { settings.max_messages_per_proxy = static_cast<int>(value); }},
            {"slices", [&] { settings.slice_count = static_cast<int>(value); }},
            {"single-owner", [&] { settings.single_owner = value != 0; }},
            {"levels-as-rate",
             [&] {
                 settings.admission_kind =
                     value != 0 ? AdmissionKind::rate : AdmissionKind::fraction;
             }},
            {"dropped-may-serve", [&] { settings.unlisted_may_serve = value != 0; }},
            {"subscribe", [&] { settings.subscription_required = value != 0; }},
        };
        keys.at(key)();
    }

    void expect(std::istream& in) {
        std::string quantity, sign;
        in >> quantity;
        double found = 0, expected = 0;
        const auto number = [&in] {
            int n = 0;
            in >> n;
            return n;
        };
        if (quantity == "share") {
            const auto& table = tables[number()];
            std::string server;
            in >> server;
            const auto share = shares(table);
            found = share.contains(server) ? share.at(server) : 0;
        } else if (quantity == "table") {
            found = static_cast<double>(shares(tables[number()]).size());
        } else if (quantity == "bound") {
            const int proxy = number();
            found = bound_tables[proxy].contains(number()) ? 1 : 0;
        } else if (quantity == "users") {
            found = bound_proxy_count(number());
        } else if (quantity == "level") {
            const int method = number();
            found = admission_levels.contains(method) ? admission_levels[method] : 1;
        } else if (quantity == "withdrawn") {
            std::string server;
            in >> server;
            found = withdrawn.contains(server) ? 1 : 0;
        } else if (quantity == "tries") {
            found = static_cast<int>(retry_policies[number()]);
        } else {
            const std::map<std::string, double> counts{{"lines", lines},
                                                       {"step", widest_step},
                                                       {"batches", batches},
                                                       {"subscriptions", subscriptions}};
            found = counts.at(quantity);
        }
        in >> sign >> expected;
        CAPTURE(found, sign, expected);
        CHECK((sign == "<"   ? found < expected
               : sign == ">" ? found > expected
                             : found == expected));
    }

    void execute(const std::string& line) {
        std::istringstream in(line);
        std::string verb, word;
        if (!(in >> verb) || verb[0] == '#') {
            return;
        }
        INFO(line);
        if (verb == "method") {
            return execute_method(in);
        }
        if (verb == "terms") {
            return execute_settings(in);
        }
        if (verb == "expect") {
            return expect(in);
        }
        if (verb == "reset") {
            return (void)(lines = widest_step = batches = 0);
        }
        if (verb == "quiet") {
            return repeated_statements.clear();
        }
        if (verb == "start") {
            tables.clear();
            withdrawn.clear();
            bound_tables.clear();
            timers.clear();
            planner.emplace(settings, 7u);
            return;
        }
        double a = 0, b = 0, c = 0, d = 0;
        if (verb == "every") {
            in >> a;
            std::getline(in, word);
            repeated_statements.emplace_back(ms(a), word);
        } else if (verb == "run") {
            in >> a;
            run(ms(a));
        } else if (verb == "list") {
            event::EndpointListUpdate list;
            in >> word;
            list.form = word == "changes"    ? event::EndpointListUpdate::Form::incremental
                        : word == "complete" ? event::EndpointListUpdate::Form::complete
                        : word == "restored" ? event::EndpointListUpdate::Form::restored
                                             : event::EndpointListUpdate::Form::unavailable;
            while (in >> word) {
                list.servers.push_back(parse_endpoint(word));
            }
            planner->handle(list);
        } else if (verb == "join") {
            in >> a >> b;
            planner->handle(event::ProxyJoined{{static_cast<int>(a)}, {static_cast<int>(b)}, 5});
        } else if (verb == "join-many") {  // each proxy sends more than the one before
            in >> a;
            for (int p = 0; p < a; ++p) {
                planner->handle(event::ProxyJoined{{p}, {0}, 1.0 * p, true});
            }
        } else if (verb == "leave") {
            in >> a;
            bound_tables.erase(static_cast<int>(a));
            planner->handle(event::ProxyLeft{{static_cast<int>(a)}});
        } else if (verb == "met") {
            std::string attempts_word;
            in >> word >> attempts_word >> b >> c >> d;
            a = attempts_word == "nan" ? std::nan("") : std::stod(attempts_word);
            planner->handle(event::EndpointLoadReport{{word}, {0}, a, b, ms(c), ms(d)});
        } else if (verb == "came") {
            in >> a >> b >> c;
            const MethodId method{static_cast<int>(b)};
            planner->handle(event::DemandReport{{static_cast<int>(a)}, method, c, 0, ms(500)});
        } else if (verb == "slice") {
            in >> a >> word;
            planner->handle(event::SliceAssigned{{static_cast<int>(a)}, word == "ours"});
            if (word == "ours") {
                tables.erase(static_cast<int>(a));
            }
        } else if (verb == "owner") {
            in >> a >> word;
            tables[static_cast<int>(a)][word] = 1;
            planner->handle(event::SliceOwnerReported{{static_cast<int>(a)}, {word}, 1});
        } else {
            FAIL("unknown statement: " << line);
        }
    }
};

/// Runs the scenario of a file. Returns the orders for tables, withdrawals and admission as text,
/// in sequence.
template <class AnyPlanner>
std::string run_scenario(const std::filesystem::path& file) {
    ScenarioRunner<AnyPlanner> runner;
    runner.settings.proxy_count = 4;
    runner.settings.channel_lines_per_second = 1000;
    runner.settings.overhead_lines_per_message = 3;
    runner.settings.max_pending_lines = 2000;
    runner.settings.message_limit_window = ms(10'000);
    runner.settings.report_interval = ms(500);
    runner.settings.max_message_delay = ms(500);
    runner.settings.drain_grace = ms(2000);
    runner.settings.warm_up_duration = ms(15'000);
    runner.settings.cold_capacity_fraction = 0.2;
    runner.settings.overload_factor = 3;
    runner.settings.overload_window = ms(1500);
    runner.settings.admission_kind = AdmissionKind::fraction;
    runner.settings.owner_lease = ms(2500);
    runner.settings.write_lifetime = ms(5000);
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        runner.execute(line);
    }
    return runner.order_log;
}

/// The files of all scenarios, sorted by name.
inline std::vector<std::filesystem::path> scenario_files() {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
        if (entry.path().extension() == ".txt") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

}  // namespace micaroad::test
