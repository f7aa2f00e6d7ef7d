#include "simhost/wire.hpp"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>

#include "settings/deployment_settings.hpp"

namespace micaroad::simhost {
namespace {

using nlohmann::json;

TimePoint instant_of(std::int64_t micros) {
    return TimePoint{duration_of_micros(micros)};
}

// The values of a message, in order; those past the end or null are the type's default.
class Fields {
 public:
    Fields(const json& message, std::size_t next) : message_(message), next_(next) {}
    template <class T>
    T take() {
        const std::size_t at = next_++;
        return at >= message_.size() || message_[at].is_null() ? T{} : message_[at].get<T>();
    }
    template <class T>
    T take_id() {
        return T{take<decltype(T::value)>()};
    }
    Duration take_span() { return duration_of_micros(take<std::int64_t>()); }

 private:
    const json& message_;
    std::size_t next_;
};

event::EndpointListUpdate list_of(Fields fields) {
    event::EndpointListUpdate list;
    const auto form = fields.take<std::string>();
    list.form = form == "update"     ? event::EndpointListUpdate::Form::incremental
                : form == "replace"  ? event::EndpointListUpdate::Form::complete
                : form == "restored" ? event::EndpointListUpdate::Form::restored
                                     : event::EndpointListUpdate::Form::unavailable;
    fields.take<std::int64_t>();  // the list's version: lists come in order
    for (const auto& entry : fields.take<json>()) {
        Fields values(entry, 0);
        ListedEndpoint server;
        server.server = values.take_id<ServerId>();
        server.zone = values.take_id<ZoneId>();
        server.kind = values.take_id<KindId>();
        server.cell = values.take_id<CellId>();
        const auto phase = values.take<std::string>();
        server.phase = phase == "Ready"         ? EndpointPhase::ready
                       : phase == "Terminating" ? EndpointPhase::draining
                                                : EndpointPhase::gone;
        server.size = values.take<double>();
        if (const auto started = values.take<std::int64_t>(); started != 0) {
            server.last_start = instant_of(started);
        }
        list.servers.push_back(std::move(server));
    }
    return list;
}

// Absent for an event that planners have no use for.
std::optional<Event> event_of(const std::string& name, Fields f) {
    if (name == "directory_update") {
        return list_of(f);
    }
    if (name == "deadline_hit") {
        return event::TimerExpired{f.take_id<TimerId>()};
    }
    if (name == "stream_up") {
        event::ProxyJoined joined;
        joined.zone = f.take_id<ZoneId>();
        joined.rpcs_per_second = f.take<double>();
        joined.proxy = f.take_id<ProxyId>();
        joined.initial_table_only = f.take<bool>();
        return joined;
    }
    if (name == "dropped_off") {
        return event::ProxyLeft{f.take_id<ProxyId>()};
    }
    if (name == "in_force") {
        event::Acknowledgement applied;
        applied.proxy = f.take_id<ProxyId>();
        applied.nonce = f.take_id<Nonce>();
        return applied;
    }
    if (name == "roundup") {
        event::EndpointLoadReport met;
        met.failures = f.take<double>();
        met.attempts = f.take<double>();
        met.mean_latency = f.take_span();
        met.proxy_zone = f.take_id<ZoneId>();
        met.server = f.take_id<ServerId>();
        met.window = f.take_span();
        return met;
    }
    if (name == "intake") {
        event::DemandReport came;
        came.window = f.take_span();
        came.requests = f.take<double>();
        came.method = f.take_id<MethodId>();
        came.unanswered = f.take<double>();
        came.proxy = f.take_id<ProxyId>();
        return came;
    }
    if (name == "range_load") {
        event::SliceDemandReport came;
        came.slice = f.take_id<TableId>();
        came.method = f.take_id<MethodId>();
        came.requests = f.take<double>();
        came.unanswered = f.take<double>();
        came.window = f.take_span();
        return came;
    }
    if (name == "leased") {
        event::SliceAssigned given;
        given.slice = f.take_id<TableId>();
        given.ours = f.take<bool>();
        return given;
    }
    if (name == "current_owner") {
        event::SliceOwnerReported owner;
        owner.slice = f.take_id<TableId>();
        owner.server = f.take_id<ServerId>();
        owner.weight = f.take<double>();
        return owner;
    }
    if (name == "health_result") {
        event::HealthCheckResult probed;
        probed.server = f.take_id<ServerId>();
        probed.healthy = f.take<std::string>() == "GOOD";
        probed.latency = f.take_span();
        return probed;
    }
    if (name == "peer_data") {
        event::PeerMessage said;
        said.from = f.take_id<PlannerId>();
        said.text = f.take<std::string>();
        return said;
    }
    throw WireError("unknown event '" + name + "'");
}

std::int64_t lanes_of(const std::vector<MethodId>& methods) {
    std::int64_t lanes = 0;
    for (const auto& method : methods) {
        lanes |= std::int64_t{1} << method.value;
    }
    return lanes;
}

struct ActionOf {
    constexpr static int kEveryProxy = 65535;
    constexpr static int kEveryPeer = -1;
    const std::string& i;

