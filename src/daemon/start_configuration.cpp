#include "daemon/start_configuration.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json_cursor.hpp"
#include "protocol/parse_integer.hpp"

namespace micaroad {
namespace {

using nlohmann::json;

// Keys of the start file whose changes take effect only after a restart and are reported as such.
// `seed` and `known` are not among them: both are expected to differ from one file to the next.
constexpr const char* kRestartKeys[] = {"name", "listen", "limits", "settings"};

constexpr double kMaxLimit = 1e9;  // exclusive

// A report may cover the time of up to 120 regular ones, as its sender may have been disconnected
// in the meantime.
constexpr int kMaxReportIntervals = 120;
constexpr Duration kMinLongestWindow = std::chrono::seconds(1);

std::string quoted(const char* key) {
    return std::string("'") + key + "'";
}

ConfigurationError missing_key(const char* key) {
    return {key, "the start file has no key " + quoted(key)};
}

ConfigurationError not_an_object() {
    return {"", "the start file is not a JSON object"};
}

ConfigurationError unusable_settings(const json::exception& error) {
    return {"settings", std::string("'settings' is invalid: ") + error.what()};
}

const json& member(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        throw missing_key(key);
    }
    return *found;
}

std::string parse_text(const json& file, const char* key) {
    const json& value = member(file, key);
    if (!value.is_string()) {
        throw ConfigurationError(key, quoted(key) + " is not a string");
    }
    return value.get<std::string>();
}

// The environment variable takes precedence over the key if it is set and not empty.
std::string variable_or_text(const Environment& environment, const char* variable, const json& file,
                             const char* key) {
    const char* const value = environment(variable);
    if (value != nullptr && *value != '\0') {
        return value;
    }
    return parse_text(file, key);
}

std::uint64_t parse_seed(const json& file) {
    constexpr int kHexadecimal = 16;
    const json& seed = member(file, "seed");
    if (seed.is_number_unsigned()) {
        return seed.get<std::uint64_t>();
    }
    const std::string text = seed.is_string() ? seed.get<std::string>() : "";
    std::uint64_t value = 0;
    if (!protocol::parse_integer(text, value, kHexadecimal)) {
        throw ConfigurationError("seed", "'seed' is not a hexadecimal number");
    }
    return value;
}

std::size_t parse_limit(const json& file, const char* key) {
    const json& limit = member(member(file, "limits"), key);
    const bool usable =
        limit.is_number() && limit.get<double>() >= 0 && limit.get<double>() < kMaxLimit;
    if (!usable) {
        const std::string path = std::string("limits.") + key;
        throw ConfigurationError(path, "'" + path + "' is not a number from 0 to less than 1e9");
    }
    return limit.get<std::size_t>();
}

// The longest deadline of any method; zero if none has a deadline.
Duration longest_deadline(const json& settings) {
    Duration longest{};
    for (const json& method : settings.value("classes", json::array())) {
        const auto deadline_us = method.value("deadline_us", std::int64_t{0});
        longest = std::max(longest, duration_of_micros(deadline_us));
    }
    return longest;
}

// An attempt lasts at most until its RPC's deadline. If the settings have deadlines, twice the
// longest is therefore the bound of a report's mean latency.
protocol::Bounds parse_bounds(const json& settings_json, const DeploymentSettings& settings) {
    protocol::Bounds bounds;
    bounds.proxies = settings.proxy_count;
    bounds.max_window = std::max(kMaxReportIntervals * settings.report_interval, kMinLongestWindow);
    const Duration deadline = longest_deadline(settings_json);
    if (deadline > Duration{}) {
        bounds.max_mean_latency = 2 * deadline;
    }
    return bounds;
}

void parse_settings(const json& settings_json, StartConfiguration& start) {
    try {
        start.settings = parse_deployment_settings(settings_json);
        start.names = parse_symbol_table(settings_json);
    } catch (const json::exception& error) {
        throw unusable_settings(error);
    }
    if (start.settings.methods.empty()) {
        throw ConfigurationError("settings", "'settings' lists no methods");
    }
    if (start.names.zones.empty()) {
        throw ConfigurationError("settings", "'settings' lists no zones");
    }
    if (start.settings.proxy_count < 1) {
        throw ConfigurationError("settings", "'settings' allows no proxies");
    }
}

protocol::EndpointListMessage parse_known_list(std::string_view known, const SymbolTable& names) {
    if (known.empty() || known == "null") {
        throw missing_key("known");
    }
    auto message = protocol::EndpointListReader(names).read(known);
    if (!message) {
        throw ConfigurationError("known", "'known' is not an endpoint list");
    }
    message->list.form = event::EndpointListUpdate::Form::complete;
    return std::move(*message);
}

std::map<std::string, std::string> find_restart_key_texts(const json& file) {
    std::map<std::string, std::string> texts;
    for (const char* key : kRestartKeys) {
        const auto found = file.find(key);
        if (found != file.end()) {
            texts[key] = found->dump();
        }
    }
    return texts;
}

// The start file without the endpoint list, and the text of the list. A JSON tree of the list would
// take many times the memory of its text, so it is parsed separately.
struct SplitFile {
    json file;               // all keys, with `known` replaced by null
    std::string_view known;  // a view into the file's text; empty if the key is missing
};

// Returns `text` with `value`, a view into it, replaced by null. An empty `value` changes nothing.
std::string replace_by_null(const std::string& text, std::string_view value) {
    if (value.empty()) {
        return text;
    }
    const auto begin = static_cast<std::size_t>(value.data() - text.data());
    return text.substr(0, begin).append("null").append(text, begin + value.size());
}

std::string_view find_known_list(const std::string& text) {
    std::string_view known;
    protocol::JsonCursor cursor(text);
    cursor.object([&cursor, &known](const std::string& key) {
        const std::string_view value = cursor.raw();
        if (key == "known") {
            known = value;
        }
    });
    if (!cursor.end()) {
        throw not_an_object();
    }
    return known;
}

SplitFile split_file(const std::string& text) {
    SplitFile split;
    split.known = find_known_list(text);
    split.file = json::parse(replace_by_null(text, split.known), nullptr, false);
    if (!split.file.is_object()) {
        throw not_an_object();
    }
    return split;
}

std::string read_file(const Environment& environment) {
    const char* const path = environment("LB_CONFIG");
    if (path == nullptr || *path == '\0') {
        throw ConfigurationError("LB_CONFIG", "LB_CONFIG is not set");
    }
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    std::string text = std::move(content).str();
    if (!file || text.empty()) {
        throw ConfigurationError("LB_CONFIG", std::string("LB_CONFIG: ") + path + " can't be read");
    }
    return text;
}

bool have_common_name(const std::vector<std::string>& names,
                      const std::vector<std::string>& others) {
    return std::ranges::any_of(names, [&others](const std::string& name) {
        return std::ranges::find(others, name) != others.end();
    });
}

// Guards against a reload of another deployment's file, whose discovery address must not be used
// either. A file without settings is accepted.
void check_same_deployment(const json& file, const StartConfiguration& start) {
    const auto settings = file.find("settings");
    if (settings == file.end()) {
        return;
    }
    SymbolTable names;
    try {
        names = parse_symbol_table(*settings);
    } catch (const json::exception& error) {
        throw unusable_settings(error);
    }
    const bool same_deployment = have_common_name(names.methods, start.names.methods) &&
                                 have_common_name(names.zones, start.names.zones);
    if (!same_deployment) {
        throw ConfigurationError("settings",
                                 "'settings' has no method or no zone in common with the "
                                 "running configuration: the file is for another deployment");
    }
}

}  // namespace

