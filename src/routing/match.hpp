/// Evaluates a route's conditions for an RPC. The index (route_index.hpp) only selects the routes
/// to evaluate. All functions are pure and may be called by any thread.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// Returns the number of servers of a pool that can be sent new RPCs now; 0 for an unknown pool.
using UsableCount = std::function<int(const std::string& pool)>;

/// Whether a text matches any of the match's values.
[[nodiscard]] bool matches(const TextMatch& match, std::string_view text);
/// Whether an RPC matches. Without `usable_count`, every pool counts as having no usable server.
[[nodiscard]] bool matches(const Match& match, const Rpc& rpc, const UsableCount& usable_count);

/// A host in the form that routes compare: lower case, without port, brackets or trailing dot.
[[nodiscard]] std::string normalized_host(std::string_view host);
/// Converts ASCII letters to lower case and keeps all other bytes.
[[nodiscard]] std::string to_lower(std::string_view text);

}  // namespace micaroad::routing
