/// Replays a recording: passes its events to the planner of this build, and compares the resulting
/// orders with the recorded ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "micaroad/types.hpp"
#include "proto/record.pb.h"
#include "record/directory.hpp"
#include "record/recording_reader.hpp"

namespace micaroad::record {

/// The schema in a header is newer than the newest that this build reads.
struct UnsupportedSchema {
    std::uint32_t schema = 0;
};

/// An order of a turn differs from the recorded one.
struct OrderMismatch {
    std::size_t position = 0;                ///< in the turn's orders, counted from 1
    std::optional<records::Order> recorded;  ///< absent: the recording has fewer orders
    std::optional<records::Order> replayed;  ///< absent: this build decides fewer orders
};

using ReplayFault = std::variant<UnsupportedSchema, OrderMismatch>;

/// Human-readable text, such as "order 4: recorded SET_LINE table 1 s-1 0.25, now none".
[[nodiscard]] std::string describe(const ReplayFault& fault);

struct ReplayResult {
    ReadSummary summary;               ///< of the whole recording
    std::uint64_t replayed_turns = 0;  ///< including the turn with the fault
    std::uint64_t skipped_turns = 0;   ///< between a gap and the next header
    TimePoint last_turn_at;            ///< time of the last replayed turn
    std::optional<ReplayFault> fault;  ///< the first one; the replay stops there

    [[nodiscard]] bool matches() const { return !fault.has_value(); }
};

[[nodiscard]] ReplayResult replay(Directory& directory);

}  // namespace micaroad::record
