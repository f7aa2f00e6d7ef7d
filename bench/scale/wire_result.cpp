#include "wire_result.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace micaroad::scale::wire {

using nlohmann::json;

namespace {

json to_json(const Delays& delays) {
    return {{"samples", delays.samples},
            {"p50_ms", delays.p50},
            {"p99_ms", delays.p99},
            {"p100_ms", delays.p100}};
}

json to_json(const TrafficRates& rates) {
    return {{"bytes_in_per_second", rates.bytes_in},
            {"bytes_out_per_second", rates.bytes_out},
            {"messages_in_per_second", rates.messages_in},
            {"messages_out_per_second", rates.messages_out}};
}

json to_json(const PlannerFigures& figures) {
    json by_role = json::object();
    for (const Role role : {Role::discovery, Role::collector, Role::proxy}) {
        by_role[name_of(role)] = to_json(figures.by_role[static_cast<std::size_t>(role)]);
    }
    return {{"planners", figures.planners},
            {"processes", figures.processes},
            {"processor_share_mean", figures.share_mean},
            {"processor_share_most", figures.share_max},
            {"pss_bytes_mean", figures.bytes_mean},
            {"pss_bytes_most", figures.bytes_max},
            {"traffic_per_planner", to_json(figures.all)},
            {"traffic_per_planner_by_role", by_role}};
}

json to_json(const ChangeFigures& changes) {
    return {{"told", changes.announced},
            {"in_force", to_json(changes.in_force)},
            {"not_holding", changes.not_in_use},
            {"overtaken", changes.overtaken},
            {"not_in_force", changes.not_in_force}};
}

json to_json(const EventFigures& event) {
    json object = {{"event", name_of(event.event)},
                   {"servers", event.servers},
                   {"seconds", event.seconds},
                   {"changes", to_json(event.changes)},
                   {"planner_processor_share_mean", event.planner_share_mean},
                   {"planner_traffic", to_json(event.planner_traffic)},
                   {"passed", event.passed}};
    if (event.first_message) {
        object["first_message"] = to_json(*event.first_message);
        object["first_messages_missing"] = event.first_messages_missing;
    }
    return object;
}

json to_json(const Comparison& comparison) {
    return {{"figure", comparison.figure},
            {"real", comparison.real},
            {"hollow", comparison.hollow},
            {"difference", comparison.difference},
            {"within", comparison.within}};
}

json to_json(const Check& check) {
    return {{"name", check.name}, {"passed", check.passed}, {"seen", check.detail}};
}

template <class Items>
json list_of(const Items& items) {
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

}  // namespace

Delays delays_of(const std::vector<double>& sorted) {
    return {static_cast<std::int64_t>(sorted.size()), percentile(sorted, 50),
            percentile(sorted, 99), percentile(sorted, 100)};
}

TrafficRates& TrafficRates::operator+=(const TrafficRates& other) {
    bytes_in += other.bytes_in;
    bytes_out += other.bytes_out;
    messages_in += other.messages_in;
    messages_out += other.messages_out;
    return *this;
}

TrafficRates rates_of(const Traffic& traffic, double seconds, int planners) {
    const double divisor = seconds * std::max(planners, 1);
    return {static_cast<double>(traffic.bytes_in) / divisor,
            static_cast<double>(traffic.bytes_out) / divisor,
            static_cast<double>(traffic.messages_in) / divisor,
            static_cast<double>(traffic.messages_out) / divisor};
}

bool PointResult::passed() const {
    return std::all_of(checks.begin(), checks.end(),
                       [](const Check& check) { return check.passed; });
}

json to_json(const WireWorld& world) {
    return {{"real_planners", world.real_planners},
            {"hollow_planners", world.hollow_planners},
            {"proxies_per_planner", world.proxies},
            {"servers", world.servers},
            {"zones", world.zones},
            {"methods", world.methods},
            {"changes_per_second", world.changes_per_second},
            {"report_every_ms", world.report_interval.count()},
            {"lines_per_proxy_and_second", world.lines_per_proxy}};
}

json to_json(const PointResult& point) {
    json stand_ins = json::object();
    for (const StandInFigures& figures : point.stand_ins) {
        stand_ins[name_of(figures.role)] = {{"number", figures.number},
                                            {"processor_share", figures.share}};
    }
    return {{"varied", point.varied},
            {"world", to_json(point.world)},
            {"start_seconds", point.start_seconds},
            {"window_seconds", point.window_seconds},
            {"real", to_json(point.real)},
            {"hollow", to_json(point.hollow)},
            {"stand_ins", stand_ins},
            {"stand_ins_processor_share", point.stand_ins_share},
            {"stand_ins_pss_bytes", point.stand_ins_bytes},
            {"servers_per_table_mean", point.mean_table_size},
            {"changes", to_json(point.changes)},
            {"events", list_of(point.events)},
            {"broken_streams", point.broken_streams},
            {"unreadable_messages", point.unreadable_messages},
            {"dropped_reports", point.dropped_reports},
            {"hollow_beside_real", list_of(point.comparisons)},
            {"checks", list_of(point.checks)},
            {"passed", point.passed()}};
}

json to_json(const SkippedSize& skipped) {
    return {{"varied", skipped.varied}, {"world", to_json(skipped.world)}, {"why", skipped.reason}};
}

}  // namespace micaroad::scale::wire
