// What passes between the core and the drivers round it. Neither knows the other.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "micaroad/planner.hpp"
#include "protocol/endpoint_list.hpp"

namespace micaroad {

// A connection, in the order in which they were taken: of two that speak for one proxy the later
// one holds.
using StreamId = Id<struct StreamTag, std::uint64_t>;

// What a new reading of the start file says. The rest of it counts at the next start.
struct ReloadedConfiguration {
    std::string discovery;
    std::vector<std::string> restart_required_keys;  // keys that differ from the start's
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

struct StreamClosed {
    StreamId stream;
    std::string reason;
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

struct HealthCheckCompleted {
    event::HealthCheckResult result;
};

/// The start configuration was read again and is valid.
struct ConfigurationReloaded {
    ReloadedConfiguration configuration;
};

struct StopRequested {};

}  // namespace core_event

using CoreEvent =
    std::variant<core_event::StreamOpened, core_event::StreamAcknowledged, core_event::StreamClosed,
                 core_event::ReportReceived, core_event::EndpointListReceived,
                 core_event::WatchLost, core_event::HealthCheckCompleted,
                 core_event::ConfigurationReloaded, core_event::StopRequested>;

// Where the core's words go. No call waits for a peer.
class Transport {
 public:
    virtual ~Transport() = default;
    virtual void write(StreamId stream, std::string_view message) = 0;
    virtual void close(StreamId stream) = 0;
    virtual void probe(const ServerId& server, const std::string& address) = 0;
    virtual void fetch_list() = 0;
    virtual void follow(const std::string& discovery) = 0;  // from now on at this address
};

// Who is told all that the module hears and orders, in order, by the core's thread. No call waits.
class Observer {
 public:
    virtual ~Observer() = default;
    virtual void on_event(const Event& event) = 0;
    virtual void on_decision(TimePoint now, const std::vector<Order>& orders) = 0;
};

}  // namespace micaroad
