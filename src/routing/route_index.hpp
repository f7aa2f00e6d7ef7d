// The first route of many that fits an RPC. Each route is filed under one condition that it can't
// fit without, its anchor: a whole path, the beginning of a path, a whole host or the end of a
// host; what has none is tried always. Look-up visits the routes filed under this RPC's path and
// host in order, and asks match.hpp about each, so that the answer is that of the plain list.
#pragma once

#include <optional>
#include <vector>

#include "routing/match.hpp"
#include "routing/trie.hpp"

namespace micaroad::routing {

class RouteIndex {
 public:
    // Keeps a reference: the routes must outlive it and not change.
    explicit RouteIndex(const std::vector<Route>& routes);

    // The number of the first route that fits; absent: none does. `asked`, where given, counts the
    // routes looked at.
    std::optional<std::size_t> first(const Rpc& rpc, const UsableCount& usable,
                                     std::size_t* asked = nullptr) const;

 private:
    const std::vector<Route>& routes_;
    Trie paths_, hosts_;  // in lower case; hosts from their end
    Trie::Numbers always_;
};

// The plain list, to compare with.
std::optional<std::size_t> first_by_list(const std::vector<Route>& routes, const Rpc& rpc,
                                         const UsableCount& usable);

}  // namespace micaroad::routing
