// The clock of a program that serves.
#pragma once

#include "planner/inbox.hpp"

namespace micaroad {

// Instants count from the Unix epoch, as list entries do, but go on evenly when the system's clock
// is set: the system's clock is read once, now.
Clock clock_from_now();

}  // namespace micaroad
