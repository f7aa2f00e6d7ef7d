/// What a plan's pools are to the planner: each pool is a method of its own that servers of one
/// kind execute, and each server of the tier in use is an endpoint of the list. The planner decides
/// who gets how much; this module only decides who may get anything.
#pragma once

#include <map>
#include <string>

#include "micaroad/planner.hpp"
#include "routing/server_selector.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::routing {

/// Pure after construction: any thread may call it.
class EndpointRegistry {
 public:
    /// Keeps a reference to the plan, which must outlive it and not change.
    explicit EndpointRegistry(const Plan& plan);

    /// The planner's settings: a method for each pool, whose time for an answer is the soft
    /// deadline; channel, drain grace and reports as the plan's service has them; the longest slow
    /// start. What a plan does not contain is taken from `base`.
    [[nodiscard]] DeploymentSettings settings(DeploymentSettings base) const;

    /// The names of methods and kinds, which are those of the pools, and of the one zone, "here".
    [[nodiscard]] SymbolTable names() const;

    /// The complete endpoint list. Servers that are usable or full are ready, with their weight as
    /// size; those that take only sticky RPCs are draining; others are absent. A server with a slow
    /// start has the time at which it came up.
    [[nodiscard]] event::EndpointListUpdate list(const View& view) const;

    [[nodiscard]] std::map<ServerId, std::string> addresses() const;

 private:
    const Plan& plan_;
    ServerSelector selector_;
};

}  // namespace micaroad::routing
