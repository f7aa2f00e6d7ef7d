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

/// Makes the pools of one configuration. Not thread-safe; `findings` outlives it.
class PoolBuilder {
 public:
    explicit PoolBuilder(Findings& findings) : findings_(findings) {}

    /// Makes the pool of a section with `draft.has_servers()`.
    void add(const Draft& draft);
    /// Returns the pools in the order of their `add`; to be called once, after the last. Leaves out
    /// servers whose chain of `track` is circular, or ends at a server that is missing or has no
    /// health check: that can be told only once all pools are there.
    [[nodiscard]] std::vector<routing::Pool> finish();
    /// The `balance` algorithm of each pool, by its name.
    [[nodiscard]] const std::map<std::string, std::string>& balance() const { return balance_; }

 private:
    std::optional<Duration> timeout(const Settings& settings, const std::string& name);
    void set_timeouts(const Draft& draft, routing::Pool& pool);
    void set_retries(const Settings& settings, routing::Pool& pool);
    void set_health_check(const Settings& settings, routing::Pool& pool);
    void servers(const ServerAt& at, const Draft& draft, routing::Pool& pool);
    void one_server(const ServerAt& at, const ServerParameters& words, const std::string& name,
                    const Draft& draft, routing::Pool& pool);
    void health(const ServerAt& at, const ServerParameters& words, routing::Pool& pool);
    void stickiness(const Draft& draft, const Balance& balance, routing::Pool& pool);
    /// Returns whether the line decides the pool's stickiness.
    bool stick_on(const Statement& statement, const Settings& settings, bool taken,
                  routing::Pool& pool);
    void say(std::size_t line, Verdict verdict, const std::string& says) {
        findings_.say(line, verdict, says);
    }

    Findings& findings_;
    std::vector<routing::Pool> pools_;
    std::map<std::string, std::string> balance_;
    std::map<std::string, std::size_t> line_of_;  // by server's full name
    std::map<std::string, std::string>
        health_by_;                // pool to the server whose health words are the pool's
    std::set<std::string> names_;  // of the pool that is being made
};

}  // namespace micaroad::haproxy
