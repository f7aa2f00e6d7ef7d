#include "simhost/wire.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "settings/deployment_settings.hpp"

namespace micaroad::simhost {
namespace {

using nlohmann::json;

constexpr int kAllProxies = 65535;
constexpr int kAllPeers = -1;

TimePoint time_point_of_micros(std::int64_t micros) {
    return TimePoint{duration_of_micros(micros)};
}

// Reads the values of a message in order. Throws json::exception for a value of the wrong type.
class ValueReader {
 public:
    explicit ValueReader(const json& message) : message_(message) {}

    template <class T>
    T take() {
        const std::size_t at = next_++;
        return at >= message_.size() || message_[at].is_null() ? T{} : message_[at].get<T>();
    }
    template <class T>
    T take_id() {
        return T{take<decltype(T::value)>()};
    }
    Duration take_duration() { return duration_of_micros(take<std::int64_t>()); }

 private:
    const json& message_;
    std::size_t next_ = 0;
};

event::EndpointListUpdate::Form parse_form(std::string_view word) {
    using Form = event::EndpointListUpdate::Form;
    if (word == "update") {
        return Form::incremental;
    }
    if (word == "replace") {
        return Form::complete;
    }
    return word == "restored" ? Form::restored : Form::unavailable;
}

EndpointPhase parse_phase(std::string_view word) {
    if (word == "Ready") {
        return EndpointPhase::ready;
    }
    return word == "Terminating" ? EndpointPhase::draining : EndpointPhase::gone;
}

ListedEndpoint parse_endpoint(const json& entry) {
    ValueReader values(entry);
    ListedEndpoint endpoint;
    endpoint.server = values.take_id<ServerId>();
    endpoint.zone = values.take_id<ZoneId>();
    endpoint.kind = values.take_id<KindId>();
    endpoint.cell = values.take_id<CellId>();
    endpoint.phase = parse_phase(values.take<std::string>());
    endpoint.size = values.take<double>();
    const auto last_start = values.take<std::int64_t>();
    if (last_start != 0) {
        endpoint.last_start = time_point_of_micros(last_start);
    }
    return endpoint;
}

Event parse_endpoint_list_update(ValueReader& values) {
    event::EndpointListUpdate update;
    update.form = parse_form(values.take<std::string>());
    values.take<std::int64_t>();  // the list's version is not used, as lists arrive in order
    for (const json& entry : values.take<json>()) {
        update.servers.push_back(parse_endpoint(entry));
    }
    return update;
}

Event parse_timer_expired(ValueReader& values) {
    return event::TimerExpired{.timer = values.take_id<TimerId>()};
}

// Initializers are evaluated in the order of the members, which differs from the order of the
// values in a message. The functions below therefore read each value in its own statement.

Event parse_proxy_joined(ValueReader& values) {
    event::ProxyJoined joined;
    joined.zone = values.take_id<ZoneId>();
    joined.rpcs_per_second = values.take<double>();
    joined.proxy = values.take_id<ProxyId>();
    joined.initial_table_only = values.take<bool>();
    return joined;
}

Event parse_proxy_left(ValueReader& values) {
    return event::ProxyLeft{.proxy = values.take_id<ProxyId>()};
}

Event parse_acknowledgement(ValueReader& values) {
    event::Acknowledgement acknowledgement;
    acknowledgement.proxy = values.take_id<ProxyId>();
    acknowledgement.nonce = values.take_id<Nonce>();
    return acknowledgement;
}

Event parse_endpoint_load_report(ValueReader& values) {
    event::EndpointLoadReport report;
    report.failures = values.take<double>();
    report.attempts = values.take<double>();
    report.mean_latency = values.take_duration();
    report.proxy_zone = values.take_id<ZoneId>();
    report.server = values.take_id<ServerId>();
    report.window = values.take_duration();
    return report;
}

Event parse_demand_report(ValueReader& values) {
    event::DemandReport report;
    report.window = values.take_duration();
    report.requests = values.take<double>();
    report.method = values.take_id<MethodId>();
    report.unanswered = values.take<double>();
    report.proxy = values.take_id<ProxyId>();
    return report;
}

Event parse_slice_demand_report(ValueReader& values) {
    event::SliceDemandReport report;
    report.slice = values.take_id<TableId>();
    report.method = values.take_id<MethodId>();
    report.requests = values.take<double>();
    report.unanswered = values.take<double>();
    report.window = values.take_duration();
    return report;
}

Event parse_slice_assigned(ValueReader& values) {
    event::SliceAssigned assigned;
    assigned.slice = values.take_id<TableId>();
    assigned.ours = values.take<bool>();
    return assigned;
}

Event parse_slice_owner_reported(ValueReader& values) {
    event::SliceOwnerReported owner;
    owner.slice = values.take_id<TableId>();
    owner.server = values.take_id<ServerId>();
    owner.weight = values.take<double>();
    return owner;
}

Event parse_health_check_result(ValueReader& values) {
    event::HealthCheckResult result;
    result.server = values.take_id<ServerId>();
    result.healthy = values.take<std::string>() == "GOOD";
    result.latency = values.take_duration();
    return result;
}

Event parse_peer_message(ValueReader& values) {
    event::PeerMessage message;
    message.from = values.take_id<PlannerId>();
    message.text = values.take<std::string>();
    return message;
}

struct EventParser {
    std::string_view word;
    Event (*parse)(ValueReader& values);
};

constexpr std::array kEventParsers{
    EventParser{"directory_update", parse_endpoint_list_update},
    EventParser{"deadline_hit", parse_timer_expired},
    EventParser{"stream_up", parse_proxy_joined},
    EventParser{"dropped_off", parse_proxy_left},
    EventParser{"in_force", parse_acknowledgement},
    EventParser{"roundup", parse_endpoint_load_report},
    EventParser{"intake", parse_demand_report},
    EventParser{"range_load", parse_slice_demand_report},
    EventParser{"leased", parse_slice_assigned},
    EventParser{"current_owner", parse_slice_owner_reported},
    EventParser{"health_result", parse_health_check_result},
    EventParser{"peer_data", parse_peer_message},
};

Launch parse_launch(ValueReader& values) {
    Launch launch;
    launch.seed = values.take<std::uint64_t>();
    const json profile = values.take<json>();
    try {
        launch.settings = parse_deployment_settings(profile);
    } catch (const json::exception&) {
        throw;  // the line is malformed, not the settings
    } catch (const std::exception& failure) {
        launch.settings = tl::unexpected<std::string>(failure.what());
    }
    return launch;
}

tl::expected<Command, WireError> parse_command(const std::string& word, ValueReader& values) {
    if (word == "kill") {
        return Kill{};
    }
    if (word == "launch") {
        return parse_launch(values);
    }
    const auto* const parser =
        std::find_if(kEventParsers.begin(), kEventParsers.end(),
                     [&word](const EventParser& candidate) { return candidate.word == word; });
    if (parser == kEventParsers.end()) {
        return tl::unexpected(WireError{"unknown event '" + word + "'"});
    }
    return parser->parse(values);
}

tl::expected<Message, WireError> parse_message(const json& message) {
    if (!message.is_array()) {
        return tl::unexpected(WireError{"event is not an array"});
    }
    ValueReader values(message);
    const auto word = values.take<std::string>();
    auto planner = values.take<std::string>();
    if (planner.empty()) {
        return tl::unexpected(WireError{"event does not name a planner"});
    }
    auto command = parse_command(word, values);
    if (!command) {
        return tl::unexpected(std::move(command.error()));
    }
    return Message{.planner = std::move(planner), .command = std::move(*command)};
}

std::int64_t method_bits(const std::vector<MethodId>& methods) {
    std::int64_t bits = 0;
    for (const MethodId method : methods) {
        bits |= std::int64_t{1} << method.value;
    }
    return bits;
}

json format(const std::string& planner, const order::SetTableEntry& entry) {
    return {"set_line", planner, entry.table.value, entry.server.value, entry.weight};
}

json format(const std::string& planner, const order::ClearTable& clear) {
    return {"blank", planner, clear.table.value};
}

json format(const std::string& planner, const order::BindProxy& binding) {
    return {"pin", planner, binding.table.value, method_bits(binding.methods), binding.proxy.value};
}

json format(const std::string& planner, const order::SetAdmission& admission) {
    const int table = admission.table ? admission.table->value : kAllProxies;
    const int retry_policy = static_cast<int>(admission.retry_policy);
    return {"ration",         planner,     table, method_bits(admission.methods),
            admission.amount, retry_policy};
}

json format(const std::string& planner, const order::SetWithdrawn& withdrawal) {
    return {"suspend", planner, withdrawal.server.value, withdrawal.withdrawn};
}

json format(const std::string& planner, const order::SendNonce& send) {
    return {"seal", planner, send.nonce.value, send.to_all};
}

json format(const std::string& planner, const order::StartTimer& start) {
    return {"timer", planner, start.after.count() * kMicrosPerUnit, start.timer.value};
}

json format(const std::string& planner, const order::CheckHealth& check) {
    return {"ask_load", planner, check.server.value};
}

json format(const std::string& planner, const order::Subscribe& subscribe) {
    return {"listen", planner, subscribe.on};
}

json format(const std::string& planner, const order::FetchList& /*fetch*/) {
    return {"refresh", planner};
}

json format(const std::string& planner, const order::SendPeerMessage& message) {
    const int peer = message.to ? message.to->value : kAllPeers;
    return {"publish", planner, peer, message.text};
}

json format(const std::string& planner, const order::LogLine& line) {
    return {"journal_line", planner, line.text};
}

}  // namespace

tl::expected<Batch, WireError> parse_batch(const std::string& line) try {
    const json parsed = json::parse(line);
    Batch batch;
    batch.now = time_point_of_micros(parsed.at("t_us").get<std::int64_t>());
    for (const json& entry : parsed.at("inbox")) {
        auto message = parse_message(entry);
        if (!message) {
            return tl::unexpected(std::move(message.error()));
        }
        batch.messages.push_back(std::move(*message));
    }
    return batch;
} catch (const json::exception& malformed) {
    return tl::unexpected(WireError{malformed.what()});
}

json format_order(const std::string& planner, const Order& order) {
    return std::visit(
        [&planner](const auto& concrete_order) { return format(planner, concrete_order); }, order);
}

json format_failure(const std::string& planner, const std::string& reason) {
    return {"fatal", planner, reason};
}

tl::expected<std::string, WireError> format_reply(json actions) try {
    return json{{"do", std::move(actions)}}.dump();
} catch (const json::exception& failure) {
    return tl::unexpected(WireError{failure.what()});
}

}  // namespace micaroad::simhost
