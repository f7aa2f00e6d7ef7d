/// Functions on the methods of a deployment.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "decision/numeric.hpp"
#include "decision/queue_model.hpp"
#include "micaroad/event.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// The sum over `methods` of `values`, which has an element for each method of the deployment.
[[nodiscard]] inline double sum_over_methods(const RealVector& values,
                                             const std::vector<MethodId>& methods) {
    double sum = 0;
    for (const MethodId method : methods) {
        sum += values[method.value];
    }
    return sum;
}

/// Whether RPCs of `method` may be sent to `endpoint`. `home_zone`: the zone of the proxies, if
/// they send the method only within their own zone.
[[nodiscard]] inline bool may_serve(const ListedEndpoint& endpoint, const Method& method,
                                    std::optional<ZoneId> home_zone) {
    const auto allows = [](const auto& allowed, const auto& id) {
        return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
    };
    return allows(method.only_kinds, endpoint.kind) && allows(method.only_zones, endpoint.zone) &&
           (!home_zone || *home_zone == endpoint.zone);
}

/// The shortest soft deadline of all methods, in seconds.
[[nodiscard]] inline double shortest_soft_deadline(const DeploymentSettings& settings) {
    Duration shortest = Duration::max();
    for (const Method& method : settings.methods) {
        shortest = std::min(shortest, method.soft_deadline);
    }
    return seconds(shortest);
}

}  // namespace micaroad::decision
