#include "planner/core.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "protocol/push_writer.hpp"

namespace micaroad {
namespace {

constexpr Duration kLagSummaryInterval = std::chrono::seconds(15);

// A load report may name a server that was never listed, in any length; the log quotes at most this
// many bytes of the name.
constexpr std::size_t kMaxLoggedName = 40;

}  // namespace

Core::Core(const DeploymentSettings& settings, SymbolTable names, std::uint64_t seed,
           Transport& transport, Log& log, Observer* observer)
    : names_(std::move(names)),
      subscription_required_(settings.subscription_required),
      transport_(transport),
      log_(log),
      observer_(observer),
      planner_(settings, seed),
      update_builder_(names_.methods.size()),
      endpoints_(names_, log) {
    if (settings.slice_count > 0) {
        log_.warn("core: slices not supported by the protocol slice_count={}",
                  settings.slice_count);
    }
}

void Core::process(std::vector<Inbox::Item>& items, TimePoint now) {
    now_ = now;
    endpoints_.expire_removals(
        now, [this](const ServerId& server) { return update_builder_.forget(server); });
    for (Inbox::Item& item : items) {
        std::visit([this](auto& event) { handle(event); }, item.event);
    }
    expire_timers();
    const std::vector<Order> orders = planner_.decide(now);
    if (observer_ != nullptr) {
        observer_->on_decision(now, orders);
    }
    for (const Order& order : orders) {
        execute(order);
    }
    log_admissions();
    const std::vector<ProxyUpdate> updates = update_builder_.build_updates(orders);
    const std::size_t suppressed = update_builder_.take_suppressed_orders();
    if (suppressed > 0) {
        log_.error(
            "core: orders suppressed count={} reason=\"their servers are withdrawn and no "
            "longer listed\"",
            suppressed);
    }
    for (const ProxyUpdate& update : updates) {
        send(update);
    }
}

std::optional<TimePoint> Core::next_due() const {
    return timers_.empty() ? std::nullopt : std::optional{timers_.begin()->first};
}

void Core::expire_timers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        pass_to_planner(event::TimerExpired{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
}

void Core::pass_to_planner(Event event) {
    if (observer_ != nullptr) {
        observer_->on_event(event);
    }
    planner_.handle(std::move(event));
}

void Core::send(const ProxyUpdate& update) {
    const auto stream = streams_.find(update.proxy);
    if (stream == streams_.end()) {
        return;
    }
    ++lag_.updates;
    lag_.update_lines += static_cast<std::int64_t>(update.channel_lines());
    const auto message = protocol::format_update(update, names_);
    if (!message) {
        log_.error("core: update too large for one message proxy={} lines={}", update.proxy.value,
                   update.channel_lines());
        return;
    }
    transport_.write(stream->second, *message);
}

// A proxy's new stream may open before the end of its old one is detected. Streams are numbered in
// the order in which they were accepted; the one with the larger number is the proxy's current one.
void Core::handle(core_event::StreamOpened& opened) {
    const event::ProxyJoined& joined = opened.joined;
    const ProxyId proxy = joined.proxy;
    const auto current = streams_.find(proxy);
    if (current != streams_.end()) {
        const StreamId old_stream = current->second;
        if (opened.stream < old_stream) {
            transport_.close(opened.stream);
            return;
        }
        log_.info("core: stream replaced proxy={} stream={} old_stream={}", proxy.value,
                  opened.stream.value, old_stream.value);
        transport_.close(old_stream);
        remove_proxy(proxy, old_stream);
    }
    log_.info("core: proxy joined proxy={} zone={} rpcs_per_second={} initial_table_only={}",
              proxy.value, names_.zone(joined.zone), joined.rpcs_per_second,
              joined.initial_table_only);
    streams_[proxy] = opened.stream;
    proxies_[opened.stream] = proxy;
    update_builder_.on_proxy_joined(proxy);
    pass_to_planner(joined);
}

void Core::handle(core_event::StreamAcknowledged& acknowledged) {
    if (!proxies_.contains(acknowledged.stream)) {
        return;  // the stream was replaced
    }
    const event::Acknowledgement& acknowledgement = acknowledged.acknowledgement;
    if (!update_builder_.on_acknowledgement(acknowledgement.proxy, acknowledgement.nonce)) {
        log_.warn(
            "core: acknowledgement dropped proxy={} nonce={} reason=\"not pending on its "
            "stream\"",
            acknowledgement.proxy.value, acknowledgement.nonce.value);
        return;
    }
    pass_to_planner(acknowledgement);
}

void Core::handle(core_event::StreamClosed& closed) {
    const auto found = proxies_.find(closed.stream);
    if (found == proxies_.end()) {
        return;
    }
    const ProxyId proxy = found->second;
    log_.info("core: proxy left proxy={} reason={:?}", proxy.value, closed.reason);
    remove_proxy(proxy, closed.stream);
}

void Core::remove_proxy(ProxyId proxy, StreamId stream) {
    proxies_.erase(stream);
    streams_.erase(proxy);
    update_builder_.on_proxy_left(proxy);
    pass_to_planner(event::ProxyLeft{proxy});
}

void Core::handle(core_event::ReportReceived& received) {
    const auto* load = std::get_if<event::EndpointLoadReport>(&received.report);
    if (load != nullptr && !endpoints_.is_or_was_listed(load->server)) {
        log_.warn("core: load report dropped server={} reason=\"never listed\"",
                  load->server.value.substr(0, kMaxLoggedName));
        return;
    }
    std::visit([this](const auto& report) { pass_to_planner(report); }, received.report);
}

void Core::handle(core_event::EndpointListReceived& received) {
    protocol::EndpointListMessage& message = received.message;
    switch (endpoints_.apply(message, now_)) {
        case ListResult::ignored:
            return;
        case ListResult::complete_list_needed:
            transport_.fetch_list();
            return;
        case ListResult::applied:
            break;
    }
    update_builder_.on_endpoint_list(message.list);
    pass_to_planner(std::move(message.list));
}

// If the deployment requires a subscription, the planner is told that the list is unavailable, so
// that it subscribes again. Otherwise the watch reconnects by itself.
void Core::handle(core_event::WatchLost& /*lost*/) {
    if (subscription_required_) {
        pass_to_planner(
            event::EndpointListUpdate{event::EndpointListUpdate::Form::unavailable, {}});
    }
}

void Core::handle(core_event::HealthCheckCompleted& completed) {
    const ServerId& server = completed.result.server;
    const bool awaited = health_checks_.erase(server) > 0;
    if (awaited && endpoints_.find(server) != nullptr) {
        pass_to_planner(completed.result);
    }
}

// A reload changes only the address of discovery; the current endpoint list is kept.
void Core::handle(core_event::ConfigurationReloaded& reloaded) {
    const ReloadedConfiguration& configuration = reloaded.configuration;
    log_.info("configuration: reloaded discovery={}", configuration.discovery);
    for (const std::string& key : configuration.restart_required_keys) {
        log_.warn("configuration: change needs a restart key={}", key);
    }
    transport_.follow(configuration.discovery);
}

void Core::handle(core_event::StopRequested& /*requested*/) {
    stopping_ = true;
}

void Core::execute(const Order& order) {
    std::visit([this](const auto& specific) { execute(specific); }, order);
    if (!UpdateBuilder::is_supported(order)) {
        warn_of_unsupported(order);
    }
}

void Core::execute(const order::StartTimer& order) {
    timers_.emplace(now_ + order.after, order.timer);
}

void Core::execute(const order::CheckHealth& order) {
    const KnownEndpoint* const endpoint = endpoints_.find(order.server);
    if (endpoint == nullptr) {
        return;
    }
    const bool started = health_checks_.insert(order.server).second;
    if (started) {
        transport_.check_health(order.server, endpoint->address);
    }
}

void Core::execute(const order::SetAdmission& order) {
    for (const MethodId method : order.methods) {
        double& lowest = ordered_admissions_.try_emplace(method, order.amount).first->second;
        lowest = std::min(lowest, order.amount);
    }
}

// Logs only changes.
void Core::log_admissions() {
    for (const auto& [method, amount] : std::exchange(ordered_admissions_, {})) {
        double& last = admissions_.try_emplace(method, 1).first->second;
        if (std::exchange(last, amount) != amount) {
            log_.info("core: admission changed method={} amount={:.2f}", names_.method(method),
                      amount);
        }
    }
}

void Core::execute(const order::SetWithdrawn& order) {
    log_.info("core: server {} server={}", order.withdrawn ? "withdrawn" : "reinstated",
              order.server.value);
}

void Core::execute(const order::FetchList& /*order*/) {
    transport_.fetch_list();
}

void Core::execute(const order::LogLine& order) {
    log_.info("core: planner message text={:?}", order.text);
}

void Core::warn_of_unsupported(const Order& order) {
    const bool first = unsupported_order_kinds_.insert(order.index()).second;
    if (first) {
        log_.warn("core: order not supported by the protocol order_kind={}", order.index());
    }
}

void Core::record_lag(const std::vector<Inbox::Item>& items, TimePoint done) {
    for (const Inbox::Item& item : items) {
        lag_.add_event(std::max(done - item.enqueued_at, Duration{}));
    }
    if (done - lag_.since < kLagSummaryInterval) {
        return;
    }
    const bool first = lag_.since == TimePoint{};
    if (!first) {
        log_.info(
            "core: decision lag mean_ms={:.1f} longest_ms={:.1f} events={} updates={} "
            "update_lines={} proxies={}",
            lag_.mean_ms(), to_milliseconds(lag_.longest), lag_.events, lag_.updates,
            lag_.update_lines, streams_.size());
    }
    lag_ = LagStatistics{.since = done};
}

}  // namespace micaroad
