/// Tracks the endpoints of a plan while it is served and gives the planner a new endpoint list
/// whenever the list changes. The list follows from the health checks by each pool's rule, drains,
/// and reloaded plans. This module does no I/O: its caller checks the servers and reports the
/// results.
///
/// It prevents RPCs from being sent to servers that are down, in maintenance or removed from the
/// file. Its risk is a common fault, such as a cut link, that makes all health checks of a pool
/// fail: the pool's backups are listed then, and without backups its RPCs are rejected until a
/// server is up.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/endpoint_registry.hpp"
#include "routing/health_tracker.hpp"

namespace micaroad::routing {

/// A health check that the caller has to make.
struct HealthCheck {
    std::string server;  ///< full name, "pool/server"
    std::string address;
    HealthRule rule;
};

/// A change for the log, such as "web/a is down: 3 consecutive health checks failed".
[[nodiscard]] std::string describe(const HealthChange& change);

/// Not thread-safe. Servers are identified by their full names.
class HealthCheckedEndpoints {
 public:
    HealthCheckedEndpoints(Plan plan, TimePoint now);

    /// Returns the health checks that are due. A check is due again one interval after its result;
    /// without a result, after the interval or the timeout, whichever is longer.
    [[nodiscard]] std::vector<HealthCheck> take_due(TimePoint now);
    /// The time of the next health check or end of a drain; absent if there is neither.
    [[nodiscard]] std::optional<TimePoint> next_due() const;

    /// Records the result of a health check. Returns the change that it causes, if any, with the
    /// server's full name.
    [[nodiscard]] std::optional<HealthChange> on_check_result(const std::string& server,
                                                              bool healthy, TimePoint now);

    /// Replaces the plan by one with the same pools, whose servers, weights and states may differ.
    /// Keeps the known state of servers that remain. Returns false and changes nothing if the pools
    /// differ, since the planner must be restarted for that.
    [[nodiscard]] bool replace(Plan plan, TimePoint now);

    /// Returns the endpoint list if it differs from that of the last call.
    [[nodiscard]] std::optional<event::EndpointListUpdate> take_changed_list(TimePoint now);

    [[nodiscard]] std::map<ServerId, std::string> addresses() const {
        return registry_->addresses();
    }
    [[nodiscard]] const Plan& plan() const { return *plan_; }

 private:
    void install(Plan plan, TimePoint now);
    [[nodiscard]] ServerState carried_over(const Pool& pool, const Server& server,
                                           TimePoint now) const;

    std::unique_ptr<Plan> plan_;  // registry_ refers to it
    std::unique_ptr<EndpointRegistry> registry_;
    View view_;
    std::map<std::string, HealthTracker> trackers_;  // by pool name
    std::optional<std::vector<ListedEndpoint>> last_list_;
};

}  // namespace micaroad::routing
