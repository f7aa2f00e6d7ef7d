/// The clock that the daemon passes to its components.
#pragma once

#include "planner/inbox.hpp"

namespace micaroad {

/// Returns a monotonic clock that counts from the Unix epoch, as the times in endpoint lists do.
/// The system clock is read once, in this call; later adjustments of it have no effect. Any thread
/// may call the clock.
[[nodiscard]] Clock clock_from_now();

}  // namespace micaroad
