/// Parses one entry of discovery's endpoint list (PROTOCOL.md, "Discovery") from a JSON object.
/// Uses no sockets, threads or clocks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "micaroad/event.hpp"

namespace micaroad::protocol {

/// Maximum length of an endpoint's id.
inline constexpr std::size_t kMaxEndpointIdBytes = 256;

/// Why an entry is rejected.
enum class EndpointRejection {
    invalid_id,  ///< empty, too long, or with characters that an update cannot contain
    unknown_state,
    no_address,
    no_zone,
    wrong_type,  ///< a value that is not of its key's type
    bad_start_time,
    bad_number,
};

/// The reason as text, for a log line.
[[nodiscard]] const char* describe(EndpointRejection rejection);

/// An entry as received. Absent values are empty or have their default.
struct EndpointEntry {
    std::string id;
    std::string address;
    std::string zone;
    std::string kind;
    std::string state;
    double cell = 0;
    double weight = 1;
    double started_ms = 0;                 ///< Unix time in milliseconds; 0 means long ago
    bool has_value_of_wrong_type = false;  ///< of a numeric key
};

/// Parses an entry. Ignores unknown keys. Absent if the text is not exactly one JSON object.
[[nodiscard]] std::optional<EndpointEntry> parse_endpoint_entry(std::string_view json);

/// Returns the phase of the entry's endpoint, or why the entry is rejected. An endpoint that is
/// gone needs neither address nor zone.
[[nodiscard]] tl::expected<EndpointPhase, EndpointRejection> phase_of(const EndpointEntry& entry);

}  // namespace micaroad::protocol
