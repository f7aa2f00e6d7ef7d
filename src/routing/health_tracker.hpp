/// Decides by a pool's health rule which of its servers are up, from the results of health checks
/// and of RPCs.
///
/// It detects servers that run but don't serve and, if the rule counts failed RPCs, servers that
/// pass health checks but fail RPCs. Its risk is health checks that fail although the server works,
/// such as over a cut link. Therefore the rule requires several consecutive failures, and the
/// decision package leaves no proxy without a table entry while a server is listed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

/// Several consecutive health checks had the same result.
struct ConsecutiveChecks {
    int count = 0;
    bool healthy = false;
};
/// Several consecutive RPCs failed.
struct ConsecutiveErrors {
    int count = 0;
};
using HealthChangeReason = std::variant<ConsecutiveChecks, ConsecutiveErrors>;

/// A text for the log, such as "3 consecutive health checks failed".
[[nodiscard]] std::string describe(const HealthChangeReason& reason);

/// A server came up or went down.
struct HealthChange {
    std::string server;
    bool up = false;
    TimePoint at;
    HealthChangeReason reason;
};

/// The health of one pool's servers, which are identified by name without the pool. Servers that
/// are not health-checked or take their health from another server count as up here. The caller
/// passes the time; this class reads no clock. Not thread-safe.
class HealthTracker {
 public:
    /// All servers start as up. The first health checks are spread over the rule's interval.
    HealthTracker(const Pool& pool, TimePoint now);

    /// Returns the servers whose health check is due, ordered by name. Each is due again one
    /// interval after its result; without a result, after the interval or the timeout, whichever is
    /// longer.
    [[nodiscard]] std::vector<std::string> take_due(TimePoint now);
    /// The time of the next health check; absent if no server is checked.
    [[nodiscard]] std::optional<TimePoint> next_due() const;

    /// Records the result of a health check and returns the change that it causes, if any.
    [[nodiscard]] std::optional<HealthChange> on_check_result(const std::string& server,
                                                              bool healthy, TimePoint now);
    /// Records the result of an RPC at a server and returns the change that it causes, if any.
    [[nodiscard]] std::optional<HealthChange> on_rpc_result(const std::string& server,
                                                            bool succeeded, TimePoint now);

    [[nodiscard]] bool is_up(const std::string& server) const;
    /// Marks a server as down, for a state known from before this tracker was created.
    void set_down(const std::string& server);

 private:
    struct ServerHealth {
        bool up = true;
        int contradicting_checks = 0;  // consecutive checks that contradict `up`
        int consecutive_errors = 0;    // consecutive failed RPCs
        TimePoint next_check_at;
    };

    [[nodiscard]] Duration check_interval(const ServerHealth& health) const;
    static HealthChange change(const std::string& server, ServerHealth& health, bool up,
                               TimePoint now, HealthChangeReason reason);

    const HealthRule rule_;
    std::map<std::string, ServerHealth> servers_;  // the health-checked ones, by name
};

}  // namespace micaroad::routing
