#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "protocol/json_cursor.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::size_t kMaxDropped = 4'096;
// Limit for zones and for kinds. All further names share the index after the last one.
constexpr std::size_t kMaxNames = 4'096;
// Integers up to this limit are exact as a double.
constexpr double kMaxVersion = 9e15;
constexpr double kDurationTicksPerMillisecond = 10;
static_assert(std::chrono::milliseconds{1} == Duration{10});

// Number of open brackets within the list's object and within the array of its entries.
constexpr int kListDepth = 1;
constexpr int kServersDepth = 2;

// Discovery's keys of a list; those of an entry are in endpoint_entry.cpp.
constexpr std::string_view kVersionKey = "version";
constexpr std::string_view kCompleteKey = "full";
constexpr std::string_view kQuotedServersKey = "\"servers\"";
constexpr std::string_view kServersKey = kQuotedServersKey.substr(1, kQuotedServersKey.size() - 2);

// Returns the index of `name` in `names`, to which it adds a new name.
int index_of(std::vector<std::string>& names, const std::string& name) {
    const auto index = std::find(names.begin(), names.end(), name) - names.begin();
    if (index == std::ssize(names) && names.size() < kMaxNames) {
        names.push_back(name);
    }
    return static_cast<int>(index);
}

// Sorts by endpoint and removes duplicates, of which it keeps the last.
void keep_last_entry_of_each(std::vector<ListedEndpoint>& endpoints) {
    const auto before = [](const ListedEndpoint& one, const ListedEndpoint& other) {
        return one.server < other.server;
    };
    const auto same = [](const ListedEndpoint& one, const ListedEndpoint& other) {
        return one.server == other.server;
    };
    std::stable_sort(endpoints.begin(), endpoints.end(), before);
    const auto kept = std::unique(endpoints.rbegin(), endpoints.rend(), same);
    endpoints.erase(endpoints.begin(), kept.base());
}

// The content of a list's object apart from its entries.
struct Envelope {
    std::int64_t version = 0;
    bool has_version = false;
    bool complete = false;
    bool has_servers = false;
};

void read_version(JsonCursor& json, Envelope& envelope) {
    const double version = json.number();
    if (version < 0 || version > kMaxVersion) {
        json.fail();
        return;
    }
    envelope.version = static_cast<std::int64_t>(version);
    envelope.has_version = true;
}

// Each entry must be `{}`, as the parser has replaced its text.
void read_servers(JsonCursor& json, Envelope& envelope) {
    envelope.has_servers = true;
    json.array([&json] { json.object([&json](const std::string&) { json.fail(); }); });
}

// Absent if `text` is not a list's object.
std::optional<Envelope> parse_envelope(std::string_view text) {
    Envelope envelope;
    JsonCursor json(text);
    json.object([&](const std::string& key) {
        if (key == kVersionKey) {
            read_version(json, envelope);
        } else if (key == kCompleteKey) {
            envelope.complete = json.boolean();
        } else if (key == kServersKey) {
            read_servers(json, envelope);
        } else {
            json.skip();
        }
    });
    if (!json.end() || !envelope.has_version || !envelope.has_servers) {
        return std::nullopt;
    }
    return envelope;
}

std::string_view without_trailing_blanks(std::string_view text) {
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

}  // namespace

bool EndpointListParser::is_blank() const {
    return entry_.empty() && envelope_.find_first_not_of(" \t\r") == std::string::npos;
}

// Whether a `[` at this point of the list's object opens the array of its entries.
bool EndpointListParser::opens_servers() const {
    std::string_view before = without_trailing_blanks(envelope_);
    if (!before.ends_with(':')) {
        return false;
    }
    before.remove_suffix(1);
    before = without_trailing_blanks(before);
    if (!before.ends_with(kQuotedServersKey)) {
        return false;
    }
    before.remove_suffix(kQuotedServersKey.size());
    // After any other character, the opening quote is an escaped quote within a longer key.
    before = without_trailing_blanks(before);
    return before.ends_with('{') || before.ends_with(',');
}

