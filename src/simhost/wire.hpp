/// The simulator's wire: one JSON object a line in each direction, for many planners. This module
/// alone knows its words; it translates them to the planner's types and back, and decides nothing.
///
/// A line in is a batch, {"t_us": microseconds, "inbox": [message...]}; a line out its reply,
/// {"do": [action...]}. Messages and actions are arrays of a word, the planner's name, and values
/// in order. A value that is null, or past the end, is its type's default. Durations are in
/// microseconds.
///
///     message            type                         values
///     launch             Launch                       seed, settings
///     kill               Kill
///     directory_update   event::EndpointListUpdate    form, version, servers
///     deadline_hit       event::TimerExpired          timer
///     stream_up          event::ProxyJoined           zone, RPCs a second, proxy, initial table
///     only dropped_off        event::ProxyLeft             proxy in_force event::Acknowledgement
///     proxy, nonce roundup            event::EndpointLoadReport    failures, attempts, mean
///     latency, proxies'
///                                                     zone, server, window
///     intake             event::DemandReport          window, requests, method, unanswered, proxy
///     range_load         event::SliceDemandReport     slice, method, requests, unanswered, window
///     leased             event::SliceAssigned         slice, ours
///     current_owner      event::SliceOwnerReported    slice, server, weight
///     health_result      event::HealthCheckResult     server, "GOOD" or other, latency
///     peer_data          event::PeerMessage           planner, text
///
/// Forms: "update" is incremental, "replace" complete, "restored" restored, any other unavailable.
/// A server is [name, zone, kind, cell, phase, size, last start or 0]; the phase "Ready" is ready,
/// "Terminating" draining, any other gone.
///
///     action             type                         values
///     set_line           order::SetTableEntry         table, server, weight
///     blank              order::ClearTable            table
///     pin                order::BindProxy             table, methods, proxy
///     ration             order::SetAdmission          table or 65535, methods, amount, retry
///     policy suspend            order::SetWithdrawn          server, withdrawn seal
///     order::SendNonce             nonce, to all timer              order::StartTimer after, timer
///     ask_load           order::CheckHealth           server
///     listen             order::Subscribe             on
///     refresh            order::FetchList
///     publish            order::SendPeerMessage       planner or -1, text
///     journal_line       order::LogLine               text
///     fatal              (none)                       why the planner failed
///
/// Methods are a set of bits, the lowest for method 0.
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

/// Why a line can't be read, or a reply not be written.
struct WireError {
    std::string message;
};

/// Starts a planner, in place of the one with its name.
struct Launch {
    std::uint64_t seed = 0;
    /// The error says why no planner can have these settings.
    tl::expected<DeploymentSettings, std::string> settings;
};

/// Ends a planner; all that it knew is lost.
struct Kill {};

using Command = std::variant<Launch, Kill, Event>;

struct Message {
    std::string planner;
    Command command;
};

/// What planners are sent at one time.
struct Batch {
    TimePoint now;
    std::vector<Message> messages;
};

[[nodiscard]] tl::expected<Batch, WireError> parse_batch(const std::string& line);

[[nodiscard]] nlohmann::json format_order(const std::string& planner, const Order& order);
[[nodiscard]] nlohmann::json format_failure(const std::string& planner, const std::string& reason);

/// `actions`: an array of what format_order() and format_failure() gave. An error if a text in it
/// is not UTF-8.
[[nodiscard]] tl::expected<std::string, WireError> format_reply(nlohmann::json actions);

}  // namespace micaroad::simhost
