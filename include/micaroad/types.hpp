/// Identifiers, time types and the settings of a deployment: the vocabulary that the planner shares
/// with whatever hosts it. Nothing here knows a protocol; adapters translate wire words to these
/// types and back.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace micaroad {

/// A value that only compares with identifiers of the same kind. `Tag` makes the kinds distinct
/// types.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    auto operator<=>(const Id&) const = default;
};

/// A process that executes RPCs, by the name that discovery gives it.
using ServerId = Id<struct ServerTag, std::string>;
/// A forwarding proxy, by its number in the deployment.
using ProxyId = Id<struct ProxyTag, int>;
/// A routing table that proxies share, or a slice where the deployment has slices.
using TableId = Id<struct TableTag, int>;
using MethodId = Id<struct MethodTag, int>;
using ZoneId = Id<struct ZoneTag, int>;
/// The kind of a server: which methods it may execute.
using KindId = Id<struct KindTag, int>;
using CellId = Id<struct CellTag, int>;
using PlannerId = Id<struct PlannerTag, int>;
using TimerId = Id<struct TimerTag, std::int64_t>;
/// Number of a message to proxies. A proxy returns it to acknowledge the message and all before it.
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
/// A time point whose epoch the host chooses; only differences have a meaning for the planner.
using TimePoint = PlannerClock::time_point;

/// When a proxy sends a failed attempt of an RPC to another server.
enum class RetryPolicy {
    never = 0,
    once_if_not_executed = 1,  ///< only with proof that the first server did not execute it
    once_after_failure = 2,
    twice_after_failure = 3,
};

/// What the amount in an admission order means to a proxy.
enum class AdmissionKind {
    none,      ///< proxies have no admission control
    fraction,  ///< the part of the RPCs that is admitted, 0 to 1
    rate,      ///< admitted RPCs per second at each proxy
};

/// What the deployment says of one RPC method.
struct Method {
    Duration soft_deadline{};        ///< a later answer is worth less
    double criticality = 1;          ///< priority weight: the least critical is shed first
    bool own_zone_only = false;      ///< proxies send it to servers of their own zone only
    std::vector<KindId> only_kinds;  ///< kinds of servers that execute it; empty: any
    std::vector<ZoneId> only_zones;  ///< zones of servers that execute it; empty: any
};

/// What a deployment tells a planner once, at its start. Only what the planner reads.
///
/// A "line" is the unit in which the platform counts the load of the control channel from a planner
/// to its proxies: one table entry, admission rate or withdrawal in a message to one proxy.
struct DeploymentSettings {
    std::vector<Method> methods;
    int zone_count = 1;
    int proxy_count = 1;  ///< over all planners
    int planner_count = 1;

    double channel_lines_per_second = 1;    ///< throughput of a healthy channel
    double overhead_lines_per_message = 0;  ///< what a message costs besides its lines
    double max_pending_lines = 0;           ///< lines that may wait in the channel
    int max_messages_per_proxy = 0;         ///< within `message_limit_window`; 0: no limit
    Duration message_limit_window{};
    Duration report_interval{1};   ///< time between two load reports; at least one unit
    Duration max_message_delay{};  ///< the longest time that a message travels

    Duration drain_grace{};  ///< time within which all traffic must have left a draining server
    Duration warm_up_duration{};  ///< age at which a restarted server counts as warm
    double cold_capacity_fraction =
        1;  ///< least fraction of its capacity that a server starts with
    double overload_factor =
        1;  ///< a cold server that gets more than this multiple of its capacity,
    Duration overload_window{};       ///< for so long, fails
    bool unlisted_may_serve = false;  ///< a server that a list merely omits may stay in tables

    AdmissionKind admission_kind = AdmissionKind::none;
    RetryPolicy default_retry_policy = RetryPolicy::never;  ///< what proxies do until they are told
    bool subscription_required = false;  ///< the planner has to ask for endpoint lists

    int slice_count = 0;        ///< slices of the key space; 0: the deployment has no slices
    bool single_owner = false;  ///< a slice may have one owner at a time
    Duration owner_lease{};  ///< time for which an owner may go on without hearing of its removal
    Duration write_lifetime{};  ///< time after which a write that was accepted can take no effect
};

}  // namespace micaroad
