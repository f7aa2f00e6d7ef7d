#include "settings/deployment_settings.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace micaroad {
namespace {

using nlohmann::json;

/// The value of a key, or `fallback` if it is absent or null.
template <class Value>
Value value_or(const json& object, const char* key, Value fallback) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return fallback;
    }
    return found->get<Value>();
}

/// The duration under a key that holds microseconds, or zero if it is absent or null.
Duration duration_or_zero(const json& object, const char* key) {
    return duration_of_micros(value_or(object, key, std::int64_t{0}));
}

json object_or_empty(const json& object, const char* key) {
    return value_or(object, key, json::object());
}

json array_or_empty(const json& object, const char* key) {
    return value_or(object, key, json::array());
}

Method parse_method(const json& source, bool own_zone_only) {
    Method method;
    method.soft_deadline = duration_or_zero(source, "aim_us");
    method.criticality = value_or(source, "credit", 1.0);
    method.own_zone_only = own_zone_only;
    for (const json& kind : array_or_empty(source, "only_kinds")) {
        method.only_kinds.push_back({kind.get<int>()});
    }
    for (const json& zone : array_or_empty(source, "only_zones")) {
        method.only_zones.push_back({zone.get<int>()});
    }
    return method;
}

std::vector<Method> parse_methods(const json& profile, const json& family) {
    const json own_zone_only = array_or_empty(family, "stays_local");
    std::vector<Method> methods;
    for (const json& source : array_or_empty(profile, "classes")) {
        const std::size_t at = methods.size();
        methods.push_back(
            parse_method(source, at < own_zone_only.size() && own_zone_only[at].get<bool>()));
    }
    return methods;
}

AdmissionKind parse_admission_kind(const json& family) {
    const auto kind = value_or<std::string>(family, "admission", "none");
    if (kind == "share") {
        return AdmissionKind::fraction;
    }
    return kind == "rate" ? AdmissionKind::rate : AdmissionKind::none;
}

/// Parses the settings of the control channel from planners to proxies.
void parse_channel(const json& family, DeploymentSettings& settings) {
    settings.channel_lines_per_second = value_or(family, "channel_rate", 1.0);
    settings.overhead_lines_per_message = value_or(family, "head", 0.0);
    settings.max_pending_lines = value_or(family, "queue_cap", 0.0);
    settings.max_messages_per_proxy = value_or(family, "pushes_allowed", 0);
    settings.message_limit_window = duration_or_zero(family, "messages_over_us");
    settings.report_interval = std::max(duration_or_zero(family, "report_every_us"), Duration{1});
    settings.max_message_delay = duration_or_zero(family, "transit_max_us");
}

/// Parses the rules for servers that start, drain or are overloaded.
void parse_server_rules(const json& rules, DeploymentSettings& settings) {
    settings.drain_grace = duration_or_zero(rules, "stop_sending_within_us");
    settings.warm_up_duration = duration_or_zero(rules, "warm_after_us");
    settings.cold_capacity_fraction = value_or(rules, "start_capacity", 1.0);
    settings.overload_factor = value_or(rules, "fall_multiple", 1.0);
    settings.overload_window = duration_or_zero(rules, "fall_us");
    settings.unlisted_may_serve = value_or(rules, "dropped_stay_open", false);
}

void parse_slices(const json& family, DeploymentSettings& settings) {
    settings.slice_count = value_or(family, "slices", 0);
    settings.single_owner = value_or(family, "exclusive", false);
    settings.owner_lease = duration_or_zero(family, "lease_us");
    settings.write_lifetime = duration_or_zero(family, "write_life_us");
}

}  // namespace

DeploymentSettings parse_deployment_settings(const json& profile) {
    const json family = object_or_empty(profile, "family_info");
    const json rules = object_or_empty(profile, "rules");
    DeploymentSettings settings;
    settings.methods = parse_methods(profile, family);
    settings.zone_count = static_cast<int>(array_or_empty(profile, "zones").size());
    settings.proxy_count = value_or(family, "data_plane_size", 1);
    settings.planner_count = std::max(value_or(profile, "instances", 1), 1);
    parse_channel(family, settings);
    parse_server_rules(rules, settings);
    settings.admission_kind = parse_admission_kind(family);
    const int retry_policy = value_or(family, "base_mode", 0);
    settings.default_retry_policy = static_cast<RetryPolicy>(std::clamp(retry_policy, 0, 3));
    settings.subscription_required =
        value_or<std::string>(profile, "registry_mode", "automatic") == "subscribe";
    parse_slices(family, settings);
    return settings;
}

SymbolTable parse_symbol_table(const json& profile) {
    SymbolTable names;
    for (const json& method : array_or_empty(profile, "classes")) {
        names.methods.push_back(value_or<std::string>(method, "name", ""));
    }
    names.zones = value_or(profile, "zones", std::vector<std::string>{});
    names.kinds = value_or(profile, "kinds", std::vector<std::string>{});
    return names;
}

}  // namespace micaroad
