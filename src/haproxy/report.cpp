#include "haproxy/report.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace micaroad::haproxy {
namespace {

constexpr Verdict kVerdicts[] = {Verdict::translated, Verdict::changed, Verdict::refused,
                                 Verdict::no_effect};

// Returns each server's share of its tier when all ready servers are up. Of the backup servers,
// only the first has a share unless the pool uses all of them.
std::vector<double> shares_of(const routing::Pool& pool) {
    std::vector<double> shares(pool.servers.size(), 0.0);
    for (const routing::Tier tier : {routing::Tier::active, routing::Tier::backup}) {
        double sum = 0;
        const bool first_only = tier == routing::Tier::backup && !pool.all_backups;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const routing::Server& server = pool.servers[i];
            if (server.tier != tier || server.state != routing::State::ready ||
                server.weight == 0) {
                continue;
            }
            if (first_only && sum > 0) {
                continue;
            }
            shares[i] = server.weight;
            sum += server.weight;
        }
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (pool.servers[i].tier == tier && sum > 0) {
                shares[i] /= sum;
            }
        }
    }
    return shares;
}

const char* name_of(routing::State state) {
    return state == routing::State::ready      ? "ready"
           : state == routing::State::draining ? "draining"
                                               : "disabled";
}

}  // namespace

std::string text_report(const Import& import) {
    std::string text;
    for (const Fault& fault : import.faults) {
        text += fault.text() + "\n";
    }
    for (const Finding& finding : import.findings) {
        if (finding.verdict == Verdict::translated && finding.message.empty()) {
            continue;
        }
        text +=
            fmt::format("{}:{}: {}: {}{}{}\n", finding.file, finding.line, name_of(finding.verdict),
                        finding.keyword, finding.message.empty() ? "" : ": ", finding.message);
    }
    std::string counts;
    for (const Verdict verdict : kVerdicts) {
        counts += fmt::format("{}{} {}", counts.empty() ? "" : ", ", import.count(verdict),
                              name_of(verdict));
    }
    return text + fmt::format("{} lines: {}\n", import.findings.size(), counts);
}

std::string json_report(const Import& import, const std::vector<std::string>& files) {
    using nlohmann::json;
    json report;
    report["file"] = files.size() == 1 ? json(files.front()) : json(files);
    report["findings"] = json::array();
    for (const Finding& finding : import.findings) {
        report["findings"].push_back({{"file", finding.file},
                                      {"line", finding.line},
                                      {"keyword", finding.keyword},
                                      {"verdict", name_of(finding.verdict)},
                                      {"says", finding.message}});
    }
    report["pools"] = json::array();
    for (const routing::Pool& pool : import.plan.pools) {
        json servers = json::array();
        const std::vector<double> shares = shares_of(pool);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const routing::Server& server = pool.servers[i];
            servers.push_back({{"name", server.name},
                               {"address", server.address},
                               {"share", shares[i]},
                               {"tier", server.tier == routing::Tier::active ? "active" : "backup"},
                               {"state", name_of(server.state)}});
        }
        report["pools"].push_back({{"name", pool.name}, {"servers", servers}});
    }
    for (const Verdict verdict : kVerdicts) {
        report["counts"][name_of(verdict)] = import.count(verdict);
    }
    report["counts"]["lines"] = import.findings.size();
    return report.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace micaroad::haproxy
