/// Events: everything a planner is told. Reports are counted over a window that ends when they are
/// received.
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
    draining,  ///< it finishes what it has; nothing new may be sent after the drain grace
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
    std::optional<TimePoint> last_start;  ///< absent: so long ago that the server is warm
};

namespace event {

/// A list of endpoints, or a change of the list.
struct EndpointListUpdate {
    enum class Form {
        incremental,  ///< servers that are not named stay as they are
        complete,     ///< servers that are not named are no longer listed
        restored,     ///< complete, and known to be what another planner left
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
    double rpcs_per_second = 0;       ///< as the proxy estimates its traffic
    bool initial_table_only = false;  ///< it holds no table that a planner sent
};

struct ProxyLeft {
    ProxyId proxy;
};

/// A proxy has applied the message with this nonce and all before it.
struct Acknowledgement {
    ProxyId proxy;
    Nonce nonce;
};

/// What the joined proxies of one zone observed at one server.
struct EndpointLoadReport {
    ServerId server;
    ZoneId proxy_zone;
    double attempts = 0;
    double failures = 0;      ///< of the attempts: aborted, rejected or timed out
    Duration mean_latency{};  ///< of the successful attempts; zero if there were none
    Duration window{};        ///< the time in which they were counted
};

/// RPCs of a method that clients sent to a proxy.
struct DemandReport {
    ProxyId proxy;
    MethodId method;
    double requests = 0;
    double unanswered = 0;  ///< of the requests
    Duration window{};      ///< the time in which they were counted
};

/// As DemandReport, by slice.
struct SliceDemandReport {
    TableId slice;
    MethodId method;
    double requests = 0;
    double unanswered = 0;
    Duration window{};
};

/// A slice is this planner's to assign from now on, or no longer.
struct SliceAssigned {
    TableId slice;
    bool ours = false;
};

/// A server owns a slice already.
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
