// Sections with servers to pools.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "haproxy/section.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

class PoolMaker {
 public:
    explicit PoolMaker(Findings& findings) : findings_(findings) {}

    void add(const Draft& draft);
    // Chains of `track` can only be judged once all pools are there: servers that track in a
    // circle, nobody, or who has no health of its own are left out.
    std::vector<routing::Pool> finish();
    const std::map<std::string, std::string>& balance() const { return balance_; }

 private:
    std::optional<Duration> timeout(const Settings& settings, const std::string& name);
    void set_timeouts(const Draft& draft, routing::Pool& pool);
    void set_retries(const Settings& settings, routing::Pool& pool);
    void set_health_check(const Settings& settings, routing::Pool& pool);
    void servers(const ServerAt& at, const Draft& draft, routing::Pool& pool);
    void one_server(const ServerAt& at, const ServerWords& words, const std::string& name,
                    const Draft& draft, routing::Pool& pool);
    void health(const ServerAt& at, const ServerWords& words, routing::Pool& pool);
    void stickiness(const Draft& draft, const Balance& balance, routing::Pool& pool);
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
