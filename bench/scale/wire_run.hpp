// The socket part of the scale run: measures real planners beside hollow ones on loopback, for
// several sizes and events.
#pragma once

#include "wire_options.hpp"

namespace micaroad::scale {

// Measures all sizes one after the other, prints its progress to standard error, and writes one
// JSON object. Returns 0, or kExitCheckFailed if a check failed or a point could not be completed.
// A size that needs more memory or open files than available is skipped and reported as left out.
// Throws BadWireOptions before anything is started, and std::system_error if the results can't be
// written.
int run_wire(const WireOptions& options);

}  // namespace micaroad::scale
