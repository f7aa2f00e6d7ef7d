#include "protocol/endpoint_entry.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "protocol/json_cursor.hpp"

namespace micaroad::protocol {
namespace {

constexpr double kMaxStartMs = 1e14;
constexpr double kMaxCell = 1e9;

// Discovery's keys, each with the member it is read into.
struct TextKey {
    std::string_view key;
    std::string EndpointEntry::* value;
};
constexpr std::array kTextKeys{
    TextKey{"id", &EndpointEntry::id},       TextKey{"addr", &EndpointEntry::address},
    TextKey{"zone", &EndpointEntry::zone},   TextKey{"kind", &EndpointEntry::kind},
    TextKey{"state", &EndpointEntry::state},
};
struct NumberKey {
    std::string_view key;
    double EndpointEntry::* value;
};
constexpr std::array kNumberKeys{
    NumberKey{"cell", &EndpointEntry::cell},
    NumberKey{"weight", &EndpointEntry::weight},
    NumberKey{"started_ms", &EndpointEntry::started_ms},
};

// Discovery's states, each with the phase it stands for.
struct State {
    std::string_view word;
    EndpointPhase phase;
};
constexpr std::array kStates{
    State{"up", EndpointPhase::ready},
    State{"draining", EndpointPhase::draining},
    State{"removed", EndpointPhase::gone},
};

// Updates separate ids by commas and colons.
bool is_valid_id(const std::string& id) {
    const auto is_valid_character = [](char character) {
        return character > ' ' && character < 0x7F && character != ',' && character != ':';
    };
    return !id.empty() && id.size() <= kMaxEndpointIdBytes &&
           std::all_of(id.begin(), id.end(), is_valid_character);
}

// A value that is not a string counts as absent.
void read_text(JsonCursor& json, std::string& value) {
    if (json.peek() == '"') {
        value = json.string();
    } else {
        json.skip();
    }
}

// A null counts as absent; any other value that is not a number sets `wrong_type`.
void read_number(JsonCursor& json, double& value, bool& wrong_type) {
    const char first = json.peek();
    if (first == '-' || (first >= '0' && first <= '9')) {
        value = json.number();
        return;
    }
    if (first != 'n') {
        wrong_type = true;
    }
    json.skip();
}

void read_member(JsonCursor& json, const std::string& key, EndpointEntry& entry) {
    for (const TextKey& known : kTextKeys) {
        if (known.key == key) {
            read_text(json, entry.*known.value);
            return;
        }
    }
    for (const NumberKey& known : kNumberKeys) {
        if (known.key == key) {
            read_number(json, entry.*known.value, entry.has_value_of_wrong_type);
            return;
        }
    }
    json.skip();
}

}  // namespace

const char* describe(EndpointRejection rejection) {
    switch (rejection) {
        case EndpointRejection::invalid_id:
            return "invalid id";
        case EndpointRejection::unknown_state:
            return "unknown state";
        case EndpointRejection::no_address:
            return "no address";
        case EndpointRejection::no_zone:
            return "no zone";
        case EndpointRejection::wrong_type:
            return "value of the wrong type";
        case EndpointRejection::bad_start_time:
            return "start time out of range";
        case EndpointRejection::bad_number:
            return "number out of range";
    }
    return "?";
}

std::optional<EndpointEntry> parse_endpoint_entry(std::string_view json) {
    EndpointEntry entry;
    JsonCursor cursor(json);
    cursor.object([&](const std::string& key) { read_member(cursor, key, entry); });
    if (!cursor.end()) {
        return std::nullopt;
    }
    return entry;
}

tl::expected<EndpointPhase, EndpointRejection> phase_of(const EndpointEntry& entry) {
    if (!is_valid_id(entry.id)) {
        return tl::unexpected(EndpointRejection::invalid_id);
    }
    const auto* const state =
        std::find_if(kStates.begin(), kStates.end(),
                     [&entry](const State& known) { return known.word == entry.state; });
    if (state == kStates.end()) {
        return tl::unexpected(EndpointRejection::unknown_state);
    }
    const bool gone = state->phase == EndpointPhase::gone;
    if (!gone && entry.address.empty()) {
        return tl::unexpected(EndpointRejection::no_address);
    }
    if (!gone && entry.zone.empty()) {
        return tl::unexpected(EndpointRejection::no_zone);
    }
    if (entry.has_value_of_wrong_type) {
        return tl::unexpected(EndpointRejection::wrong_type);
    }
    if (entry.started_ms < 0 || entry.started_ms > kMaxStartMs) {
        return tl::unexpected(EndpointRejection::bad_start_time);
    }
    if (std::abs(entry.cell) > kMaxCell || entry.weight < 0) {
        return tl::unexpected(EndpointRejection::bad_number);
    }
    return state->phase;
}

}  // namespace micaroad::protocol
