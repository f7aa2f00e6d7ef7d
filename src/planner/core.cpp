#include "planner/core.hpp"

#include <algorithm>
#include <chrono>

#include "protocol/push_writer.hpp"

namespace micaroad {
namespace {

constexpr Duration kLagSaidEvery = std::chrono::seconds(15);

double ms(Duration span) {
    return static_cast<double>(span.count()) / 10;
}

const char* name_of(EndpointPhase phase) {
    return phase == EndpointPhase::ready      ? "ready"
           : phase == EndpointPhase::draining ? "draining"
                                              : "gone";
}

}  // namespace

Core::Core(const DeploymentSettings& settings, SymbolTable names, std::uint64_t seed,
           Transport& transport, Log& log, Observer* observer)
    : names_(std::move(names)),
      subscribed_(settings.subscription_required),
      transport_(transport),
      log_(log),
      observer_(observer),
      planner_(settings, seed),
      update_builder_(names_.methods.size()) {
    if (settings.slice_count > 0) {
        log_.warn("the settings name {} slices: this protocol has no words for them",
                  settings.slice_count);
    }
}

void Core::turn(std::vector<Inbox::Item>& items, TimePoint now) {
    now_ = now;
    forget_removed();
    for (auto& item : items) {
        std::visit([this](auto& arrived) { handle(arrived); }, item.arrival);
    }
    for (; !timers_.empty() && timers_.begin()->first <= now; timers_.erase(timers_.begin())) {
        tell_module(event::TimerExpired{timers_.begin()->second});
    }
    const std::vector<Order> orders = planner_.decide(now);
    if (observer_ != nullptr) {
        observer_->on_decision(now, orders);
    }
    for (const Order& order : orders) {
        carry_out(order, now);
    }
    const std::vector<ProxyUpdate> updates = update_builder_.build_updates(orders);
    if (const std::size_t barred = update_builder_.take_suppressed_orders(); barred > 0) {
        log_.error("{} orders not written: they name servers that are off the list and withdrawn",
                   barred);
    }
    for (const ProxyUpdate& update : updates) {
        const auto stream = streams_.find(update.proxy);
        if (stream == streams_.end()) {
            continue;
        }
        ++lag_.updates, lag_.lines += static_cast<std::int64_t>(update.channel_lines());
        const auto message = protocol::format_update(update, names_);
        if (message) {
            transport_.write(stream->second, *message);
        } else {
            log_.error("proxy {}: an order of {} lines is too large for one message",
                       update.proxy.value, update.channel_lines());
        }
    }
}

void Core::tell_module(Event event) {
    if (observer_ != nullptr) {
        observer_->on_event(event);
    }
    planner_.handle(std::move(event));
}

std::optional<TimePoint> Core::next_due() const {
    return timers_.empty() ? std::nullopt : std::optional{timers_.begin()->first};
}

// A new stream may come before the old one is seen to end, and its end later still.
void Core::handle(core_event::StreamOpened& begun) {
    const ProxyId proxy = begun.joined.proxy;
    if (const auto old = streams_.find(proxy); old != streams_.end()) {
        if (begun.stream < old->second) {
            return transport_.close(begun.stream);
        }
        log_.info("proxy {}: a new stream replaces its old one", proxy.value);
        transport_.close(old->second);
        leave(proxy, old->second);
    }
    log_.info("proxy {} joined from {}, about {} RPCs a second{}", proxy.value,
              names_.zone(begun.joined.zone), begun.joined.rpcs_per_second,
              begun.joined.initial_table_only ? ", with a table of its start" : "");
    streams_[proxy] = begun.stream;
    proxies_[begun.stream] = proxy;
    update_builder_.on_proxy_joined(proxy);
    tell_module(begun.joined);
}

void Core::handle(core_event::StreamAcknowledged& answered) {
    if (!proxies_.contains(answered.stream)) {
        return;  // of a stream that was replaced
    }
    const auto& [proxy, mark] = answered.acknowledgement;
    if (!update_builder_.on_acknowledgement(proxy, mark)) {
        return log_.warn("proxy {} answers mark {}, which is not open on its stream: dropped",
                         proxy.value, mark.value);
    }
    tell_module(answered.acknowledgement);
}

void Core::handle(core_event::StreamClosed& ended) {
    const auto at = proxies_.find(ended.stream);
    if (at == proxies_.end()) {
        return;
    }
    const ProxyId proxy = at->second;
    log_.info("proxy {} left: {}", proxy.value, ended.reason);
    leave(proxy, ended.stream);
}

void Core::leave(ProxyId proxy, StreamId stream) {
    proxies_.erase(stream);
    streams_.erase(proxy);
    update_builder_.on_proxy_left(proxy);
    tell_module(event::ProxyLeft{proxy});
}

void Core::handle(core_event::ReportReceived& reported) {
    if (const auto* met = std::get_if<event::EndpointLoadReport>(&reported.report);
        met && !held_.contains(met->server) && !removed_.contains(met->server)) {
        return log_.warn("a report on {}, which was never listed, is dropped",
                         met->server.value.substr(0, 40));
    }
    std::visit([this](auto& report) { tell_module(report); }, reported.report);
}

void Core::handle(core_event::EndpointListReceived& told) {
    auto& [version, list, addresses, dropped] = told.message;
    const bool complete = list.form == event::EndpointListUpdate::Form::complete;
    if (foreign(list)) {
        log_.error(
            "discovery: version {} names no server of our zones and kinds: nothing of it is taken",
            version);
        return complete ? void() : transport_.fetch_list();  // the whole list tells whose it is
    }
    if (!complete && version <= version_) {
        if (list.servers.empty()) {
            return;
        }
        log_.warn("discovery: changes of version {} dropped, {} is held", version, version_);
        // Either they came twice, or discovery counts anew: the whole list tells.
        return version < version_ ? transport_.fetch_list() : void();
    }
    if (complete && version < version_) {
        drop_removed(list);
    }
    version_ = version;
    // What was known of a server stands where its new entry can't be used: it is listed all the
    // same.
    for (const auto& [server, why] : dropped) {
        log_.warn("discovery: the entry of '{}' is dropped: {}", server.value,
                  protocol::describe(why));
        const auto old = held_.find(server);
        if (!complete || old == held_.end() || addresses.contains(server)) {
            continue;
        }
        list.servers.push_back(old->second.entry);
        addresses[server] = old->second.address;
    }
    for (const ServerId& server : complete ? missing_in(list) : std::vector<ServerId>{}) {
        held_.erase(server);
        removed_[server] = now_;
    }
    for (const ListedEndpoint& server : list.servers) {
        if (server.phase == EndpointPhase::gone) {
            held_.erase(server.server), removed_[server.server] = now_;
        } else {
            held_[server.server] = {server, std::move(addresses[server.server])};
        }
        if (!complete) {
            log_.info("server {} is {}", server.server.value, name_of(server.phase));
        }
    }
    log_.info("discovery: version {}, {} of {} servers{}", version, list.servers.size(),
              held_.size(), complete ? ", the whole list" : "");
    addresses.clear(), dropped.clear();  // the arrival stays until the module has decided
    update_builder_.on_endpoint_list(list);
    tell_module(std::move(list));
}

// Guards against another deployment's discovery: its servers would take our RPCs. A list that names
// some of ours and new zones or kinds is ours, and grown.
bool Core::foreign(const event::EndpointListUpdate& list) const {
    bool any = false;
    for (const ListedEndpoint& server : list.servers) {
        if (server.phase == EndpointPhase::gone) {
            continue;
        }
        const auto told = [](int place, const std::vector<std::string>& names) {
            return names.empty() || place < std::ssize(names);
        };
        if (told(server.zone.value, names_.zones) && told(server.kind.value, names_.kinds)) {
            return false;
        }
        any = true;
    }
    return any;
}

std::vector<ServerId> Core::missing_in(const event::EndpointListUpdate& list) const {
    std::set<ServerId> named;
    for (const ListedEndpoint& server : list.servers) {
        named.insert(server.server);
    }
    std::vector<ServerId> missing;
    for (const auto& [id, held] : held_) {
        if (!named.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

void Core::forget_removed() {
    std::erase_if(removed_, [this](const auto& removed) {
        const auto& [server, since] = removed;
        if (now_ - since <= kRemovedStands) {
            return false;
        }
        return held_.contains(server) || update_builder_.forget(server);
    });
}

void Core::drop_removed(event::EndpointListUpdate& list) {
    std::erase_if(list.servers, [this](const ListedEndpoint& server) {
        const auto at = removed_.find(server.server);
        const bool stands = at != removed_.end() && now_ - at->second <= kRemovedStands &&
                            server.last_start.value_or(TimePoint{}) < at->second;
        if (stands) {
            log_.warn("discovery: {} was removed, an older list does not bring it back",
                      server.server.value);
        }
        return stands;
    });
}

// Where a planner must ask for the list, the module asks again; elsewhere the watch comes back by
// itself.
void Core::handle(core_event::WatchLost&) {
    if (subscribed_) {
        tell_module(event::EndpointListUpdate{event::EndpointListUpdate::Form::unavailable, {}});
    }
}

void Core::handle(core_event::HealthCheckCompleted& ended) {
    if (probed_.erase(ended.result.server) > 0 && held_.contains(ended.result.server)) {
        tell_module(ended.result);
    }
}

// A reload changes where the list comes from, and nothing that is held.
void Core::handle(core_event::ConfigurationReloaded& reloaded) {
    const auto& [discovery, restart_required_keys] = reloaded.configuration;
    log_.info("reload: discovery is at {}", discovery);
    for (const std::string& key : restart_required_keys) {
        log_.warn("reload: '{}' differs: it counts at the next start", key);
    }
    transport_.follow(discovery);
}

void Core::carry_out(const Order& order, TimePoint now) {
    if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
        timers_.emplace(now + timer->after, timer->timer);
    } else if (const auto* probe = std::get_if<order::CheckHealth>(&order)) {
        const auto held = held_.find(probe->server);
        if (held != held_.end() && probed_.insert(probe->server).second) {
            transport_.probe(probe->server, held->second.address);
        }
    } else if (const auto* level = std::get_if<order::SetAdmission>(&order)) {
        for (const MethodId method : level->methods) {
            double& last = levels_.try_emplace(method, 1).first->second;
            if (std::exchange(last, level->amount) == level->amount) {
                continue;
            }
            log_.info("level of {}: {:.2f}", names_.method(method), level->amount);
        }
    } else if (const auto* withdrawal = std::get_if<order::SetWithdrawn>(&order)) {
        log_.info("server {} is {}", withdrawal->server.value,
                  withdrawal->withdrawn ? "withdrawn" : "let back");
    } else if (std::holds_alternative<order::FetchList>(order)) {
        transport_.fetch_list();
    } else if (const auto* line = std::get_if<order::LogLine>(&order)) {
        log_.info("module: {}", line->text);
    } else if (!UpdateBuilder::is_supported(order) && unserved_.insert(order.index()).second) {
        log_.warn("the module orders what this protocol has no words for (order {}): not served",
                  order.index());
    }
}

void Core::note_lag(const std::vector<Inbox::Item>& items, TimePoint done) {
    for (const auto& item : items) {
        const Duration lag = std::max(done - item.at, Duration{});
        lag_.longest = std::max(lag_.longest, lag);
        lag_.sum += lag, ++lag_.number;
    }
    if (done - lag_.since < kLagSaidEvery) {
        return;
    }
    if (lag_.since != TimePoint{}) {
        const double mean = lag_.number > 0 ? ms(lag_.sum) / static_cast<double>(lag_.number) : 0;
        log_.info(
            "from arrival to orders: mean {:.1f} ms, longest {:.1f} ms of {} arrivals; "
            "{} messages with {} lines; {} proxies joined",
            mean, ms(lag_.longest), lag_.number, lag_.updates, lag_.lines, streams_.size());
    }
    lag_ = {done, {}, {}, 0, 0, 0};
}

}  // namespace micaroad
