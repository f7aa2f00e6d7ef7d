/// Finds the first route that matches an RPC without evaluating every route.
///
/// Each route is indexed by its anchors: paths, path prefixes, hosts or host suffixes, one of which
/// the RPC must have for the route to match. Routes without anchors are evaluated for every RPC.
/// A look-up evaluates, in list order, the routes without anchors and those indexed under the RPC's
/// path and host. It evaluates each by match.hpp, so its result equals that of a linear scan.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "routing/match.hpp"
#include "routing/trie.hpp"

namespace micaroad::routing {

/// Immutable after construction; any thread may call it.
class RouteIndex {
 public:
    /// Keeps a reference to the routes, which must outlive the index and not change.
    explicit RouteIndex(const std::vector<Route>& routes);

    /// Returns the position of the first route that matches; absent if none does. `tried_count`, if
    /// given, is increased by the number of routes that were evaluated.
    [[nodiscard]] std::optional<std::size_t> find_first(const Rpc& rpc,
                                                        const UsableCount& usable_count,
                                                        std::size_t* tried_count = nullptr) const;

 private:
    const std::vector<Route>& routes_;
    Trie paths_;                // in lower case
    Trie hosts_;                // in lower case, reversed, so that a host suffix is a prefix
    Trie::Numbers unanchored_;  // routes without anchors
};

/// Returns the same as RouteIndex::find_first() by evaluating all routes in order, for comparison.
[[nodiscard]] std::optional<std::size_t> find_first_by_scan(const std::vector<Route>& routes,
                                                            const Rpc& rpc,
                                                            const UsableCount& usable_count);

}  // namespace micaroad::routing
