/// \file
/// Translates the sections that listen (`frontend` and `listen`) to listeners with ordered routes.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "haproxy/acl.hpp"
#include "haproxy/request_rules.hpp"
#include "haproxy/section.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// Builds the listeners of one configuration. Not thread-safe; `findings` must outlive it.
class ListenerBuilder {
 public:
    /// Translates the denials of all backends in `drafts`. They become routes ahead of each route
    /// that leads to the pool of their backend.
    ListenerBuilder(const std::vector<Draft>& drafts, Findings& findings);

    /// Makes the listener of a section for which `draft.listens()` holds, and records the verdicts
    /// of its `bind`, rule and `use_backend` lines.
    [[nodiscard]] routing::Listener make_listener(const Draft& draft);

 private:
    void translate_bind(const Statement& statement, routing::Listener& listener);
    void translate_use_backend(const Statement& statement, Acls& acls, RouteSink& sink);
    void translate_default_pool(const Draft& draft, routing::Listener& listener, RouteNames& names);
    void add_pool_routes(const std::string& pool, const routing::Match& match,
                         const Statement& statement, RouteSink& sink);
    void report(const Statement& statement, Verdict verdict, const std::string& text) {
        findings_.add_verdict(statement.number, verdict, text);
    }

    Findings& findings_;
    std::map<std::string, std::vector<Denial>> denials_by_pool_;
    std::set<std::string> pools_;  // names of all pools
};

}  // namespace micaroad::haproxy
