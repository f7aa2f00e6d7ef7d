/// Converts the planner's events to protobuf messages of a recording and back, without loss:
/// doubles keep their bits, and durations and time points are the integer counts of `Duration` and
/// `TimePoint`.
///
/// proto/record.proto keeps the names that it was published with. This table maps them to the
/// planner's terms; order_conversion.hpp and settings_conversion.hpp have the tables of their
/// messages. A field that is not listed has the same name in both.
///
///     Event.Kind      planner's event     Event field        planner's field
///     LIST            EndpointListUpdate  server, form       servers, form
///     TIMER_DUE       TimerExpired        timer              timer
///     PROXY_JOINED    ProxyJoined         figure, flag       rpcs_per_second, initial_table_only
///     PROXY_LEFT      ProxyLeft           proxy              proxy
///     MARK_APPLIED    Acknowledgement     mark               nonce
///     OUTCOMES        EndpointLoadReport  id, zone, count,   server, proxy_zone, attempts,
///                                         bad, mean, over    failures, mean_latency, window
///     ARRIVALS        DemandReport        count, bad, over   requests, unanswered, window
///     SLICE_ARRIVALS  SliceDemandReport   table              slice; others as in ARRIVALS
///     SLICE_GIVEN     SliceAssigned       table, flag        slice, ours
///     SLICE_OWNER     SliceOwnerReported  table, id, figure  slice, server, weight
///     PROBED          HealthCheckResult   id, flag, mean     server, healthy, latency
///     PEER_SAID       PeerMessage         proxy, text        from, text
///
/// `Server` is a `ListedEndpoint`; its field `id` is `server`, and its other fields have the
/// planner's names. All functions are pure and may be called by any thread.
#pragma once

#include <optional>

#include "micaroad/event.hpp"
#include "proto/record.pb.h"

namespace micaroad::record {

[[nodiscard]] records::Event to_record(const Event& event);

/// Absent if this build does not know the event's kind, as a newer writer of the same schema may
/// add kinds.
[[nodiscard]] std::optional<Event> event_from_record(const records::Event& record);

}  // namespace micaroad::record
