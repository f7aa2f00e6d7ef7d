// Sections that listen to listeners with ordered routes.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "haproxy/acl.hpp"
#include "haproxy/section.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

class RouteMaker {
 public:
    // What backends turn away is asked for wherever a route leads to them.
    RouteMaker(const std::vector<Draft>& drafts, Findings& findings);

    routing::Listener listener(const Draft& draft);

 private:
    struct Denial {
        routing::Match when;
        int status;
    };
    // What a rule comes to: nothing, a way to turn away or redirect, or leave for what follows.
    struct Rule {
        int phase = 0;
        const Statement* statement;
    };
    std::vector<Denial> denials_of(const Draft& draft, Acls& acls,
                                   std::vector<routing::Route>* routes);
    void to_pool(const std::string& pool, const routing::Match& when, const Statement& statement,
                 std::vector<routing::Route>& routes);
    void bind(const Statement& statement, routing::Listener& listener);
    std::string name_of(const std::string& what, const Statement& statement);
    void say(const Statement& statement, Verdict verdict, const std::string& says) {
        findings_.say(statement.number, verdict, says);
    }

    Findings& findings_;
    std::map<std::string, std::vector<Denial>> denials_;  // by pool
    std::set<std::string> pools_;                         // that exist
    std::map<std::string, int> names_;                    // of the listener at hand
};

}  // namespace micaroad::haproxy
