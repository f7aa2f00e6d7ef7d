/// The earlier names of HealthCheckedEndpoints, for src/net/health_prober until it takes the new
/// ones; then this file goes.
#pragma once

#include <optional>
#include <string>

#include "routing/health_checked_endpoints.hpp"

namespace micaroad::routing {

class Keeper : public HealthCheckedEndpoints {
 public:
    using Probe = HealthCheck;
    using HealthCheckedEndpoints::HealthCheckedEndpoints;

    [[nodiscard]] std::string probed(const std::string& server, bool healthy, TimePoint now) {
        const std::optional<HealthChange> change = on_check_result(server, healthy, now);
        return change ? describe(*change) : "";
    }
    [[nodiscard]] std::optional<event::EndpointListUpdate> changed(TimePoint now) {
        return take_changed_list(now);
    }
};

}  // namespace micaroad::routing
