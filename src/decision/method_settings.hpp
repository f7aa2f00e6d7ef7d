/// Queries on the methods of a deployment.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "decision/numeric.hpp"
#include "decision/queue_model.hpp"
#include "micaroad/event.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// The sum of `figures`, which has an element for each method, over some of the methods.
[[nodiscard]] inline double sum_over_methods(const RealVector& figures,
                                             const std::vector<MethodId>& methods) {
    double sum = 0;
    for (const MethodId method : methods) {
        sum += figures[method.value];
    }
    return sum;
}

/// Whether RPCs of `method` may go to `endpoint`. `home_zone`: the zone of the proxies, if they
/// send the method within their own zone only.
[[nodiscard]] inline bool may_serve(const ListedEndpoint& endpoint, const Method& method,
                                    std::optional<ZoneId> home_zone) {
    const auto allows = [](const auto& allowed, const auto& id) {
        return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
    };
    return allows(method.only_kinds, endpoint.kind) && allows(method.only_zones, endpoint.zone) &&
           (!home_zone || *home_zone == endpoint.zone);
}

/// Seconds.
[[nodiscard]] inline double shortest_soft_deadline(const DeploymentSettings& settings) {
    Duration shortest = Duration::max();
    for (const Method& method : settings.methods) {
        shortest = std::min(shortest, method.soft_deadline);
    }
    return seconds(shortest);
}

}  // namespace micaroad::decision
