/// Converts the planner's orders to protobuf messages of a recording, without loss. There is no
/// conversion back to the planner's types, as a replay compares the messages.
///
/// proto/record.proto keeps the names that it was published with. This table maps them to the
/// planner's terms:
///
///     Order.Kind      planner's order      Order field              planner's field
///     SET_LINE        SetTableEntry        table, id, figure        table, server, weight
///     CLEAR_TABLE     ClearTable           table                    table
///     BIND            BindProxy            table, method, proxy     table, methods, proxy
///     SET_LEVEL       SetAdmission         figure, further_tries    amount, retry_policy
///     WITHDRAW        SetWithdrawn         id, flag                 server, withdrawn
///     MARK            SendNonce            mark, flag               nonce, to_all
///     START_TIMER     StartTimer           timer, after             timer, after
///     PROBE           CheckHealth          id                       server
///     SUBSCRIBE       Subscribe            flag                     on
///     FETCH_LIST      FetchList
///     TELL_PEER       SendPeerMessage      planner, text            to, text
///     LOG_LINE        LogLine              text                     text
///
/// All functions are pure and may be called by any thread.
#pragma once

#include <string>

#include "micaroad/order.hpp"
#include "proto/record.pb.h"

namespace micaroad::record {

[[nodiscard]] records::Order to_record(const Order& order);

/// Human-readable text of an order with the protobuf names, such as "SET_LINE table 1 s-1 0.25".
/// Lists of methods, texts and durations are omitted.
[[nodiscard]] std::string describe(const records::Order& order);

}  // namespace micaroad::record
