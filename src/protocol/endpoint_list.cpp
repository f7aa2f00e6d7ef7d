#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "protocol/json_cursor.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::size_t kLongestId = 256, kMostDropped = 4'096;

// An id that can stand in a push.
bool usable(const std::string& id) {
    return !id.empty() && id.size() <= kLongestId && std::all_of(id.begin(), id.end(), [](char c) {
        return c > ' ' && c < 0x7F && c != ',' && c != ':';
    });
}

int place_of(std::vector<std::string>& names, const std::string& name) {
    const auto place = std::find(names.begin(), names.end(), name) - names.begin();
    if (place == std::ssize(names) && names.size() < 4096) {
        names.push_back(name);
    }
    return static_cast<int>(place);
}

std::optional<EndpointPhase> phase_of(const std::string& state) {
    if (state == "up") {
        return EndpointPhase::ready;
    }
    if (state == "draining") {
        return EndpointPhase::draining;
    }
    if (state == "removed") {
        return EndpointPhase::gone;
    }
    return std::nullopt;
}

struct Entry {
    std::string id, address, zone, kind, state;
    double cell = 0, weight = 1, started_ms = 0;
    bool odd = false;  // a value of a type that its key can't have
};

Entry read_entry(JsonCursor& json) {
    Entry entry;
    const auto text = [&](std::string& into) {
        json.peek() == '"' ? (void)(into = json.string()) : json.skip();
    };
    const auto figure = [&](double& into) {
        const char first = json.peek();
        if (first == '-' || (first >= '0' && first <= '9')) {
            return (void)(into = json.number());
        }
        entry.odd |= first != 'n';
        json.skip();
    };
    json.object([&](const std::string& key) {
        if (key == "id") {
            text(entry.id);
        } else if (key == "addr") {
            text(entry.address);
        } else if (key == "zone") {
            text(entry.zone);
        } else if (key == "kind") {
            text(entry.kind);
        } else if (key == "state") {
            text(entry.state);
        } else if (key == "cell") {
            figure(entry.cell);
        } else if (key == "weight") {
            figure(entry.weight);
        } else if (key == "started_ms") {
            figure(entry.started_ms);
        } else {
            json.skip();
        }
    });
    return entry;
}

const char* fault_of(const Entry& entry) {
    if (!usable(entry.id)) {
        return "an id that can't be used";
    }
    const auto phase = phase_of(entry.state);
    if (!phase) {
        return "an unknown state";
    }
    if (*phase != EndpointPhase::gone && entry.address.empty()) {
        return "no address";
    }
    if (*phase != EndpointPhase::gone && entry.zone.empty()) {
        return "no zone";
    }
    if (entry.odd) {
        return "a value of the wrong type";
    }
    if (entry.started_ms < 0 || entry.started_ms > 1e14) {
        return "a start that can't be";
    }
    if (std::abs(entry.cell) > 1e9 || entry.weight < 0) {
        return "a figure that can't be";
    }
    return nullptr;
}

// Sorted by server, each once; of an entry given twice the last counts.
void keep_last_of_each(std::vector<ListedEndpoint>& servers) {
    const auto by_id = [](const ListedEndpoint& one, const ListedEndpoint& other) {
        return one.server < other.server;
    };
    std::stable_sort(servers.begin(), servers.end(), by_id);
    const auto same = [](const ListedEndpoint& one, const ListedEndpoint& other) {
        return one.server == other.server;
    };
    const auto kept = std::unique(servers.rbegin(), servers.rend(), same);
    servers.erase(servers.begin(), kept.base());
}

// The entries have been taken out: what stands for one is `{}`.
void read_frame(std::string_view frame, EndpointListMessage& said) {
    bool full = false, has_version = false, has_servers = false;
    JsonCursor json(frame);
    json.object([&](const std::string& key) {
        if (key == "version") {
            const double version = json.number();
            if (version < 0 || version > 9e15) {
                throw JsonFault{};
            }
            said.version = static_cast<std::int64_t>(version), has_version = true;
        } else if (key == "full") {
            full = json.boolean();
        } else if (key == "servers") {
            has_servers = true;
            json.array([&json] { json.object([](const std::string&) { throw JsonFault{}; }); });
        } else {
            json.skip();
        }
    });
    json.end();
    if (!has_version || !has_servers) {
        throw JsonFault{};
    }
    said.list.form = full ? event::EndpointListUpdate::Form::complete
                          : event::EndpointListUpdate::Form::incremental;
}

