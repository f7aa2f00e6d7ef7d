/// \file
/// Translates HAProxy's configuration to a plan, with exactly one verdict a line.
/// docs/haproxy-import.md lists the keywords.
///
///   Import import = translate(std::move(tree));
///   if (!import.faults.empty()) ...            // unusable: no plan
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// The result of an import. With faults the plan is empty.
struct Import {
    routing::Plan plan;
    std::vector<Finding> findings;
    std::vector<Fault> faults;
    /// The `balance` algorithm of each pool, by its name; how it is translated is in the findings.
    std::map<std::string, std::string> balance;
    /// How many lines have that verdict.
    [[nodiscard]] std::size_t count(Verdict verdict) const;
};

[[nodiscard]] Import translate(Tree tree);

}  // namespace micaroad::haproxy
