/// \file
/// Translates the sections with servers (`backend` and `listen`) to pools.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "haproxy/section.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// Builds the pools of one configuration. Not thread-safe; `findings` must outlive it.
class PoolBuilder {
 public:
    explicit PoolBuilder(Findings& findings) : findings_(findings) {}

    /// Adds the pool of a section for which `draft.has_servers()` holds.
    void add(const Draft& draft);
    /// Returns the pools in the order in which they were added. To be called once, after the last
    /// `add`. Leaves out each server whose chain of `track` is circular, or ends at a server that
    /// is missing or has no health check; this is checked here because a server may track one of a
    /// pool that is added later.
    [[nodiscard]] std::vector<routing::Pool> finish();
    /// The `balance` algorithm of each pool, by pool name.
    [[nodiscard]] const std::map<std::string, std::string>& balance() const { return balance_; }

 private:
    std::optional<Duration> find_timeout(const Settings& settings, const std::string& name);
    void set_timeouts(const Draft& draft, routing::Pool& pool);
    void set_retries(const Settings& settings, routing::Pool& pool);
    void set_health_check(const Settings& settings, routing::Pool& pool);
    void add_servers(const ServerStatement& at, const Draft& draft, routing::Pool& pool);
    void add_server(const ServerStatement& at, const ServerParameters& parameters,
                    const std::string& name, const Draft& draft, routing::Pool& pool);
    void set_server_health(const ServerStatement& at, const ServerParameters& parameters,
                           routing::Pool& pool);
    void set_stickiness(const Draft& draft, const Balance& balance, routing::Pool& pool);
    /// Reads a `stick` line and returns whether it sets the pool's stickiness. `has_key`: the
    /// cookie or an earlier line has set it.
    bool read_stick_rule(const Statement& statement, const Settings& settings, bool has_key,
                         routing::Pool& pool);
    void report(std::size_t line, Verdict verdict, const std::string& says) {
        findings_.add_verdict(line, verdict, says);
    }

    Findings& findings_;
    std::vector<routing::Pool> pools_;
    std::map<std::string, std::string> balance_;
    std::map<std::string, std::size_t> finding_by_server_;  // by "pool/server"
    std::map<std::string, std::string>
        health_rule_servers_;  // by pool name: the server whose health parameters the pool has
    std::set<std::string> server_names_;  // of the pool being built
};

}  // namespace micaroad::haproxy
