#include "settings/deployment_settings.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace micaroad {
namespace {

using nlohmann::json;

// The value under a key, or the fallback where it is absent or null.
template <class T>
T value_or(const json& object, const char* key, T fallback) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? fallback : found->get<T>();
}
Duration span_or(const json& object, const char* key, Duration fallback = Duration{}) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null()
               ? fallback
               : duration_of_micros(found->get<std::int64_t>());
}
json part_of(const json& object, const char* key) {
    return value_or(object, key, json::object());
}

Method method_of(const json& from, int zone_local) {
    Method method;
    method.soft_deadline = span_or(from, "aim_us");
    method.criticality = value_or(from, "credit", 1.0);
    method.own_zone_only = zone_local != 0;
    for (const auto& kind : value_or(from, "only_kinds", json::array())) {
        method.only_kinds.push_back({kind.get<int>()});
    }
    for (const auto& zone : value_or(from, "only_zones", json::array())) {
        method.only_zones.push_back({zone.get<int>()});
    }
    return method;
}

}  // namespace

DeploymentSettings parse_deployment_settings(const json& profile) {
    const json family = part_of(profile, "family_info");
    const json rules = part_of(profile, "rules");
    const json local = value_or(family, "stays_local", json::array());
    DeploymentSettings settings;
    for (const auto& from : value_or(profile, "classes", json::array())) {
        const std::size_t at = settings.methods.size();
        settings.methods.push_back(method_of(from, at < local.size() && local[at].get<bool>()));
    }
    settings.zone_count = static_cast<int>(value_or(profile, "zones", json::array()).size());
    settings.proxy_count = value_or(family, "data_plane_size", 1);
    settings.planner_count = std::max(value_or(profile, "instances", 1), 1);
    settings.channel_lines_per_second = value_or(family, "channel_rate", 1.0);
    settings.overhead_lines_per_message = value_or(family, "head", 0.0);
    settings.max_pending_lines = value_or(family, "queue_cap", 0.0);
    settings.max_messages_per_proxy = value_or(family, "pushes_allowed", 0);
    settings.message_limit_window = span_or(family, "messages_over_us");
    settings.report_interval = std::max(span_or(family, "report_every_us"), Duration{1});
    settings.max_message_delay = span_or(family, "transit_max_us");
    settings.drain_grace = span_or(rules, "stop_sending_within_us");
    settings.warm_up_duration = span_or(rules, "warm_after_us");
    settings.cold_capacity_fraction = value_or(rules, "start_capacity", 1.0);
    settings.overload_factor = value_or(rules, "fall_multiple", 1.0);
    settings.overload_window = span_or(rules, "fall_us");
    settings.unlisted_may_serve = value_or(rules, "dropped_stay_open", false);
    const auto admission = value_or<std::string>(family, "admission", "none");
    settings.admission_kind = admission == "share"  ? AdmissionKind::fraction
                              : admission == "rate" ? AdmissionKind::rate
                                                    : AdmissionKind::none;
    const int base_mode = value_or(family, "base_mode", 0);
    settings.default_retry_policy = static_cast<RetryPolicy>(std::clamp(base_mode, 0, 3));
    settings.subscription_required =
        value_or<std::string>(profile, "registry_mode", "automatic") == "subscribe";
    settings.slice_count = value_or(family, "slices", 0);
    settings.single_owner = value_or(family, "exclusive", false);
    settings.owner_lease = span_or(family, "lease_us");
    settings.write_lifetime = span_or(family, "write_life_us");
    return settings;
}

SymbolTable parse_symbol_table(const json& profile) {
    SymbolTable names;
    for (const auto& from : value_or(profile, "classes", json::array())) {
        names.methods.push_back(value_or<std::string>(from, "name", ""));
    }
    names.zones = value_or(profile, "zones", std::vector<std::string>{});
    names.kinds = value_or(profile, "kinds", std::vector<std::string>{});
    return names;
}

}  // namespace micaroad