StartConfiguration parse_start_configuration(const std::string& text,
                                             const Environment& environment) {
    const SplitFile split = split_file(text);
    const json& file = split.file;
    StartConfiguration start;
    start.restart_key_texts = find_restart_key_texts(file);
    start.name = variable_or_text(environment, "LB_NAME", file, "name");
    start.listen = variable_or_text(environment, "LB_LISTEN", file, "listen");
    start.discovery = variable_or_text(environment, "LB_DISCOVERY", file, "discovery");
    start.seed = parse_seed(file);
    const json& settings = member(file, "settings");
    parse_settings(settings, start);
    start.bounds = parse_bounds(settings, start.settings);
    start.sockets = parse_limit(file, "sockets");
    start.memory_mb = parse_limit(file, "memory_mb");
    start.initial_list = parse_known_list(split.known, start.names);
    return start;
}

StartConfiguration load_start_configuration(const Environment& environment) {
    return parse_start_configuration(read_file(environment), environment);
}

ReloadedConfiguration parse_reloaded_configuration(const std::string& text,
                                                   const StartConfiguration& start) {
    const SplitFile split = split_file(text);
    check_same_deployment(split.file, start);
    ReloadedConfiguration reloaded;
    reloaded.discovery = parse_text(split.file, "discovery");
    for (const auto& [key, value] : find_restart_key_texts(split.file)) {
        const auto at_start = start.restart_key_texts.find(key);
        if (at_start == start.restart_key_texts.end() || at_start->second != value) {
            reloaded.restart_required_keys.push_back(key);
        }
    }
    return reloaded;
}

ReloadedConfiguration reload_configuration(const Environment& environment,
                                           const StartConfiguration& start) {
    return parse_reloaded_configuration(read_file(environment), start);
}

}  // namespace micaroad
