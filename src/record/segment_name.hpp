/// The names of a recording's segment files: the sequence number of the first record in 16
/// hexadecimal digits, such as "0000000000000042.mrec". The names sort in the order of the records.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace micaroad::record {

[[nodiscard]] std::string segment_name(std::uint64_t first_sequence);

/// Returns the sequence number of the first record of the segment with this name; absent if `name`
/// is not the name of a segment.
[[nodiscard]] std::optional<std::uint64_t> parse_segment_name(std::string_view name);

}  // namespace micaroad::record
