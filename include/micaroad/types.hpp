/// Identifiers, time types and deployment settings: the types that the planner shares with its host
/// process. They are independent of any protocol; protocol adapters translate between them and the
/// words on the wire.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace micaroad {

/// A strongly typed identifier: it compares only with identifiers of the same type. `Tag` makes the
/// types distinct.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    auto operator<=>(const Id&) const = default;
};

/// A process that executes RPCs, identified by its name in discovery.
using ServerId = Id<struct ServerTag, std::string>;
/// A forwarding proxy, identified by its number in the deployment.
using ProxyId = Id<struct ProxyTag, int>;
/// A routing table that several proxies use, or a slice in a deployment with slices.
using TableId = Id<struct TableTag, int>;
using MethodId = Id<struct MethodTag, int>;
using ZoneId = Id<struct ZoneTag, int>;
/// The kind of a server: which methods it may execute.
using KindId = Id<struct KindTag, int>;
using CellId = Id<struct CellTag, int>;
using PlannerId = Id<struct PlannerTag, int>;
using TimerId = Id<struct TimerTag, std::int64_t>;
/// Identifies a message to proxies. A proxy returns it to acknowledge this message and all earlier
/// ones.
using Nonce = Id<struct NonceTag, int>;

/// A duration in whole tenths of a millisecond.
using Duration = std::chrono::duration<std::int64_t, std::ratio<1, 10'000>>;

/// The clock of `TimePoint`. It has no `now()`: the host passes the current time to every call.
struct PlannerClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<PlannerClock, Duration>;
    static constexpr bool is_steady = true;
};
/// The host chooses the epoch; the planner uses only differences between time points.
using TimePoint = PlannerClock::time_point;

/// When a proxy sends a failed attempt of an RPC to another server.
enum class RetryPolicy {
    never = 0,
    once_if_not_executed = 1,  ///< only if the first server certainly did not execute it
    once_after_failure = 2,
    twice_after_failure = 3,
};

/// The unit of the amount in an admission order.
enum class AdmissionKind {
    none,      ///< proxies have no admission control
    fraction,  ///< fraction of the RPCs that is admitted, 0 to 1
    rate,      ///< admitted RPCs per second at each proxy
};

/// The settings of one RPC method.
struct Method {
    Duration soft_deadline{};        ///< an answer after this time is worth less
    double criticality = 1;          ///< priority: methods with the lowest value are shed first
    bool own_zone_only = false;      ///< proxies send it only to servers of their own zone
    std::vector<KindId> only_kinds;  ///< kinds of servers that may execute it; empty: any
    std::vector<ZoneId> only_zones;  ///< zones of servers that may execute it; empty: any
};

/// The deployment settings that a planner gets at its start. Only settings that the planner reads
/// are included.
///
/// A "line" is the unit of load on the control channel from a planner to its proxies: one table
/// entry, admission rate or withdrawal in a message to one proxy.
struct DeploymentSettings {
    std::vector<Method> methods;
    int zone_count = 1;
    int proxy_count = 1;  ///< in the whole deployment, over all planners
    int planner_count = 1;

    double channel_lines_per_second = 1;    ///< throughput of a healthy channel
    double overhead_lines_per_message = 0;  ///< load of a message besides its lines
    double max_pending_lines = 0;           ///< most lines that may wait in the channel
    int max_messages_per_proxy = 0;  ///< most messages within `message_limit_window`; 0: no limit
    Duration message_limit_window{};
    Duration report_interval{1};   ///< time between two load reports; at least one unit of Duration
    Duration max_message_delay{};  ///< longest transmission time of a message

    Duration drain_grace{};  ///< time within which all traffic must have left a draining server
    Duration warm_up_duration{};  ///< age at which a restarted server counts as warm
    /// Fraction of its warm capacity that a server has at least when it starts.
    double cold_capacity_fraction = 1;
    /// A cold server fails if it gets more than this multiple of its capacity for
    /// `overload_window`.
    double overload_factor = 1;
    Duration overload_window{};
    bool unlisted_may_serve = false;  ///< a server that a complete list omits may stay in tables

    AdmissionKind admission_kind = AdmissionKind::none;
    RetryPolicy default_retry_policy = RetryPolicy::never;  ///< until an order sets another
    bool subscription_required = false;  ///< the planner must subscribe to endpoint lists

    int slice_count = 0;        ///< slices of the key space; 0: the deployment has no slices
    bool single_owner = false;  ///< a slice has at most one owner at a time
    Duration owner_lease{};  ///< time for which an owner may serve without learning of its removal
    Duration write_lifetime{};  ///< time after which an accepted write can no longer take effect
};

}  // namespace micaroad
