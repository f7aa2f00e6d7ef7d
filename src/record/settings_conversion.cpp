#include "record/settings_conversion.hpp"

#include <utility>

namespace micaroad::record {
namespace {

void write(const Method& method, records::Terms::Method& record) {
    record.set_soft_deadline(method.soft_deadline.count());
    record.set_criticality(method.criticality);
    record.set_own_zone_only(method.own_zone_only);
    for (const KindId kind : method.only_kinds) {
        record.add_only_kind(kind.value);
    }
    for (const ZoneId zone : method.only_zones) {
        record.add_only_zone(zone.value);
    }
}

Method read(const records::Terms::Method& record) {
    Method method;
    method.soft_deadline = Duration{record.soft_deadline()};
    method.criticality = record.criticality();
    method.own_zone_only = record.own_zone_only();
    for (const int kind : record.only_kind()) {
        method.only_kinds.push_back({kind});
    }
    for (const int zone : record.only_zone()) {
        method.only_zones.push_back({zone});
    }
    return method;
}

}  // namespace

records::Terms to_record(const DeploymentSettings& settings) {
    records::Terms record;
    for (const Method& method : settings.methods) {
        write(method, *record.add_method());
    }
    record.set_zones(settings.zone_count);
    record.set_proxies(settings.proxy_count);
    record.set_lines_per_second(settings.channel_lines_per_second);
    record.set_lines_per_message(settings.overhead_lines_per_message);
    record.set_lines_waiting_most(settings.max_pending_lines);
    record.set_messages_most(settings.max_messages_per_proxy);
    record.set_messages_span(settings.message_limit_window.count());
    record.set_report_every(settings.report_interval.count());
    record.set_message_longest(settings.max_message_delay.count());
    record.set_drain_grace(settings.drain_grace.count());
    record.set_warm_after(settings.warm_up_duration.count());
    record.set_cold_capacity(settings.cold_capacity_fraction);
    record.set_fall_multiple(settings.overload_factor);
    record.set_fall_span(settings.overload_window.count());
    record.set_dropped_may_serve(settings.unlisted_may_serve);
    record.set_levels(static_cast<int>(settings.admission_kind));
    record.set_further_tries(static_cast<int>(settings.default_retry_policy));
    record.set_must_subscribe(settings.subscription_required);
    record.set_slices(settings.slice_count);
    record.set_single_owner(settings.single_owner);
    record.set_owner_lease(settings.owner_lease.count());
    record.set_write_life(settings.write_lifetime.count());
    return record;
}

DeploymentSettings settings_from_record(const records::Terms& record) {
    DeploymentSettings settings;
    for (const records::Terms::Method& method : record.method()) {
        settings.methods.push_back(read(method));
    }
    settings.zone_count = record.zones();
    settings.proxy_count = record.proxies();
    settings.channel_lines_per_second = record.lines_per_second();
    settings.overhead_lines_per_message = record.lines_per_message();
    settings.max_pending_lines = record.lines_waiting_most();
    settings.max_messages_per_proxy = record.messages_most();
    settings.message_limit_window = Duration{record.messages_span()};
    settings.report_interval = Duration{record.report_every()};
    settings.max_message_delay = Duration{record.message_longest()};
    settings.drain_grace = Duration{record.drain_grace()};
    settings.warm_up_duration = Duration{record.warm_after()};
    settings.cold_capacity_fraction = record.cold_capacity();
    settings.overload_factor = record.fall_multiple();
    settings.overload_window = Duration{record.fall_span()};
    settings.unlisted_may_serve = record.dropped_may_serve();
    settings.admission_kind = static_cast<AdmissionKind>(record.levels());
    settings.default_retry_policy = static_cast<RetryPolicy>(record.further_tries());
    settings.subscription_required = record.must_subscribe();
    settings.slice_count = record.slices();
    settings.single_owner = record.single_owner();
    settings.owner_lease = Duration{record.owner_lease()};
    settings.write_lifetime = Duration{record.write_life()};
    return settings;
}

records::Head make_header(const DeploymentSettings& settings, const SymbolTable& names,
                          std::uint64_t seed, const std::string& planner, const std::string& build,
                          TimePoint started_at) {
    records::Head header;
    header.set_schema(kSchemaVersion);
    header.set_build(build);
    header.set_planner(planner);
    header.set_at(started_at.time_since_epoch().count());
    header.set_seed(seed);
    *header.mutable_terms() = to_record(settings);
    for (const std::string& method : names.methods) {
        header.add_method(method);
    }
    for (const std::string& zone : names.zones) {
        header.add_zone(zone);
    }
    for (const std::string& kind : names.kinds) {
        header.add_kind(kind);
    }
    return header;
}

}  // namespace micaroad::record
