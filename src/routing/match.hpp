/// Whether an RPC matches a condition of a route: the plain answer, which the index
/// (route_index.hpp) only narrows down. All functions are pure and may be called by any thread.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// How many servers of a pool can be sent new RPCs now; 0 for a pool that does not exist.
using UsableCount = std::function<int(const std::string& pool)>;

/// Whether a text matches any of the values.
[[nodiscard]] bool matches(const TextMatch& match, std::string_view text);
/// Whether an RPC matches. Without `usable_count`, pools count as without usable servers.
[[nodiscard]] bool matches(const Match& match, const Rpc& rpc, const UsableCount& usable_count);

/// A host as routes compare it: in lower case, without port, brackets or a trailing dot.
[[nodiscard]] std::string normalized_host(std::string_view host);
/// Folds the letters of ASCII alone.
[[nodiscard]] std::string to_lower(std::string_view text);

}  // namespace micaroad::routing
