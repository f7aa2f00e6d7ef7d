/// Finds the first of many routes that matches an RPC without trying all of them.
///
/// Each route is filed under its anchors: paths, beginnings of paths, hosts or ends of hosts of
/// which an RPC must have one for the route to match. Routes without such a condition are tried for
/// every RPC. A look-up visits the routes that are filed under the RPC's path and host in their
/// order and asks match.hpp about each, so that the answer is that of the plain list.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "routing/match.hpp"
#include "routing/trie.hpp"

namespace micaroad::routing {

/// Pure after construction: any thread may call it.
class RouteIndex {
 public:
    /// Keeps a reference: the routes must outlive it and not change.
    explicit RouteIndex(const std::vector<Route>& routes);

    /// The position of the first route that matches; absent if none does. `tried_count`, if given,
    /// is increased by the number of routes that were tried.
    [[nodiscard]] std::optional<std::size_t> find_first(const Rpc& rpc,
                                                        const UsableCount& usable_count,
                                                        std::size_t* tried_count = nullptr) const;

 private:
    const std::vector<Route>& routes_;
    Trie paths_;             // in lower case
    Trie hosts_;             // in lower case, reversed: the end of a host is a prefix here
    Trie::Numbers unfiled_;  // routes without an anchor
};

/// The same by trying all routes in order, for comparison.
[[nodiscard]] std::optional<std::size_t> find_first_by_scan(const std::vector<Route>& routes,
                                                            const Rpc& rpc,
                                                            const UsableCount& usable_count);

}  // namespace micaroad::routing
