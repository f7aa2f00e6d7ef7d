/// Names of a recording's segment files: the sequence number of the first record, in 16 hexadecimal
/// digits, as "0000000000000042.mrec". So the order of names is that of the records.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace micaroad::record {

[[nodiscard]] std::string segment_name(std::uint64_t first_sequence);

/// The first sequence number of a segment with this name; absent if it is not a segment's name.
[[nodiscard]] std::optional<std::uint64_t> parse_segment_name(std::string_view name);

}  // namespace micaroad::record
