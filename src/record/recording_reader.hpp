/// Reads the records of a recording's segments in order, skipping damaged and missing ones.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "proto/record.pb.h"
#include "record/directory.hpp"

namespace micaroad::record {

/// A range of a segment that could not be read.
struct RecordingFault {
    std::string segment;
    std::string description;   ///< human-readable
    std::uint64_t offset = 0;  ///< in the segment; 0 for a record, whose offset is not known
    std::uint64_t bytes = 0;
};

/// The contents of a recording, in numbers, and its faults.
struct ReadSummary {
    std::uint64_t records = 0;
    std::uint64_t turns = 0;
    std::uint64_t events = 0;
    std::uint64_t orders = 0;
    std::uint64_t bytes = 0;          ///< of all segments
    std::uint64_t headers = 0;        ///< one for each incarnation of the planner
    std::uint64_t missing_turns = 0;  ///< in gaps
    std::vector<RecordingFault> faults;
};

/// Calls `on_record` for each record, in the order of sequence numbers. A duplicate record is
/// passed only once. Missing sequence numbers between two records of one incarnation are passed as
/// a `Hole` record.
ReadSummary read_recording(Directory& directory,
                           const std::function<void(const records::Record&)>& on_record);

}  // namespace micaroad::record
