/// Translates a plan's pools for the planner: each pool becomes a method that servers of one kind
/// execute, and each server of the tier in use an endpoint of the list. This module decides which
/// servers may get RPCs; the planner decides how many each gets.
#pragma once

#include <map>
#include <string>

#include "micaroad/planner.hpp"
#include "routing/server_selector.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::routing {

/// Immutable after construction; any thread may call it.
class EndpointRegistry {
 public:
    /// Keeps a reference to the plan, which must outlive it and not change.
    explicit EndpointRegistry(const Plan& plan);

    /// The planner's settings. Each pool is a method whose soft deadline is the pool's response
    /// timeout. The channel, the drain grace and the report interval are those of the plan's
    /// service, and the warm-up time is the longest slow start of any server or that of `base`,
    /// whichever is longer. All else is taken from `base`.
    [[nodiscard]] DeploymentSettings settings(DeploymentSettings base) const;

    /// The names of methods and kinds, both of which are the pools' names, and of the only zone,
    /// "here".
    [[nodiscard]] SymbolTable names() const;

    /// The complete endpoint list. Usable and full servers are listed as ready, with their weight
    /// as size, and servers that take only sticky RPCs as draining; all others are absent. A server
    /// with a slow start is listed with the time at which it came up.
    [[nodiscard]] event::EndpointListUpdate list(const View& view) const;

    [[nodiscard]] std::map<ServerId, std::string> addresses() const;

 private:
    const Plan& plan_;
    ServerSelector selector_;
};

}  // namespace micaroad::routing