void EndpointListParser::track(char character) {
    switch (json_state_) {
        case JsonState::escape:
            json_state_ = JsonState::string;
            return;
        case JsonState::string:
            if (character == '"') {
                json_state_ = JsonState::outside;
            } else if (character == '\\') {
                json_state_ = JsonState::escape;
            }
            return;
        case JsonState::outside:
            break;
    }
    if (character == '"') {
        json_state_ = JsonState::string;
    } else if (character == '{' || character == '[') {
        ++depth_;
    } else if (character == '}' || character == ']') {
        --depth_;
    }
}

bool EndpointListParser::add(char character) {
    ++size_;
    if (character == '[' && depth_ == kListDepth && json_state_ == JsonState::outside) {
        in_servers_ = opens_servers();
    }
    const int depth_before = depth_;
    track(character);
    if (in_servers_ && std::max(depth_before, depth_) > kServersDepth) {
        entry_ += character;
        return depth_ > kServersDepth || take_entry();
    }
    envelope_ += character;
    if (depth_ <= kListDepth) {
        in_servers_ = false;
    }
    return true;
}

bool EndpointListParser::take_entry() {
    size_ += kMinEntryBytes - std::min(kMinEntryBytes, entry_.size());
    const std::optional<EndpointEntry> entry = parse_endpoint_entry(entry_);
    if (!entry) {
        return false;
    }
    entry_.clear();
    envelope_ += "{}";
    const tl::expected<EndpointPhase, EndpointRejection> phase = phase_of(*entry);
    if (phase) {
        add_endpoint(*entry, *phase);
    } else {
        drop_entry(*entry, phase.error());
    }
    return true;
}

void EndpointListParser::add_endpoint(const EndpointEntry& entry, EndpointPhase phase) {
    ListedEndpoint& endpoint = message_.list.servers.emplace_back();
    endpoint.server = {entry.id};
    endpoint.zone = {index_of(names_.zones, entry.zone)};
    endpoint.kind = {index_of(names_.kinds, entry.kind)};
    endpoint.cell = {static_cast<int>(entry.cell)};
    endpoint.phase = phase;
    endpoint.size = entry.weight;
    if (entry.started_ms > 0) {
        const double ticks = entry.started_ms * kDurationTicksPerMillisecond;
        endpoint.last_start = TimePoint{Duration{std::llround(ticks)}};
    }
    message_.addresses[endpoint.server] = entry.address;
}

void EndpointListParser::drop_entry(const EndpointEntry& entry, EndpointRejection rejection) {
    if (message_.dropped.size() < kMaxDropped) {
        message_.dropped[ServerId{entry.id.substr(0, kMaxEndpointIdBytes)}] = rejection;
    }
}

std::optional<EndpointListMessage> EndpointListParser::take_list() {
    if (!entry_.empty()) {
        return std::nullopt;
    }
    const std::optional<Envelope> envelope = parse_envelope(envelope_);
    if (!envelope) {
        return std::nullopt;
    }
    using Form = event::EndpointListUpdate::Form;
    message_.version = envelope->version;
    message_.list.form = envelope->complete ? Form::complete : Form::incremental;
    keep_last_entry_of_each(message_.list.servers);
    return std::move(message_);
}

void EndpointListParser::reset() {
    // Assigned instead of cleared, so that the memory of a large list is freed.
    envelope_ = {};
    entry_ = {};
    message_ = {};
    size_ = 0;
    depth_ = 0;
    json_state_ = JsonState::outside;
    in_servers_ = false;
}

std::optional<EndpointListMessage> EndpointListReader::read(std::string_view json) {
    EndpointListParser parser(names_, EndpointListFraming::document,
                              std::numeric_limits<std::size_t>::max());
    std::optional<EndpointListMessage> message;
    int lists = 0;
    const auto take = [&](std::optional<EndpointListMessage> parsed) {
        if (parsed) {
            message = std::move(parsed);
            ++lists;
        }
    };
    if (parser.feed(json, take) != EndpointListError::none ||
        parser.finish(take) != EndpointListError::none) {
        return std::nullopt;
    }
    return lists == 1 ? std::move(message) : std::nullopt;
}

}  // namespace micaroad::protocol
