/// The orders that a planner issues. The host process translates them to its wire protocol.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad {

namespace order {

/// Sets the weight of one server in a table.
struct SetTableEntry {
    TableId table;
    ServerId server;
    double weight = 0;  ///< relative to the table's other weights; 0 removes the entry
};

struct ClearTable {
    TableId table;
};

/// Makes a proxy use a table for some methods from now on.
struct BindProxy {
    TableId table;
    std::vector<MethodId> methods;
    ProxyId proxy;
};

/// Sets how many RPCs the proxies of a table admit, and when they retry failed attempts.
struct SetAdmission {
    std::optional<TableId> table;   ///< absent: all joined proxies, whatever their tables
    std::vector<MethodId> methods;  ///< empty: all methods
    double amount = 1;              ///< in the unit of the deployment's AdmissionKind
    RetryPolicy retry_policy = RetryPolicy::never;
};

/// Withdraws a server from all tables at once, or reinstates it. The weights in the tables do not
/// change.
struct SetWithdrawn {
    ServerId server;
    bool withdrawn = true;
};

/// Asks the proxies that this decision sends any change to, or all joined proxies, for an
/// acknowledgement.
struct SendNonce {
    Nonce nonce;
    bool to_all = false;  ///< ask all joined proxies
};

struct StartTimer {
    TimerId timer;
    Duration after{};
};

struct CheckHealth {
    ServerId server;
};

/// Subscribes to endpoint lists, or ends the subscription.
struct Subscribe {
    bool on = true;
};

struct FetchList {};

struct SendPeerMessage {
    std::optional<PlannerId> to;  ///< absent: every peer
    std::string text;
};

struct LogLine {
    std::string text;
};

}  // namespace order

using Order =
    std::variant<order::SetTableEntry, order::ClearTable, order::BindProxy, order::SetAdmission,
                 order::SetWithdrawn, order::SendNonce, order::StartTimer, order::CheckHealth,
                 order::Subscribe, order::FetchList, order::SendPeerMessage, order::LogLine>;

}  // namespace micaroad
