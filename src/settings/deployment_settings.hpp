/// Parses the settings object that a deployment passes at the start, for all programs that host the
/// planner. Only this parser knows the keys; it translates them to the planner's terms.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad {

/// Times in the settings and on the simulator's wire are whole microseconds, whereas a Duration
/// counts tenths of a millisecond.
inline constexpr std::int64_t kMicrosPerUnit = 100;

/// Converts microseconds to a Duration, rounding towards zero.
[[nodiscard]] inline Duration duration_of_micros(std::int64_t micros) {
    return Duration{micros / kMicrosPerUnit};
}

/// Parses the settings object. Absent or null keys take the default. Values of keys that end in
/// `_us` are in microseconds.
///
///   key                          field of DeploymentSettings, default
///   classes[]                    methods, by MethodId:
///     aim_us                       soft_deadline, 0
///     credit                       criticality, 1
///     only_kinds[], only_zones[]   fields of the same names; empty: any
///   zones[]                      zone_count
///   instances                    planner_count, 1; at least 1
///   registry_mode                subscription_required, if "subscribe"
///   family_info:
///     stays_local[]                own_zone_only, by MethodId: false
///     data_plane_size              proxy_count, 1
///     channel_rate                 channel_lines_per_second, 1
///     head                         overhead_lines_per_message, 0
///     queue_cap                    max_pending_lines, 0
///     pushes_allowed               max_messages_per_proxy, 0: no limit
///     messages_over_us             message_limit_window, 0
///     report_every_us              report_interval; at least one unit of Duration
///     transit_max_us               max_message_delay, 0
///     admission                    admission_kind: "share" (fraction), "rate", others: none
///     base_mode                    default_retry_policy, 0; clamped to 0 ... 3
///     slices                       slice_count, 0
///     exclusive                    single_owner, false
///     lease_us                     owner_lease, 0
///     write_life_us                write_lifetime, 0
///   rules:
///     stop_sending_within_us       drain_grace, 0
///     warm_after_us                warm_up_duration, 0
///     start_capacity               cold_capacity_fraction, 1
///     fall_multiple                overload_factor, 1
///     fall_us                      overload_window, 0
///     dropped_stay_open            unlisted_may_serve, false
///
/// Throws nlohmann::json::exception if a value has the wrong type; the exception's text names the
/// types, not the key. The values themselves are not validated. Unknown keys are ignored.
[[nodiscard]] DeploymentSettings parse_deployment_settings(const nlohmann::json& profile);

/// The names for the numbers of MethodId, ZoneId and KindId, used by protocols that transmit names.
struct SymbolTable {
    std::vector<std::string> methods;
    std::vector<std::string> zones;
    std::vector<std::string> kinds;

    /// Throws std::out_of_range if the method has no name.
    [[nodiscard]] const std::string& method(MethodId id) const {
        return methods.at(static_cast<std::size_t>(id.value));
    }
    /// Throws std::out_of_range if the zone has no name.
    [[nodiscard]] const std::string& zone(ZoneId id) const {
        return zones.at(static_cast<std::size_t>(id.value));
    }
};

/// Reads `classes[].name` (empty if absent), `zones` and `kinds`. Throws nlohmann::json::exception
/// if one of them has another type.
[[nodiscard]] SymbolTable parse_symbol_table(const nlohmann::json& profile);

}  // namespace micaroad
