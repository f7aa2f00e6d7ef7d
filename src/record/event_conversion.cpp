#include "record/event_conversion.hpp"

#include <utility>
#include <variant>

namespace micaroad::record {
namespace {

records::Server to_record(const ListedEndpoint& endpoint) {
    records::Server record;
    record.set_id(endpoint.server.value);
    record.set_zone(endpoint.zone.value);
    record.set_kind(endpoint.kind.value);
    record.set_cell(endpoint.cell.value);
    record.set_phase(static_cast<int>(endpoint.phase));
    record.set_size(endpoint.size);
    if (endpoint.last_start) {
        record.set_last_start(endpoint.last_start->time_since_epoch().count());
    }
    return record;
}

ListedEndpoint endpoint_from_record(const records::Server& record) {
    ListedEndpoint endpoint;
    endpoint.server = {record.id()};
    endpoint.zone = {record.zone()};
    endpoint.kind = {record.kind()};
    endpoint.cell = {record.cell()};
    endpoint.phase = static_cast<EndpointPhase>(record.phase());
    endpoint.size = record.size();
    if (record.has_last_start()) {
        endpoint.last_start = TimePoint{Duration{record.last_start()}};
    }
    return endpoint;
}

// For each kind of event: write() and the function that reads it back.

void write(const event::EndpointListUpdate& update, records::Event& record) {
    record.set_kind(records::Event::LIST);
    record.set_form(static_cast<int>(update.form));
    for (const ListedEndpoint& endpoint : update.servers) {
        *record.add_server() = to_record(endpoint);
    }
}

event::EndpointListUpdate read_endpoint_list_update(const records::Event& record) {
    event::EndpointListUpdate update;
    update.form = static_cast<event::EndpointListUpdate::Form>(record.form());
    for (const records::Server& server : record.server()) {
        update.servers.push_back(endpoint_from_record(server));
    }
    return update;
}

void write(const event::TimerExpired& expired, records::Event& record) {
    record.set_kind(records::Event::TIMER_DUE);
    record.set_timer(expired.timer.value);
}

event::TimerExpired read_timer_expired(const records::Event& record) {
    return {.timer = {record.timer()}};
}

void write(const event::ProxyJoined& joined, records::Event& record) {
    record.set_kind(records::Event::PROXY_JOINED);
    record.set_proxy(joined.proxy.value);
    record.set_zone(joined.zone.value);
    record.set_figure(joined.rpcs_per_second);
    record.set_flag(joined.initial_table_only);
}

event::ProxyJoined read_proxy_joined(const records::Event& record) {
    return {.proxy = {record.proxy()},
            .zone = {record.zone()},
            .rpcs_per_second = record.figure(),
            .initial_table_only = record.flag()};
}

void write(const event::ProxyLeft& left, records::Event& record) {
    record.set_kind(records::Event::PROXY_LEFT);
    record.set_proxy(left.proxy.value);
}

event::ProxyLeft read_proxy_left(const records::Event& record) {
    return {.proxy = {record.proxy()}};
}

void write(const event::Acknowledgement& acknowledgement, records::Event& record) {
    record.set_kind(records::Event::MARK_APPLIED);
    record.set_proxy(acknowledgement.proxy.value);
    record.set_mark(acknowledgement.nonce.value);
}

event::Acknowledgement read_acknowledgement(const records::Event& record) {
    return {.proxy = {record.proxy()}, .nonce = {record.mark()}};
}

void write(const event::EndpointLoadReport& report, records::Event& record) {
    record.set_kind(records::Event::OUTCOMES);
    record.set_id(report.server.value);
    record.set_zone(report.proxy_zone.value);
    record.set_count(report.attempts);
    record.set_bad(report.failures);
    record.set_mean(report.mean_latency.count());
    record.set_over(report.window.count());
}

event::EndpointLoadReport read_endpoint_load_report(const records::Event& record) {
    return {.server = {record.id()},
            .proxy_zone = {record.zone()},
            .attempts = record.count(),
            .failures = record.bad(),
            .mean_latency = Duration{record.mean()},
            .window = Duration{record.over()}};
}

void write(const event::DemandReport& report, records::Event& record) {
    record.set_kind(records::Event::ARRIVALS);
    record.set_proxy(report.proxy.value);
    record.set_method(report.method.value);
    record.set_count(report.requests);
    record.set_bad(report.unanswered);
    record.set_over(report.window.count());
}

event::DemandReport read_demand_report(const records::Event& record) {
    return {.proxy = {record.proxy()},
            .method = {record.method()},
            .requests = record.count(),
            .unanswered = record.bad(),
            .window = Duration{record.over()}};
}

void write(const event::SliceDemandReport& report, records::Event& record) {
    record.set_kind(records::Event::SLICE_ARRIVALS);
    record.set_table(report.slice.value);
    record.set_method(report.method.value);
    record.set_count(report.requests);
    record.set_bad(report.unanswered);
    record.set_over(report.window.count());
}

event::SliceDemandReport read_slice_demand_report(const records::Event& record) {
    return {.slice = {record.table()},
            .method = {record.method()},
            .requests = record.count(),
            .unanswered = record.bad(),
            .window = Duration{record.over()}};
}

void write(const event::SliceAssigned& assigned, records::Event& record) {
    record.set_kind(records::Event::SLICE_GIVEN);
    record.set_table(assigned.slice.value);
    record.set_flag(assigned.ours);
}

event::SliceAssigned read_slice_assigned(const records::Event& record) {
    return {.slice = {record.table()}, .ours = record.flag()};
}

void write(const event::SliceOwnerReported& owner, records::Event& record) {
    record.set_kind(records::Event::SLICE_OWNER);
    record.set_table(owner.slice.value);
    record.set_id(owner.server.value);
    record.set_figure(owner.weight);
}

event::SliceOwnerReported read_slice_owner_reported(const records::Event& record) {
    return {.slice = {record.table()}, .server = {record.id()}, .weight = record.figure()};
}

void write(const event::HealthCheckResult& result, records::Event& record) {
    record.set_kind(records::Event::PROBED);
    record.set_id(result.server.value);
    record.set_flag(result.healthy);
    record.set_mean(result.latency.count());
}

event::HealthCheckResult read_health_check_result(const records::Event& record) {
    return {.server = {record.id()}, .healthy = record.flag(), .latency = Duration{record.mean()}};
}

void write(const event::PeerMessage& message, records::Event& record) {
    record.set_kind(records::Event::PEER_SAID);
    record.set_proxy(message.from.value);
    record.set_text(message.text);
}

event::PeerMessage read_peer_message(const records::Event& record) {
    return {.from = {record.proxy()}, .text = record.text()};
}

}  // namespace

records::Event to_record(const Event& event) {
    records::Event record;
    std::visit([&record](const auto& concrete_event) { write(concrete_event, record); }, event);
    return record;
}

std::optional<Event> event_from_record(const records::Event& record) {
    switch (record.kind()) {
        case records::Event::LIST:
            return read_endpoint_list_update(record);
        case records::Event::TIMER_DUE:
            return read_timer_expired(record);
        case records::Event::PROXY_JOINED:
            return read_proxy_joined(record);
        case records::Event::PROXY_LEFT:
            return read_proxy_left(record);
        case records::Event::MARK_APPLIED:
            return read_acknowledgement(record);
        case records::Event::OUTCOMES:
            return read_endpoint_load_report(record);
        case records::Event::ARRIVALS:
            return read_demand_report(record);
        case records::Event::SLICE_ARRIVALS:
            return read_slice_demand_report(record);
        case records::Event::SLICE_GIVEN:
            return read_slice_assigned(record);
        case records::Event::SLICE_OWNER:
            return read_slice_owner_reported(record);
        case records::Event::PROBED:
            return read_health_check_result(record);
        case records::Event::PEER_SAID:
            return read_peer_message(record);
    }
    return std::nullopt;
}

}  // namespace micaroad::record
