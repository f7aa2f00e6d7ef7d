// Measures one size: starts a deployment, measures a time window, then runs the events.
#pragma once

#include "wire_result.hpp"

namespace micaroad::scale::wire {

// Throws PointFailed (wire_deployment.hpp) or std::system_error if the point can't be completed.
PointResult run_point(const WireOptions& options, const std::string& varied, const WireWorld& sizes,
                      const std::vector<WireEvent>& events);

}  // namespace micaroad::scale::wire
