/// The stickiness key of an RPC.
#pragma once

#include <string>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// Returns the part of an RPC that the pool's stickiness uses as key; RPCs with the same key are
/// kept on the same server. Empty if the pool has no stickiness or the RPC lacks that part. Pure;
/// any thread may call it.
[[nodiscard]] std::string sticky_key(const Stickiness& stickiness, const Rpc& rpc);

}  // namespace micaroad::routing
