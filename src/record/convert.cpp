#include "record/convert.hpp"

#include <fmt/format.h>

namespace micaroad::record {
namespace {

using records::Event_Kind;
using records::Order_Kind;

records::Server record_of(const ListedEndpoint& server) {
    records::Server to;
    to.set_id(server.server.value);
    to.set_zone(server.zone.value), to.set_kind(server.kind.value), to.set_cell(server.cell.value);
    to.set_phase(static_cast<int>(server.phase));
    to.set_size(server.size);
    if (server.last_start) {
        to.set_last_start(server.last_start->time_since_epoch().count());
    }
    return to;
}
ListedEndpoint server_of(const records::Server& from) {
    ListedEndpoint to;
    to.server = {from.id()}, to.zone = {from.zone()}, to.kind = {from.kind()},
    to.cell = {from.cell()};
    to.phase = static_cast<EndpointPhase>(from.phase()), to.size = from.size();
    if (from.has_last_start()) {
        to.last_start = TimePoint{Duration{from.last_start()}};
    }
    return to;
}

struct EventWriter {
    records::Event& to;
    void operator()(const event::EndpointListUpdate& e) const {
        to.set_kind(records::Event::LIST), to.set_form(static_cast<int>(e.form));
        for (const ListedEndpoint& server : e.servers) {
            *to.add_server() = record_of(server);
        }
    }
    void operator()(const event::TimerExpired& e) const {
        to.set_kind(records::Event::TIMER_DUE), to.set_timer(e.timer.value);
    }
    void operator()(const event::ProxyJoined& e) const {
        to.set_kind(records::Event::PROXY_JOINED), to.set_proxy(e.proxy.value),
            to.set_zone(e.zone.value);
        to.set_figure(e.rpcs_per_second), to.set_flag(e.initial_table_only);
    }
    void operator()(const event::ProxyLeft& e) const {
        to.set_kind(records::Event::PROXY_LEFT), to.set_proxy(e.proxy.value);
    }
    void operator()(const event::Acknowledgement& e) const {
        to.set_kind(records::Event::MARK_APPLIED), to.set_proxy(e.proxy.value),
            to.set_mark(e.nonce.value);
    }
    void operator()(const event::EndpointLoadReport& e) const {
        to.set_kind(records::Event::OUTCOMES), to.set_id(e.server.value),
            to.set_zone(e.proxy_zone.value);
        to.set_count(e.attempts), to.set_bad(e.failures), to.set_mean(e.mean_latency.count()),
            to.set_over(e.window.count());
    }
    void operator()(const event::DemandReport& e) const {
        to.set_kind(records::Event::ARRIVALS), to.set_proxy(e.proxy.value),
            to.set_method(e.method.value);
        to.set_count(e.requests), to.set_bad(e.unanswered), to.set_over(e.window.count());
    }
    void operator()(const event::SliceDemandReport& e) const {
        to.set_kind(records::Event::SLICE_ARRIVALS), to.set_table(e.slice.value),
            to.set_method(e.method.value);
        to.set_count(e.requests), to.set_bad(e.unanswered), to.set_over(e.window.count());
    }
    void operator()(const event::SliceAssigned& e) const {
        to.set_kind(records::Event::SLICE_GIVEN), to.set_table(e.slice.value), to.set_flag(e.ours);
    }
    void operator()(const event::SliceOwnerReported& e) const {
        to.set_kind(records::Event::SLICE_OWNER), to.set_table(e.slice.value),
            to.set_id(e.server.value), to.set_figure(e.weight);
    }
    void operator()(const event::HealthCheckResult& e) const {
        to.set_kind(records::Event::PROBED), to.set_id(e.server.value), to.set_flag(e.healthy),
            to.set_mean(e.latency.count());
    }
    void operator()(const event::PeerMessage& e) const {
        to.set_kind(records::Event::PEER_SAID), to.set_proxy(e.from.value), to.set_text(e.text);
    }
};

struct OrderWriter {
    records::Order& to;
    void operator()(const order::SetTableEntry& o) const {
        to.set_kind(records::Order::SET_LINE), to.set_table(o.table.value),
            to.set_id(o.server.value), to.set_figure(o.weight);
    }
    void operator()(const order::ClearTable& o) const {
        to.set_kind(records::Order::CLEAR_TABLE), to.set_table(o.table.value);
    }
    void operator()(const order::BindProxy& o) const {
        to.set_kind(records::Order::BIND), to.set_table(o.table.value), to.set_proxy(o.proxy.value);
        for (const MethodId method : o.methods) {
            to.add_method(method.value);
        }
    }
    void operator()(const order::SetAdmission& o) const {
        to.set_kind(records::Order::SET_LEVEL), to.set_figure(o.amount),
            to.set_further_tries(static_cast<int>(o.retry_policy));
        if (o.table) {
            to.set_table(o.table->value);
        }
        for (const MethodId method : o.methods) {
            to.add_method(method.value);
        }
    }
    void operator()(const order::SetWithdrawn& o) const {
        to.set_kind(records::Order::WITHDRAW), to.set_id(o.server.value), to.set_flag(o.withdrawn);
    }
    void operator()(const order::SendNonce& o) const {
        to.set_kind(records::Order::MARK), to.set_mark(o.nonce.value), to.set_flag(o.to_all);
    }
    void operator()(const order::StartTimer& o) const {
        to.set_kind(records::Order::START_TIMER), to.set_timer(o.timer.value),
            to.set_after(o.after.count());
    }
    void operator()(const order::CheckHealth& o) const {
        to.set_kind(records::Order::PROBE), to.set_id(o.server.value);
    }
    void operator()(const order::Subscribe& o) const {
        to.set_kind(records::Order::SUBSCRIBE), to.set_flag(o.on);
    }
    void operator()(const order::FetchList&) const { to.set_kind(records::Order::FETCH_LIST); }
    void operator()(const order::SendPeerMessage& o) const {
        to.set_kind(records::Order::TELL_PEER), to.set_text(o.text);
        if (o.to) {
            to.set_planner(o.to->value);
        }
    }
    void operator()(const order::LogLine& o) const {
        to.set_kind(records::Order::LOG_LINE), to.set_text(o.text);
    }
};

}  // namespace

records::Event record_of(const Event& event) {
    records::Event to;
    std::visit(EventWriter{to}, event);
    return to;
}

records::Order record_of(const Order& order) {
    records::Order to;
    std::visit(OrderWriter{to}, order);
    return to;
}

records::Terms record_of(const DeploymentSettings& settings) {
    records::Terms to;
    for (const Method& method : settings.methods) {
        auto& out = *to.add_method();
        out.set_soft_deadline(method.soft_deadline.count()),
            out.set_criticality(method.criticality);
        out.set_own_zone_only(method.own_zone_only);
        for (const KindId kind : method.only_kinds) {
            out.add_only_kind(kind.value);
        }
        for (const ZoneId zone : method.only_zones) {
            out.add_only_zone(zone.value);
        }
    }
    to.set_zones(settings.zone_count), to.set_proxies(settings.proxy_count);
    to.set_lines_per_second(settings.channel_lines_per_second),
        to.set_lines_per_message(settings.overhead_lines_per_message);
    to.set_lines_waiting_most(settings.max_pending_lines);
    to.set_messages_most(settings.max_messages_per_proxy),
        to.set_messages_span(settings.message_limit_window.count());
    to.set_report_every(settings.report_interval.count()),
        to.set_message_longest(settings.max_message_delay.count());
    to.set_drain_grace(settings.drain_grace.count()),
        to.set_warm_after(settings.warm_up_duration.count());
    to.set_cold_capacity(settings.cold_capacity_fraction),
        to.set_fall_multiple(settings.overload_factor),
        to.set_fall_span(settings.overload_window.count());
    to.set_dropped_may_serve(settings.unlisted_may_serve);
    to.set_levels(static_cast<int>(settings.admission_kind)),
        to.set_further_tries(static_cast<int>(settings.default_retry_policy));
    to.set_must_subscribe(settings.subscription_required), to.set_slices(settings.slice_count),
        to.set_single_owner(settings.single_owner);
    to.set_owner_lease(settings.owner_lease.count()),
        to.set_write_life(settings.write_lifetime.count());
    return to;
}

records::Head head_of(const DeploymentSettings& settings, const SymbolTable& names,
                      std::uint64_t seed, const std::string& planner, const std::string& build,
                      TimePoint at) {
    records::Head head;
    head.set_schema(kSchema), head.set_build(build), head.set_planner(planner),
        head.set_at(at.time_since_epoch().count());
    head.set_seed(seed);
    *head.mutable_terms() = record_of(settings);
    for (const auto& name : names.methods) {
        head.add_method(name);
    }
    for (const auto& name : names.zones) {
        head.add_zone(name);
    }
    for (const auto& name : names.kinds) {
        head.add_kind(name);
    }
    return head;
}

std::optional<Event> event_of(const records::Event& e) {
    switch (e.kind()) {
        case records::Event::LIST: {
            event::EndpointListUpdate list{static_cast<event::EndpointListUpdate::Form>(e.form()),
                                           {}};
            for (const auto& server : e.server()) {
                list.servers.push_back(server_of(server));
            }
            return list;
        }
        case records::Event::TIMER_DUE:
            return event::TimerExpired{{e.timer()}};
        case records::Event::PROXY_JOINED:
            return event::ProxyJoined{{e.proxy()}, {e.zone()}, e.figure(), e.flag()};
        case records::Event::PROXY_LEFT:
            return event::ProxyLeft{{e.proxy()}};
        case records::Event::MARK_APPLIED:
            return event::Acknowledgement{{e.proxy()}, {e.mark()}};
        case records::Event::OUTCOMES:
            return event::EndpointLoadReport{{e.id()}, {e.zone()},         e.count(),
                                             e.bad(),  Duration{e.mean()}, Duration{e.over()}};
        case records::Event::ARRIVALS:
            return event::DemandReport{
                {e.proxy()}, {e.method()}, e.count(), e.bad(), Duration{e.over()}};
        case records::Event::SLICE_ARRIVALS:
            return event::SliceDemandReport{
                {e.table()}, {e.method()}, e.count(), e.bad(), Duration{e.over()}};
        case records::Event::SLICE_GIVEN:
            return event::SliceAssigned{{e.table()}, e.flag()};
        case records::Event::SLICE_OWNER:
            return event::SliceOwnerReported{{e.table()}, {e.id()}, e.figure()};
        case records::Event::PROBED:
            return event::HealthCheckResult{{e.id()}, e.flag(), Duration{e.mean()}};
        case records::Event::PEER_SAID:
            return event::PeerMessage{{e.proxy()}, e.text()};
    }
    return std::nullopt;
}

DeploymentSettings settings_of(const records::Terms& from) {
    DeploymentSettings to;
    for (const auto& method : from.method()) {
        Method out{
            Duration{method.soft_deadline()}, method.criticality(), method.own_zone_only(), {}, {}};
        for (const int kind : method.only_kind()) {
            out.only_kinds.push_back({kind});
        }
        for (const int zone : method.only_zone()) {
            out.only_zones.push_back({zone});
        }
        to.methods.push_back(std::move(out));
    }
    to.zone_count = from.zones(), to.proxy_count = from.proxies();
    to.channel_lines_per_second = from.lines_per_second(),
    to.overhead_lines_per_message = from.lines_per_message();
    to.max_pending_lines = from.lines_waiting_most();
    to.max_messages_per_proxy = from.messages_most(),
    to.message_limit_window = Duration{from.messages_span()};
    to.report_interval = Duration{from.report_every()},
    to.max_message_delay = Duration{from.message_longest()};
    to.drain_grace = Duration{from.drain_grace()},
    to.warm_up_duration = Duration{from.warm_after()};
    to.cold_capacity_fraction = from.cold_capacity(), to.overload_factor = from.fall_multiple(),
    to.overload_window = Duration{from.fall_span()};
    to.unlisted_may_serve = from.dropped_may_serve();
    to.admission_kind = static_cast<AdmissionKind>(from.levels()),
    to.default_retry_policy = static_cast<RetryPolicy>(from.further_tries());
    to.subscription_required = from.must_subscribe(), to.slice_count = from.slices(),
    to.single_owner = from.single_owner();
    to.owner_lease = Duration{from.owner_lease()}, to.write_lifetime = Duration{from.write_life()};
    return to;
}

std::string text_of(const records::Order& order) {
    std::string text = records::Order::Kind_Name(order.kind());
    if (order.has_table()) {
        text += fmt::format(" table {}", order.table());
    }
    if (order.has_id()) {
        text += " " + order.id();
    }
    if (order.has_proxy()) {
        text += fmt::format(" proxy {}", order.proxy());
    }
    if (order.has_figure()) {
        text += fmt::format(" {:.6g}", order.figure());
    }
    if (order.has_flag()) {
        text += order.flag() ? " yes" : " no";
    }
    if (order.has_mark()) {
        text += fmt::format(" mark {}", order.mark());
    }
    return text;
}

}  // namespace micaroad::record
