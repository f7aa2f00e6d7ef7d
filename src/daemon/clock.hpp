/// The clock of a program that serves.
#pragma once

#include "planner/inbox.hpp"

namespace micaroad {

/// A clock that counts from the Unix epoch, as endpoint lists do, and never goes back: the system's
/// clock is read once, now, and setting it later changes nothing. Any thread may call the clock.
[[nodiscard]] Clock clock_from_now();

}  // namespace micaroad
