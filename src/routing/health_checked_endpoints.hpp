/// The endpoints of a plan while it is served: health checks by each pool's rule, drains and new
/// plans, and out of these the endpoint list for the planner whenever it changes. Free of I/O: a
/// driver checks the servers and reports the results.
///
/// Guards against sending to servers that are down, in maintenance or gone from the file. The risk
/// is that all health checks of a pool fail by one fault, such as a link that is cut: then its
/// backups are listed, and without any its RPCs are rejected until a server is up.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/endpoint_registry.hpp"
#include "routing/health_tracker.hpp"

namespace micaroad::routing {

/// A health check that is to be made.
struct HealthCheck {
    std::string server;  ///< its full name, "pool/server"
    std::string address;
    HealthRule rule;
};

/// A change for the log, such as "web/a is down: 3 probes in a row were not".
[[nodiscard]] std::string describe(const HealthChange& change);

/// For one thread at a time. Servers go by their full names.
class HealthCheckedEndpoints {
 public:
    HealthCheckedEndpoints(Plan plan, TimePoint now);

    /// The health checks that are due. Each is due again after its result, or when the time for its
    /// result is over.
    [[nodiscard]] std::vector<HealthCheck> take_due(TimePoint now);
    /// When a health check is due or a drain ends; absent if neither will happen.
    [[nodiscard]] std::optional<TimePoint> next_due() const;

    /// A health check has ended; gives the change that it causes, with the server's full name.
    [[nodiscard]] std::optional<HealthChange> on_check_result(const std::string& server,
                                                              bool healthy, TimePoint now);

    /// Takes the same pools with other servers, weights or states, and keeps what is known of
    /// servers that stay. False: the pools differ, for which the planner has to start anew, and
    /// nothing is changed.
    [[nodiscard]] bool replace(Plan plan, TimePoint now);

    /// The endpoint list, if it differs from that of the last call.
    [[nodiscard]] std::optional<event::EndpointListUpdate> take_changed_list(TimePoint now);

    [[nodiscard]] std::map<ServerId, std::string> addresses() const {
        return registry_->addresses();
    }
    [[nodiscard]] const Plan& plan() const { return *plan_; }

 private:
    void install(Plan plan, TimePoint now);
    [[nodiscard]] ServerState carried_over(const Pool& pool, const Server& server,
                                           TimePoint now) const;

    std::unique_ptr<Plan> plan_;  // the registry refers to it
    std::unique_ptr<EndpointRegistry> registry_;
    View view_;
    std::map<std::string, HealthTracker> trackers_;  // by pool
    std::optional<std::vector<ListedEndpoint>> last_list_;
};

}  // namespace micaroad::routing
