/// One entry of discovery's endpoint list (PROTOCOL.md, "Discovery"): a JSON object in, values out.
/// No sockets, threads or clocks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "micaroad/event.hpp"

namespace micaroad::protocol {

/// Bytes of an endpoint's name, at most.
inline constexpr std::size_t kMaxEndpointIdBytes = 256;

/// Why an entry can't be used.
enum class EndpointRejection {
    unusable_id,  ///< empty, too long, or with characters that an update can't carry
    unknown_state,
    no_address,
    no_zone,
    wrong_type,  ///< a value of a type that its key can't have
    bad_start_time,
    bad_number,
};

/// The reason in words, for a log line.
[[nodiscard]] const char* describe(EndpointRejection rejection);

/// An entry as it stands; absent values are empty or at their default.
struct EndpointEntry {
    std::string id;
    std::string address;
    std::string zone;
    std::string kind;
    std::string state;
    double cell = 0;
    double weight = 1;
    double started_ms = 0;                 ///< Unix time in milliseconds; 0: long ago
    bool has_value_of_wrong_type = false;  ///< where a number belongs
};

/// Parses an entry. Keys that it does not have are passed over. Absent if the text is not one JSON
/// object.
[[nodiscard]] std::optional<EndpointEntry> parse_endpoint_entry(std::string_view json);

/// The phase of the entry's endpoint, or why the entry can't be used. What is gone needs neither
/// address nor zone.
[[nodiscard]] tl::expected<EndpointPhase, EndpointRejection> phase_of(const EndpointEntry& entry);

}  // namespace micaroad::protocol
