// A recording's segments in order, and what a build of the module makes of what was heard.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "micaroad/types.hpp"
#include "proto/record.pb.h"
#include "record/block.hpp"
#include "record/disk.hpp"

namespace micaroad::record {

struct Trouble {
    std::string segment, what;
    std::uint64_t at = 0, bytes = 0;
};

struct Read {
    std::uint64_t records = 0, turns = 0, events = 0, orders = 0, bytes = 0, heads = 0,
                  missing = 0;  // missing: turns in holes
    std::vector<Trouble> troubles;
};

// Calls taken() for each record, in the order of their sequences. Records that stand twice count
// once; sequences that are missing between two records of one life come as a Hole.
Read read_all(Disk& disk, const std::function<void(const records::Record&)>& taken);

struct Verdict {
    Read read;
    std::uint64_t replayed = 0, skipped = 0;  // turns; skipped: behind a hole, until the next head
    bool same = true;
    // The first decision that differs.
    TimePoint at{};
    std::string why;
};

Verdict replay(Disk& disk);

}  // namespace micaroad::record
