/// Former names of background/job_scheduler.hpp, for src/record until it uses the new ones.
#pragma once

#include "background/job_scheduler.hpp"

namespace micaroad::background {

using Spent = Usage;

}  // namespace micaroad::background
