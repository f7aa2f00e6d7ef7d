/// Converts deployment settings to protobuf messages of a recording and back, without loss, and
/// makes the header that begins the records of each incarnation of a planner.
///
/// proto/record.proto keeps the names that it was published with. `Terms` are `DeploymentSettings`;
/// a field that is not in this table has the same name in both:
///
///     Terms field                  DeploymentSettings field
///     method                       methods
///     zones, proxies, slices       zone_count, proxy_count, slice_count
///     lines_per_second             channel_lines_per_second
///     lines_per_message            overhead_lines_per_message
///     lines_waiting_most           max_pending_lines
///     messages_most                max_messages_per_proxy
///     messages_span                message_limit_window
///     report_every                 report_interval
///     message_longest              max_message_delay
///     warm_after                   warm_up_duration
///     cold_capacity                cold_capacity_fraction
///     fall_multiple, fall_span     overload_factor, overload_window
///     dropped_may_serve            unlisted_may_serve
///     levels                       admission_kind
///     further_tries                default_retry_policy
///     must_subscribe               subscription_required
///     write_life                   write_lifetime
///
/// `Terms.Method` is `Method`; its `only_kind` and `only_zone` are `only_kinds` and `only_zones`.
/// `Head` is called header in the code. All functions are pure and may be called by any thread.
#pragma once

#include <cstdint>
#include <string>

#include "micaroad/types.hpp"
#include "proto/record.pb.h"
#include "settings/deployment_settings.hpp"

namespace micaroad::record {

/// The schema that this build writes, and the newest schema that it reads.
constexpr std::uint32_t kSchemaVersion = 1;

[[nodiscard]] records::Terms to_record(const DeploymentSettings& settings);
[[nodiscard]] DeploymentSettings settings_from_record(const records::Terms& record);

/// Makes the header of one incarnation of a planner, which has all that a replay needs to create an
/// identical planner. `build` is the version of the program, and `started_at` is a time of the
/// planner's clock.
[[nodiscard]] records::Head make_header(const DeploymentSettings& settings,
                                        const SymbolTable& names, std::uint64_t seed,
                                        const std::string& planner, const std::string& build,
                                        TimePoint started_at);

}  // namespace micaroad::record
