/// Orders: everything a planner decides. A host translates them to its wire.
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

/// A proxy uses a table for some methods from now on.
struct BindProxy {
    TableId table;
    std::vector<MethodId> methods;
    ProxyId proxy;
};

/// Sets how many RPCs the proxies of a table admit, and when they retry.
struct SetAdmission {
    std::optional<TableId> table;   ///< absent: every joined proxy, whatever its table
    std::vector<MethodId> methods;  ///< empty: all
    double amount = 1;              ///< in the deployment's AdmissionKind
    RetryPolicy retry_policy = RetryPolicy::never;
};

/// Withdraws a server from every table at once, or reinstates it. Weights stay as they were
/// ordered.
struct SetWithdrawn {
    ServerId server;
    bool withdrawn = true;
};

/// Asks the proxies that get anything in this decision, or all, to acknowledge it.
struct SendNonce {
    Nonce nonce;
    bool to_all = false;
};

struct StartTimer {
    TimerId timer;
    Duration after{};
};

struct CheckHealth {
    ServerId server;
};

/// Asks for endpoint lists, or for no more of them.
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
