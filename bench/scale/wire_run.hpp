// The socket part of the scale run: real planners beside hollow ones on loopback, by sizes and
// events.
#pragma once

#include "wire_options.hpp"

namespace micaroad::scale {

// Plays all sizes one after the other, says on standard error how far it is, and writes one JSON
// object. Returns 0, or kExitCheckFailed if a check failed or a point could not be played to its
// end. A size for which the memory or the open files don't suffice is left out, and said. Throws
// BadWireOptions before anything is started, and std::system_error where the results can't be
// written.
int run_wire(const WireOptions& options);

}  // namespace micaroad::scale
