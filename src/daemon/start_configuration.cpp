#include "daemon/start_configuration.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/json_cursor.hpp"
#include "protocol/parse_integer.hpp"

namespace micaroad {
namespace {

using nlohmann::json;

const json& member(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        throw ConfigurationError(std::string("the start file lacks '") + key + "'");
    }
    return *found;
}

// The variable where it is set, else the file's key.
std::string text_from(const Environment& environment, const char* variable, const json& file,
                      const char* key) {
    if (const char* value = environment(variable); value && *value) {
        return value;
    }
    const json& found = member(file, key);
    if (!found.is_string()) {
        throw ConfigurationError(std::string("'") + key + "' is no text");
    }
    return found.get<std::string>();
}

std::uint64_t seed_from(const json& file) {
    const json& seed = member(file, "seed");
    if (seed.is_number_unsigned()) {
        return seed.get<std::uint64_t>();
    }
    const std::string text = seed.is_string() ? seed.get<std::string>() : "";
    std::uint64_t value = 0;
    if (!protocol::parse_integer(text, value, 16)) {
        throw ConfigurationError("'seed' is no hexadecimal number");
    }
    return value;
}

// A report is at most as long as a hundred and twenty usual ones (a break may lie within), and a
// try ends with its RPC's deadline, where the settings tell one.
protocol::Bounds bounds_of(const json& profile, const DeploymentSettings& settings) {
    protocol::Bounds bounds;
    bounds.proxies = settings.proxy_count;
    bounds.longest_window = std::max(120 * settings.report_interval, Duration{10'000});
    Duration deadline{};
    for (const json& method : profile.value("classes", json::array())) {
        deadline =
            std::max(deadline, duration_of_micros(method.value("deadline_us", std::int64_t{0})));
    }
    if (deadline > Duration{}) {
        bounds.longest_mean = 2 * deadline;
    }
    return bounds;
}

std::size_t limit_from(const json& file, const char* key) {
    const json& limit = member(member(file, "limits"), key);
    if (!limit.is_number() || !(limit.get<double>() >= 0 && limit.get<double>() < 1e9)) {
        throw ConfigurationError(std::string("'limits.") + key + "' can't be used");
    }
    return limit.get<std::size_t>();
}

// What only a start can bring in. Neither the seed nor the known list is meant to stay as it was.
std::map<std::string, std::string> rest_of(const json& file) {
    std::map<std::string, std::string> rest;
    for (const char* key : {"name", "listen", "limits", "settings"}) {
        if (const auto found = file.find(key); found != file.end()) {
            rest[key] = found->dump();
        }
    }
    return rest;
}

constexpr const char* kNoObject = "the start file holds no JSON object";

// The list stands apart: as a tree of objects it would take many times the room of its text.
struct Parted {
    json file;               // all but `known`
    std::string_view known;  // empty: there is none
};

// `value`, a part of the text, gives way to a null.
std::string without(const std::string& text, std::string_view value) {
    if (value.empty()) {
        return text;
    }
    const auto begin = static_cast<std::size_t>(value.data() - text.data());
    return text.substr(0, begin).append("null").append(text, begin + value.size());
}

Parted part(const std::string& text) {
    Parted parted;
    protocol::JsonCursor cursor(text);
    cursor.object([&](const std::string& key) {
        const std::string_view value = cursor.raw();
        if (key == "known") {
            parted.known = value;
        }
    });
    if (!cursor.end()) {
        throw ConfigurationError(kNoObject);
    }
    parted.file = json::parse(without(text, parted.known), nullptr, false);
    if (!parted.file.is_object()) {
        throw ConfigurationError(kNoObject);
    }
    return parted;
}

std::string text_of_file(const Environment& environment) {
    const char* path = environment("LB_CONFIG");
    if (!path || !*path) {
        throw ConfigurationError("LB_CONFIG is not set");
    }
    const std::ifstream file(path);
    std::ostringstream read;
    read << file.rdbuf();
    std::string text = std::move(read).str();
    if (!file || text.empty()) {
        throw ConfigurationError(std::string("LB_CONFIG: ") + path + " can't be read");
    }
    return text;
}

}  // namespace

StartConfiguration parse_start_configuration(const std::string& text,
                                             const Environment& environment) {
    const auto [file, known] = part(text);
    StartConfiguration start;
    start.rest = rest_of(file);
    start.name = text_from(environment, "LB_NAME", file, "name");
    start.listen = text_from(environment, "LB_LISTEN", file, "listen");
    start.discovery = text_from(environment, "LB_DISCOVERY", file, "discovery");
    start.seed = seed_from(file);
    const json& profile = member(file, "settings");
    try {
        start.settings = parse_deployment_settings(profile);
        start.names = parse_symbol_table(profile);
    } catch (const json::exception& bad) {
        throw ConfigurationError(std::string("'settings' can't be used: ") + bad.what());
    }
    if (start.settings.methods.empty()) {
        throw ConfigurationError("'settings' names no method");
    }
    if (start.names.zones.empty()) {
        throw ConfigurationError("'settings' names no zone");
    }
    if (start.settings.proxy_count < 1) {
        throw ConfigurationError("'settings' allows no proxy");
    }
    start.bounds = bounds_of(profile, start.settings);
    start.sockets = limit_from(file, "sockets");
    start.memory_mb = limit_from(file, "memory_mb");
    if (known.empty() || known == "null") {
        throw ConfigurationError("the start file lacks 'known'");
    }
    auto list = protocol::EndpointListReader(start.names).read(known);
    if (!list) {
        throw ConfigurationError("'known' is no list of servers");
    }
    start.known = std::move(*list);
    start.known.list.form = event::EndpointListUpdate::Form::complete;
    return start;
}

StartConfiguration load_start_configuration(const Environment& environment) {
    return parse_start_configuration(text_of_file(environment), environment);
}

namespace {

bool any_of(const std::vector<std::string>& names, const std::vector<std::string>& among) {
    return std::any_of(names.begin(), names.end(), [&among](const std::string& name) {
        return std::find(among.begin(), among.end(), name) != among.end();
    });
}

// Guards against another deployment's file in this one's place: not even its discovery is followed.
void expect_ours(const json& file, const StartConfiguration& start) {
    const auto settings = file.find("settings");
    if (settings == file.end()) {
        return;
    }
    try {
        const SymbolTable names = parse_symbol_table(*settings);
        if (any_of(names.methods, start.names.methods) && any_of(names.zones, start.names.zones)) {
            return;
        }
    } catch (const json::exception& bad) {
        throw ConfigurationError(std::string("'settings' can't be used: ") + bad.what());
    }
    throw ConfigurationError(
        "'settings' names none of our methods, or none of our zones: another deployment's file");
}

}  // namespace

ReloadedConfiguration parse_reloaded_configuration(const std::string& text,
                                                   const StartConfiguration& start) {
    const json file = part(text).file;
    expect_ours(file, start);
    const auto no_variable = [](const char*) -> const char* { return nullptr; };
    ReloadedConfiguration reread{text_from(no_variable, "", file, "discovery"), {}};
    for (const auto& [key, told] : rest_of(file)) {
        const auto old = start.rest.find(key);
        if (old == start.rest.end() || old->second != told) {
            reread.restart_required_keys.push_back(key);
        }
    }
    return reread;
}

ReloadedConfiguration reload_configuration(const Environment& environment,
                                           const StartConfiguration& start) {
    return parse_reloaded_configuration(text_of_file(environment), start);
}

}  // namespace micaroad
