/// The protocol between the simulator and its planners: one JSON object per line in each direction,
/// for many planners. Only this module knows the words of the protocol; it translates them to and
/// from the planner's types and makes no decisions.
///
/// An input line is a batch, {"t_us": microseconds, "inbox": [message...]}; an output line is its
/// reply, {"do": [action...]}. Messages and actions are arrays of a word, the planner's name, and
/// values in a fixed order. A value that is null or missing at the end has its type's default.
/// Durations are in microseconds.
///
///     message            type                         values
///     launch             Launch                       seed, settings
///     kill               Kill
///     directory_update   event::EndpointListUpdate    form, version, servers
///     deadline_hit       event::TimerExpired          timer
///     stream_up          event::ProxyJoined           zone, rate, proxy, initial table only
///     dropped_off        event::ProxyLeft             proxy
///     in_force           event::Acknowledgement       proxy, nonce
///     roundup            event::EndpointLoadReport    failures, attempts, mean latency, zone,
///                                                     server, window
///     intake             event::DemandReport          window, requests, method, unanswered, proxy
///     range_load         event::SliceDemandReport     slice, method, requests, unanswered, window
///     leased             event::SliceAssigned         slice, ours
///     current_owner      event::SliceOwnerReported    slice, server, weight
///     health_result      event::HealthCheckResult     server, "GOOD" or other, latency
///     peer_data          event::PeerMessage           planner, text
///
/// The rate of a proxy is in RPCs per second; the zone of a load report is that of its proxies.
/// The form "update" is incremental, "replace" complete, "restored" restored, any other
/// unavailable. A server is [name, zone, kind, cell, phase, size, last start or 0]; the phase
/// "Ready" is ready, "Terminating" draining, any other gone.
///
///     action             type                         values
///     set_line           order::SetTableEntry         table, server, weight
///     blank              order::ClearTable            table
///     pin                order::BindProxy             table, methods, proxy
///     ration             order::SetAdmission          table, methods, amount, retry policy
///     suspend            order::SetWithdrawn          server, withdrawn
///     seal               order::SendNonce             nonce, to all
///     timer              order::StartTimer            after, timer
///     ask_load           order::CheckHealth           server
///     listen             order::Subscribe             on
///     refresh            order::FetchList
///     publish            order::SendPeerMessage       planner, text
///     journal_line       order::LogLine               text
///     fatal              (none)                       why the planner failed
///
/// Table 65535 of `ration` stands for all proxies, planner -1 of `publish` for all peers.
/// Methods are a bit set; the lowest bit is method 0.
///
/// All functions are pure and may be called by any thread.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "micaroad/event.hpp"
#include "micaroad/order.hpp"
#include "micaroad/types.hpp"

namespace micaroad::simhost {

/// Why a line cannot be parsed or a reply cannot be written.
struct WireError {
    std::string message;
};

/// Starts a planner, replacing any planner of the same name.
struct Launch {
    std::uint64_t seed = 0;
    /// The settings, or why they are invalid.
    tl::expected<DeploymentSettings, std::string> settings;
};

/// Ends a planner. Its state is lost.
struct Kill {};

using Command = std::variant<Launch, Kill, Event>;

struct Message {
    std::string planner;
    Command command;
};

/// The messages sent to planners at one point in time.
struct Batch {
    TimePoint now;
    std::vector<Message> messages;
};

[[nodiscard]] tl::expected<Batch, WireError> parse_batch(const std::string& line);

[[nodiscard]] nlohmann::json format_order(const std::string& planner, const Order& order);
[[nodiscard]] nlohmann::json format_failure(const std::string& planner, const std::string& reason);

/// Formats the reply with `actions`, an array of results of format_order() and format_failure().
/// Returns an error if a text in it is not UTF-8.
[[nodiscard]] tl::expected<std::string, WireError> format_reply(nlohmann::json actions);

}  // namespace micaroad::simhost
