/// The events that a planner receives. The counts of a report cover a time window that ends when
/// the planner receives the report.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad {

/// State of a server as discovery lists it.
enum class EndpointPhase {
    ready,
    draining,  ///< finishes its RPCs in progress; must get no new ones after the drain grace
    gone,
};

/// One entry of an endpoint list.
struct ListedEndpoint {
    ServerId server;
    ZoneId zone;
    KindId kind;
    CellId cell;
    EndpointPhase phase = EndpointPhase::ready;
    double size = 1;                      ///< capacity relative to other servers
    std::optional<TimePoint> last_start;  ///< absent if it started so long ago that it is warm
};

namespace event {

/// A list of endpoints from discovery, or a change to the last list.
struct EndpointListUpdate {
    enum class Form {
        incremental,  ///< servers that it does not name keep their state
        complete,     ///< servers that it does not name are no longer listed
        restored,     ///< complete, and known to be the list that another planner left
        unavailable,  ///< the list could not be fetched
    } form = Form::incremental;
    std::vector<ListedEndpoint> servers;
};

/// A timer that order::StartTimer started has expired.
struct TimerExpired {
    TimerId timer;
};

/// A proxy has connected and takes its tables from this planner.
struct ProxyJoined {
    ProxyId proxy;
    ZoneId zone;
    double rpcs_per_second = 0;       ///< traffic that the proxy expects, by its own estimate
    bool initial_table_only = false;  ///< holds no table from a planner
};

struct ProxyLeft {
    ProxyId proxy;
};

/// A proxy has applied the message with this nonce and all before it.
struct Acknowledgement {
    ProxyId proxy;
    Nonce nonce;
};

/// Attempts that the joined proxies of one zone sent to one server, and their outcomes.
struct EndpointLoadReport {
    ServerId server;
    ZoneId proxy_zone;
    double attempts = 0;
    double failures = 0;      ///< attempts that were aborted, rejected or timed out
    Duration mean_latency{};  ///< of the successful attempts; zero if there were none
    Duration window{};        ///< time over which the attempts were counted
};

/// RPCs of a method that clients sent to a proxy.
struct DemandReport {
    ProxyId proxy;
    MethodId method;
    double requests = 0;
    double unanswered = 0;  ///< requests that got no answer
    Duration window{};      ///< time over which the requests were counted
};

/// RPCs of a method for the keys of one slice. Fields as in DemandReport.
struct SliceDemandReport {
    TableId slice;
    MethodId method;
    double requests = 0;
    double unanswered = 0;
    Duration window{};
};

/// Tells the planner that it assigns the owner of a slice from now on, or no longer does.
struct SliceAssigned {
    TableId slice;
    bool ours = false;
};

/// Reports that a server already owns a slice.
struct SliceOwnerReported {
    TableId slice;
    ServerId server;
    double weight = 0;
};

/// The answer to order::CheckHealth.
struct HealthCheckResult {
    ServerId server;
    bool healthy = false;
    Duration latency{};
};

struct PeerMessage {
    PlannerId from;
    std::string text;
};

}  // namespace event

using Event = std::variant<event::EndpointListUpdate, event::TimerExpired, event::ProxyJoined,
                           event::ProxyLeft, event::Acknowledgement, event::EndpointLoadReport,
                           event::DemandReport, event::SliceDemandReport, event::SliceAssigned,
                           event::SliceOwnerReported, event::HealthCheckResult, event::PeerMessage>;

}  // namespace micaroad
