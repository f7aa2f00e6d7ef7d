// Plays one size: starts a deployment, measures a window of it, then its events.
#pragma once

#include "wire_result.hpp"

namespace micaroad::scale::wire {

// Throws PointFailed (wire_deployment.hpp) or std::system_error where it can't be played to its
// end.
PointResult play_point(const WireOptions& options, const std::string& varied,
                       const WireWorld& sizes, const std::vector<WireEvent>& events);

}  // namespace micaroad::scale::wire
