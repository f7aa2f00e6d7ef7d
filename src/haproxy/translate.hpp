// HAProxy's configuration to a plan, with exactly one verdict a line. docs/haproxy-import.md has
// the keywords.
//
//   Import import = translate(std::move(tree));
//   if (!import.troubles.empty()) ...            // unusable: no plan
#pragma once

#include <string>
#include <vector>

#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

struct Import {
    routing::Plan plan;
    std::vector<Finding> findings;
    std::vector<Trouble> troubles;
    // How the original would have spread each pool's RPCs, by name; what comes of it is in the
    // findings.
    std::map<std::string, std::string> balance;
    std::size_t count(Verdict verdict) const;
};

Import translate(Tree tree);

}  // namespace micaroad::haproxy
