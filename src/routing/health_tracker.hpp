/// Whether the servers of a pool are up, by the pool's health rule, out of the results of health
/// checks and of RPCs.
///
/// Guards against servers that run but don't serve, and, where the rule lets RPCs count, against
/// those that pass health checks and fail RPCs. The risk is health checks that fail for a reason of
/// their own, such as a link that is cut: hence the rule demands several failures in a row, and the
/// decision package leaves no proxy without a table entry while a server is listed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

/// So many health checks in a row had the same result.
struct ConsecutiveChecks {
    int count = 0;
    bool healthy = false;
};
/// So many RPCs in a row failed.
struct ConsecutiveErrors {
    int count = 0;
};
using HealthChangeReason = std::variant<ConsecutiveChecks, ConsecutiveErrors>;

/// For a person to read, such as "3 probes in a row were not".
[[nodiscard]] std::string describe(const HealthChangeReason& reason);

/// A server has come up or gone down.
struct HealthChange {
    std::string server;
    bool up = false;
    TimePoint at;
    HealthChangeReason reason;
};

/// The health of one pool's servers, by their names without the pool's. Servers whose health is not
/// checked, or is that of another server, count as up. It is given results with their time and has
/// no clock. For one thread at a time.
class HealthTracker {
 public:
    /// All servers count as up until they have shown otherwise. The first health checks are spread
    /// over the rule's interval.
    HealthTracker(const Pool& pool, TimePoint now);

    /// The servers whose health check is due, in the order of their names. Each is due again after
    /// its result, or when the time for its result is over.
    [[nodiscard]] std::vector<std::string> take_due(TimePoint now);
    /// When the next health check is due; absent if no server is checked.
    [[nodiscard]] std::optional<TimePoint> next_due() const;

    /// A health check has ended; gives the change that it causes, if any.
    [[nodiscard]] std::optional<HealthChange> on_check_result(const std::string& server,
                                                              bool healthy, TimePoint now);
    /// An RPC has ended at a server; gives the change that it causes, if any.
    [[nodiscard]] std::optional<HealthChange> on_rpc_result(const std::string& server,
                                                            bool succeeded, TimePoint now);

    [[nodiscard]] bool is_up(const std::string& server) const;
    /// Takes over that a server was down before this tracker was made.
    void set_down(const std::string& server);

 private:
    struct ServerHealth {
        bool up = true;
        int contrary_checks = 0;     // in a row, that speak against `up`
        int consecutive_errors = 0;  // RPCs in a row that failed
        TimePoint next_check_at;
    };

    [[nodiscard]] Duration check_interval(const ServerHealth& health) const;
    static HealthChange change(const std::string& server, ServerHealth& health, bool up,
                               TimePoint now, HealthChangeReason reason);

    const HealthRule rule_;
    std::map<std::string, ServerHealth> servers_;  // those that are checked
};

}  // namespace micaroad::routing