    json operator()(const order::SetTableEntry& o) const {
        return {"set_line", i, o.table.value, o.server.value, o.weight};
    }
    json operator()(const order::ClearTable& o) const { return {"blank", i, o.table.value}; }
    json operator()(const order::BindProxy& o) const {
        return {"pin", i, o.table.value, lanes_of(o.methods), o.proxy.value};
    }
    json operator()(const order::SetAdmission& o) const {
        return {"ration",
                i,
                o.table ? o.table->value : kEveryProxy,
                lanes_of(o.methods),
                o.amount,
                static_cast<int>(o.retry_policy)};
    }
    json operator()(const order::SetWithdrawn& o) const {
        return {"suspend", i, o.server.value, o.withdrawn};
    }
    json operator()(const order::SendNonce& o) const {
        return {"seal", i, o.nonce.value, o.to_all};
    }
    json operator()(const order::StartTimer& o) const {
        return {"timer", i, o.after.count() * kMicrosPerUnit, o.timer.value};
    }
    json operator()(const order::CheckHealth& o) const { return {"ask_load", i, o.server.value}; }
    json operator()(const order::Subscribe& o) const { return {"listen", i, o.on}; }
    json operator()(const order::FetchList&) const { return {"refresh", i}; }
    json operator()(const order::SendPeerMessage& o) const {
        return {"publish", i, o.to ? o.to->value : kEveryPeer, o.text};
    }
    json operator()(const order::LogLine& o) const { return {"journal_line", i, o.text}; }
};

}  // namespace

void Host::take(const json& event) {
    Fields head(event, 0);
    const auto name = head.take<std::string>();
    const auto whom = head.take<std::string>();
    if (whom.empty()) {
        throw WireError("an event names no instance");
    }
    if (name == "kill") {
        instances_.erase(whom);
        std::erase(spoken_to_, whom);
        return;
    }
    if (std::find(spoken_to_.begin(), spoken_to_.end(), whom) == spoken_to_.end()) {
        spoken_to_.push_back(whom);
    }
    std::optional<Event> heard;
    if (name != "launch") {
        heard = event_of(name, head);
    }
    Instance& instance = instances_[whom];
    try {
        if (heard) {
            if (instance.planner) {
                instance.planner->handle(std::move(*heard));
            }
            return;
        }
        const auto seed = head.take<std::uint64_t>();
        DeploymentSettings settings = parse_deployment_settings(head.take<json>());
        instance = Instance{};
        instance.planner.emplace(std::move(settings), seed);
    } catch (const json::exception&) {
        throw;
    } catch (const std::exception& failed) {
        instance = Instance{std::nullopt, failed.what()};
    }
}

std::string Host::answer(const std::string& line) try {
    const json batch = json::parse(line);
    const TimePoint now = instant_of(batch.at("t_us").get<std::int64_t>());
    spoken_to_.clear();
    for (const auto& event : batch.at("inbox")) {
        if (!event.is_array()) {
            throw WireError("an event is not an array");
        }
        take(event);
    }
    json actions = json::array();
    for (const auto& whom : spoken_to_) {
        Instance& instance = instances_[whom];
        try {
            if (instance.planner) {
                for (const auto& order : instance.planner->decide(now)) {
                    actions.push_back(std::visit(ActionOf{whom}, order));
                }
            }
        } catch (const std::exception& failed) {
            instance = Instance{std::nullopt, failed.what()};
        }
        if (!instance.failure.empty()) {
            actions.push_back({"fatal", whom, instance.failure});
        }
    }
    return json{{"do", std::move(actions)}}.dump();
} catch (const json::exception& bad) {
    throw WireError(bad.what());
}

}  // namespace micaroad::simhost
