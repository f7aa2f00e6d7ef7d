/// The words of the planner's line protocol (PROTOCOL.md, "At the planner's address" and "Orders on
/// a stream"), each named by the term that the code uses. Only this file translates them.
#pragma once

#include <string_view>

namespace micaroad::protocol::wire {

// Kinds of messages: the first word of a line.
inline constexpr std::string_view kLivenessQuery = "probe";
inline constexpr std::string_view kCollectorIdentified = "agent";
inline constexpr std::string_view kProxyJoined = "hello";
inline constexpr std::string_view kAcknowledgement = "ack";
inline constexpr std::string_view kEndpointLoadReport = "outcomes";
inline constexpr std::string_view kDemandReport = "demand";
inline constexpr std::string_view kUpdate = "push";

// Answers.
inline constexpr std::string_view kAlive = "alive\r\n";
inline constexpr std::string_view kError = "error\r\n";

// Words of messages to the planner.
inline constexpr std::string_view kZone = "az";
inline constexpr std::string_view kProxy = "sidecar";
inline constexpr std::string_view kEndpoint = "host";
inline constexpr std::string_view kMethod = "kind";
inline constexpr std::string_view kCount = "n";  // attempts, or requests
inline constexpr std::string_view kFailures = "bad";
inline constexpr std::string_view kMeanLatency = "avg";
inline constexpr std::string_view kWindow = "window";
inline constexpr std::string_view kRpcsPerSecond = "share";
inline constexpr std::string_view kInitialTableOnly = "standing";
inline constexpr std::string_view kAcknowledgedNonce = "version";
inline constexpr std::string_view kDelay = "lag_ms";

// Words of updates to a proxy.
inline constexpr std::string_view kMethods = "routes";
inline constexpr std::string_view kFullTable = "full";
inline constexpr std::string_view kTableEntries = "endpoints";
inline constexpr std::string_view kAdmittedFraction = "admit";
inline constexpr std::string_view kRetryPolicy = "policy";
inline constexpr std::string_view kWithdrawn = "eject";
inline constexpr std::string_view kReinstated = "restore";
inline constexpr std::string_view kNonce = "nonce_out";
inline constexpr std::string_view kContinued = "continued";

}  // namespace micaroad::protocol::wire
