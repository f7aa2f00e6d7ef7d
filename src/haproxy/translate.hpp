/// \file
/// Translates an HAProxy configuration to a plan, with exactly one verdict for each line.
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

/// The result of an import. If there are faults, the plan is empty.
struct Import {
    routing::Plan plan;
    std::vector<Finding> findings;
    std::vector<Fault> faults;
    /// The `balance` algorithm of each pool, by pool name. The findings say how it was translated.
    std::map<std::string, std::string> balance;
    /// Returns the number of lines with this verdict.
    [[nodiscard]] std::size_t count(Verdict verdict) const;
};

/// Translates all sections of a tree.
[[nodiscard]] Import translate(Tree tree);

}  // namespace micaroad::haproxy
