#include "planner/start_file.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/whole_number.hpp"

namespace micaroad {
namespace {

using nlohmann::json;

const json& member(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null())
        throw BadStart(std::string("the start file lacks '") + key + "'");
    return *found;
}

// The variable where it is set, else the file's key.
std::string text_from(const Environment& environment, const char* variable, const json& file,
                      const char* key) {
    if (const char* value = environment(variable); value && *value) return value;
    const json& found = member(file, key);
    if (!found.is_string()) throw BadStart(std::string("'") + key + "' is no text");
    return found.get<std::string>();
}

std::uint64_t seed_from(const json& file) {
    const json& seed = member(file, "seed");
    if (seed.is_number_unsigned()) return seed.get<std::uint64_t>();
    const std::string text = seed.is_string() ? seed.get<std::string>() : "";
    std::uint64_t value = 0;
    if (!protocol::read_whole(text, value, 16)) throw BadStart("'seed' is no hexadecimal number");
    return value;
}

// A report is at most as long as a hundred and twenty usual ones (a break may lie within), and a try ends
// with its RPC's deadline, where the settings tell one.
protocol::Bounds bounds_of(const json& profile, const Terms& terms) {
    protocol::Bounds bounds;
    bounds.proxies = terms.proxies;
    bounds.longest_window = std::max(120 * terms.report_every, Span{10'000});
    Span deadline{};
    for (const json& method : profile.value("classes", json::array()))
        deadline = std::max(deadline, span_of(method.value("deadline_us", std::int64_t{0})));
    if (deadline > Span{}) bounds.longest_mean = 2 * deadline;
    return bounds;
}

std::size_t limit_from(const json& file, const char* key) {
    const json& limit = member(member(file, "limits"), key);
    if (!limit.is_number() || !(limit.get<double>() >= 0 && limit.get<double>() < 1e9))
        throw BadStart(std::string("'limits.") + key + "' can't be used");
    return limit.get<std::size_t>();
}

// What only a start can bring in. Neither the seed nor the known list is meant to stay as it was.
std::map<std::string, std::string> rest_of(const json& file) {
    std::map<std::string, std::string> rest;
    for (const char* key : {"name", "listen", "limits", "settings"}) {
        if (const auto found = file.find(key); found != file.end()) rest[key] = found->dump();
    }
    return rest;
}

json object_of(const std::string& text) {
    json file = json::parse(text, nullptr, false);
    if (!file.is_object()) throw BadStart("the start file holds no JSON object");
    return file;
}

std::string text_of_file(const Environment& environment) {
    const char* path = environment("LB_CONFIG");
    if (!path || !*path) throw BadStart("LB_CONFIG is not set");
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty()) throw BadStart(std::string("LB_CONFIG: ") + path + " can't be read");
    return text.str();
}

}  // namespace

StartFile read_start_text(const std::string& text, const Environment& environment) {
    const json file = object_of(text);
    StartFile start;
    start.rest = rest_of(file);
    start.name = text_from(environment, "LB_NAME", file, "name");
    start.listen = text_from(environment, "LB_LISTEN", file, "listen");
    start.discovery = text_from(environment, "LB_DISCOVERY", file, "discovery");
    start.seed = seed_from(file);
    const json& profile = member(file, "settings");
    try {
        start.terms = terms_of(profile);
        start.names = names_of(profile);
    } catch (const json::exception& bad) {
        throw BadStart(std::string("'settings' can't be used: ") + bad.what());
    }
    if (start.terms.methods.empty()) throw BadStart("'settings' names no method");
    if (start.names.zones.empty()) throw BadStart("'settings' names no zone");
    if (start.terms.proxies < 1) throw BadStart("'settings' allows no proxy");
    start.bounds = bounds_of(profile, start.terms);
    start.sockets = limit_from(file, "sockets");
    start.memory_mb = limit_from(file, "memory_mb");
    auto known = protocol::ListReader(start.names).read(member(file, "known").dump());
    if (!known) throw BadStart("'known' is no list of servers");
    start.known = std::move(*known);
    start.known.list.form = event::List::Form::complete;
    return start;
}

StartFile read_start_file(const Environment& environment) {
    return read_start_text(text_of_file(environment), environment);
}

namespace {

bool any_of(const std::vector<std::string>& names, const std::vector<std::string>& among) {
    return std::any_of(names.begin(), names.end(), [&among](const std::string& name) {
        return std::find(among.begin(), among.end(), name) != among.end();
    });
}

// Guards against another deployment's file in this one's place: not even its discovery is followed.
void expect_ours(const json& file, const StartFile& start) {
    const auto settings = file.find("settings");
    if (settings == file.end()) return;
    try {
        const Names names = names_of(*settings);
        if (any_of(names.methods, start.names.methods) && any_of(names.zones, start.names.zones)) return;
    } catch (const json::exception& bad) {
        throw BadStart(std::string("'settings' can't be used: ") + bad.what());
    }
    throw BadStart("'settings' names none of our methods, or none of our zones: another deployment's file");
}

}  // namespace

Reread reread_start_text(const std::string& text, const StartFile& start) {
    const json file = object_of(text);
    expect_ours(file, start);
    const auto no_variable = [](const char*) -> const char* { return nullptr; };
    Reread reread{text_from(no_variable, "", file, "discovery"), {}};
    for (const auto& [key, told] : rest_of(file)) {
        const auto old = start.rest.find(key);
        if (old == start.rest.end() || old->second != told) reread.unheeded.push_back(key);
    }
    return reread;
}

Reread reread_start_file(const Environment& environment, const StartFile& start) {
    return reread_start_text(text_of_file(environment), start);
}

}  // namespace micaroad
