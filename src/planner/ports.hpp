/// The interfaces between the core and its drivers (the network, discovery, health checks, the
/// recorder): the events that drivers enqueue, and what the core calls. Neither depends on the
/// other.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "micaroad/planner.hpp"
#include "protocol/endpoint_list.hpp"

namespace micaroad {

/// A connection, numbered in the order of acceptance. Of two streams of one proxy the one with the
/// larger number is current.
using StreamId = Id<struct StreamTag, std::uint64_t>;

/// What a reload of the start file brings in. All its other keys take effect at the next start.
struct ReloadedConfiguration {
    std::string discovery;                           ///< address and port of discovery
    std::vector<std::string> restart_required_keys;  ///< keys whose values differ from the start's
};

/// Everything that reaches the core, in the order in which the drivers enqueue it.
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

/// A stream of a joined proxy has ended. It may come after the proxy's next stream was opened.
struct StreamClosed {
    StreamId stream;
    std::string reason;  ///< for the log
};

/// A load report or a demand report, from a proxy's stream or a collector.
struct ReportReceived {
    std::variant<event::EndpointLoadReport, event::DemandReport> report;
};

/// A list of endpoints or a change of it, from discovery or any other source.
struct EndpointListReceived {
    protocol::EndpointListMessage message;
};

/// Discovery's watch is lost; the list stays as it is.
struct WatchLost {};

/// A health check that Transport::check_health() started has ended, with or without an answer.
struct HealthCheckCompleted {
    event::HealthCheckResult result;
};

/// The start configuration was read again and is valid.
struct ConfigurationReloaded {
    ReloadedConfiguration configuration;
};

/// The core is to stop after this call of process().
struct StopRequested {};

}  // namespace core_event

using CoreEvent =
    std::variant<core_event::StreamOpened, core_event::StreamAcknowledged, core_event::StreamClosed,
                 core_event::ReportReceived, core_event::EndpointListReceived,
                 core_event::WatchLost, core_event::HealthCheckCompleted,
                 core_event::ConfigurationReloaded, core_event::StopRequested>;

/// What the core sends goes through this interface. The core's thread calls it, from
/// Core::process(). No call blocks or waits for a peer; none reports a failure: a peer that can't
/// be reached ends its stream, which comes back as a core event.
class Transport {
 public:
    virtual ~Transport() = default;
    /// Queues a complete message, in the protocol's form, on the stream. Ignored if the stream has
    /// ended.
    virtual void write(StreamId stream, std::string_view message) = 0;
    /// Ends the stream. Ignored if it has ended.
    virtual void close(StreamId stream) = 0;
    /// Starts a health check of the server at `address`. Its result comes as HealthCheckCompleted.
    virtual void check_health(const ServerId& server, const std::string& address) = 0;
    /// Asks discovery for the complete list, which comes as EndpointListReceived.
    virtual void fetch_list() = 0;
    /// Follows discovery at another address from now on.
    virtual void follow(const std::string& discovery) = 0;
};

/// Gets everything the planner handles and decides, in that order. The core's thread calls it; no
/// call may block.
class Observer {
 public:
    virtual ~Observer() = default;
    /// Before the planner handles the event.
    virtual void on_event(const Event& event) = 0;
    /// After a decision, before its orders are sent.
    virtual void on_decision(TimePoint now, const std::vector<Order>& orders) = 0;
};

}  // namespace micaroad
