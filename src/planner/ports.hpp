/// The interfaces between the core and its drivers (the network, discovery, health checks, the
/// recorder): the events that drivers enqueue, and the interfaces that the core calls. Core and
/// drivers depend on this file and not on each other.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "micaroad/planner.hpp"
#include "protocol/endpoint_list.hpp"

namespace micaroad {

/// Identifies a connection. Numbers increase in the order of acceptance: of two streams of one
/// proxy, the one with the larger number is current.
using StreamId = Id<struct StreamTag, std::uint64_t>;

/// What a reload of the start file changes at once. All other keys take effect at the next start.
struct ReloadedConfiguration {
    std::string discovery;                           ///< address and port of discovery
    std::vector<std::string> restart_required_keys;  ///< keys changed since the start
};

/// The events that the core handles, in the order in which the drivers enqueue them.
namespace core_event {

/// A proxy has joined on a stream.
struct StreamOpened {
    StreamId stream;
    event::ProxyJoined joined;
};

/// A proxy has acknowledged an update.
struct StreamAcknowledged {
    StreamId stream;
    event::Acknowledgement acknowledgement;
};

/// A stream of a joined proxy has ended. The event may come after the proxy's next stream was
/// opened.
struct StreamClosed {
    StreamId stream;
    std::string reason;  ///< for the log
};

/// A load report or a demand report, from a proxy's stream or a collector.
struct ReportReceived {
    std::variant<event::EndpointLoadReport, event::DemandReport> report;
};

/// A complete endpoint list or a change to it, from discovery or another source.
struct EndpointListReceived {
    protocol::EndpointListMessage message;
};

/// The watch connection to discovery is lost; the endpoint list stays as it is.
struct WatchLost {};

/// A health check that Transport::check_health() started has ended, with or without an answer.
struct HealthCheckCompleted {
    event::HealthCheckResult result;
};

/// The start file was read again and is valid.
struct ConfigurationReloaded {
    ReloadedConfiguration configuration;
};

/// The core has to stop after the current call of process().
struct StopRequested {};

}  // namespace core_event

using CoreEvent =
    std::variant<core_event::StreamOpened, core_event::StreamAcknowledged, core_event::StreamClosed,
                 core_event::ReportReceived, core_event::EndpointListReceived,
                 core_event::WatchLost, core_event::HealthCheckCompleted,
                 core_event::ConfigurationReloaded, core_event::StopRequested>;

/// The interface through which the core sends. The core's thread calls it from Core::process(). No
/// call blocks or waits for a peer, and none reports a failure: the stream of an unreachable peer
/// ends, which is reported by a core event.
class Transport {
 public:
    virtual ~Transport() = default;
    /// Queues a complete encoded message on the stream. Ignored if the stream has ended.
    virtual void write(StreamId stream, std::string_view message) = 0;
    /// Ends the stream. Ignored if it has already ended.
    virtual void close(StreamId stream) = 0;
    /// Starts a health check of the server at `address`. The result arrives as
    /// HealthCheckCompleted.
    virtual void check_health(const ServerId& server, const std::string& address) = 0;
    /// Requests the complete list from discovery. It arrives as EndpointListReceived.
    virtual void fetch_list() = 0;
    /// Watches discovery at another address from now on.
    virtual void follow(const std::string& discovery) = 0;
};

/// Observes all events that the planner handles and all orders that it decides, in order. The
/// core's thread calls it; no call may block.
class Observer {
 public:
    virtual ~Observer() = default;
    /// Called before the planner handles the event.
    virtual void on_event(const Event& event) = 0;
    /// Called after each decision, before its orders are sent.
    virtual void on_decision(TimePoint now, const std::vector<Order>& orders) = 0;
};

}  // namespace micaroad