std::string_view without_blanks_behind(std::string_view text) {
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

constexpr int kInList = 1, kInServers = 2;  // brackets that are open there

}  // namespace

// Whether the `[` that comes now, in the list's object, opens the array of its servers.
bool EndpointListParser::opens_servers() const {
    std::string_view before = without_blanks_behind(frame_);
    if (!before.ends_with(':')) {
        return false;
    }
    before = without_blanks_behind(before.substr(0, before.size() - 1));
    constexpr std::string_view kKey = "\"servers\"";
    if (!before.ends_with(kKey)) {
        return false;
    }
    before = without_blanks_behind(before.substr(0, before.size() - kKey.size()));
    return before.ends_with('{') || before.ends_with(',');
}

void EndpointListParser::track(char c) {
    if (in_string_) {
        if (c == '"' && !escaped_) {
            in_string_ = false;
        }
        escaped_ = c == '\\' && !escaped_;
        return;
    }
    if (c == '"') {
        in_string_ = true;
    }
    if (c == '{' || c == '[') {
        ++depth_;
    }
    if (c == '}' || c == ']') {
        --depth_;
    }
}

bool EndpointListParser::add(char c) {
    ++size_;
    if (c == '[' && depth_ == kInList && !in_string_) {
        in_servers_ = opens_servers();
    }
    const int before = depth_;
    track(c);
    if (in_servers_ && std::max(before, depth_) > kInServers) {
        entry_ += c;
        return depth_ > kInServers || take_entry();
    }
    frame_ += c;
    if (depth_ <= kInList) {
        in_servers_ = false;
    }
    return true;
}

bool EndpointListParser::take_entry() try {
    size_ += kLeastEntry - std::min(kLeastEntry, entry_.size());
    JsonCursor json(entry_);
    const Entry entry = read_entry(json);
    json.end();
    entry_.clear();
    frame_ += "{}";
    if (const char* fault = fault_of(entry)) {
        const ServerId dropped{entry.id.substr(0, kLongestId)};
        if (said_.dropped.size() < kMostDropped) {
            said_.dropped[dropped] = fault;
        }
        return true;
    }
    ListedEndpoint& server = said_.list.servers.emplace_back();
    server.server = {entry.id};
    server.zone = {place_of(names_.zones, entry.zone)};
    server.kind = {place_of(names_.kinds, entry.kind)};
    server.cell = {static_cast<int>(entry.cell)};
    server.phase = *phase_of(entry.state);
    server.size = entry.weight;
    if (entry.started_ms > 0) {
        server.last_start = TimePoint{Duration{std::llround(entry.started_ms * 10)}};
    }
    said_.addresses[server.server] = entry.address;
    return true;
} catch (const JsonFault&) {
    return false;
}

std::optional<EndpointListMessage> EndpointListParser::take_list() try {
    if (!entry_.empty()) {
        return std::nullopt;
    }
    read_frame(frame_, said_);
    keep_last_of_each(said_.list.servers);
    return std::move(said_);
} catch (const JsonFault&) {
    return std::nullopt;
}

void EndpointListParser::start_over() {
    frame_ = {}, entry_ = {}, said_ = {};
    size_ = 0, depth_ = 0;
    in_string_ = escaped_ = in_servers_ = false;
}

std::optional<EndpointListMessage> EndpointListReader::read(std::string_view json) {
    EndpointListParser feed(names_, EndpointListFraming::document,
                            std::numeric_limits<std::size_t>::max());
    std::optional<EndpointListMessage> said;
    int lists = 0;
    const auto take = [&](std::optional<EndpointListMessage> read) {
        if (!read) {
            return;
        }
        said = std::move(read), ++lists;
    };
    if (feed.feed(json, take) != EndpointListError::none ||
        feed.finish(take) != EndpointListError::none) {
        return std::nullopt;
    }
    return lists == 1 ? std::move(said) : std::nullopt;
}

}  // namespace micaroad::protocol
