/// The key by which an RPC's stickiness goes.
#pragma once

#include <string>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// The part of an RPC that a pool's stickiness reads: two RPCs with the same key belong together.
/// Empty where the pool has no stickiness or the RPC lacks that part. Pure; any thread may call it.
[[nodiscard]] std::string sticky_key(const Stickiness& stickiness, const Rpc& rpc);

}  // namespace micaroad::routing
