/// Replays a recording: gives its events to this build's planner, and compares the orders that it
/// decides with those that were recorded.
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

/// A header's schema is newer than this build reads.
struct UnsupportedSchema {
    std::uint32_t schema = 0;
};

/// An order of a turn is not the recorded one.
struct OrderMismatch {
    std::size_t position = 0;                ///< among the turn's orders, from 1
    std::optional<records::Order> recorded;  ///< absent: the recording has fewer orders
    std::optional<records::Order> replayed;  ///< absent: this build decides fewer orders
};

using ReplayFault = std::variant<UnsupportedSchema, OrderMismatch>;

/// For a person to read, such as "order 4: recorded SET_LINE table 1 s-1 0.25, now none".
[[nodiscard]] std::string describe(const ReplayFault& fault);

struct ReplayResult {
    ReadSummary summary;               ///< of the whole recording
    std::uint64_t replayed_turns = 0;  ///< up to the fault, with its turn
    std::uint64_t skipped_turns = 0;   ///< behind a gap, until the next header
    TimePoint last_turn_at;            ///< of the last turn that was replayed
    std::optional<ReplayFault> fault;  ///< the first; nothing is replayed behind it

    [[nodiscard]] bool matches() const { return !fault.has_value(); }
};

[[nodiscard]] ReplayResult replay(Directory& directory);

}  // namespace micaroad::record
