#include "planner/core.hpp"

#include <algorithm>
#include <chrono>

#include "protocol/push_writer.hpp"

namespace micaroad {
namespace {

constexpr Span kLagSaidEvery = std::chrono::seconds(15);

double ms(Span span) { return static_cast<double>(span.count()) / 10; }

const char* name_of(Phase phase) {
    return phase == Phase::ready ? "ready" : phase == Phase::draining ? "draining" : "gone";
}

}  // namespace

Core::Core(const Terms& terms, Names names, std::uint64_t seed, Outlet& outlet, Log& log, Witness* witness)
    : names_(std::move(names)),
      subscribed_(terms.must_subscribe),
      outlet_(outlet),
      log_(log),
      witness_(witness),
      planner_(terms, seed),
      outbox_(names_.methods.size()) {
    if (terms.slices > 0)
        log_.warn("the settings name {} slices: this protocol has no words for them", terms.slices);
}

void Core::turn(std::vector<Inbox::Item>& items, Instant now) {
    now_ = now;
    forget_removed();
    for (auto& item : items) std::visit([this](auto& arrived) { hear(arrived); }, item.arrival);
    for (; !timers_.empty() && timers_.begin()->first <= now; timers_.erase(timers_.begin())) {
        tell_module(event::TimerDue{timers_.begin()->second});
    }
    const std::vector<Order> orders = planner_.decide(now);
    if (witness_ != nullptr) witness_->decided(now, orders);
    for (const Order& order : orders) carry_out(order, now);
    const std::vector<Letter> letters = outbox_.letters(orders);
    if (const std::size_t barred = outbox_.barred(); barred > 0)
        log_.error("{} orders not written: they name servers that are off the list and withdrawn", barred);
    for (const Letter& letter : letters) {
        const auto stream = streams_.find(letter.proxy);
        if (stream == streams_.end()) continue;
        ++lag_.letters, lag_.lines += static_cast<std::int64_t>(letter.channel_lines());
        const auto message = protocol::write_push(letter, names_);
        if (message)
            outlet_.write(stream->second, *message);
        else
            log_.error("proxy {}: an order of {} lines is too large for one message", letter.proxy.value,
                       letter.channel_lines());
    }
}

void Core::tell_module(Event event) {
    if (witness_ != nullptr) witness_->heard(event);
    planner_.hear(std::move(event));
}

std::optional<Instant> Core::next_due() const {
    return timers_.empty() ? std::nullopt : std::optional{timers_.begin()->first};
}

// A new stream may come before the old one is seen to end, and its end later still.
void Core::hear(arrival::StreamBegun& begun) {
    const ProxyId proxy = begun.joined.proxy;
    if (const auto old = streams_.find(proxy); old != streams_.end()) {
        if (begun.stream < old->second) return outlet_.close(begun.stream);
        log_.info("proxy {}: a new stream replaces its old one", proxy.value);
        outlet_.close(old->second);
        leave(proxy, old->second);
    }
    log_.info("proxy {} joined from {}, about {} RPCs a second{}", proxy.value,
              names_.zone(begun.joined.zone), begun.joined.rpcs_per_second,
              begun.joined.standing_only ? ", with a table of its start" : "");
    streams_[proxy] = begun.stream;
    proxies_[begun.stream] = proxy;
    outbox_.joined(proxy);
    tell_module(begun.joined);
}

void Core::hear(arrival::StreamAnswered& answered) {
    if (!proxies_.contains(answered.stream)) return;  // of a stream that was replaced
    const auto& [proxy, mark] = answered.applied;
    if (!outbox_.answered(proxy, mark))
        return log_.warn("proxy {} answers mark {}, which is not open on its stream: dropped", proxy.value,
                         mark.value);
    tell_module(answered.applied);
}

void Core::hear(arrival::StreamEnded& ended) {
    const auto at = proxies_.find(ended.stream);
    if (at == proxies_.end()) return;
    const ProxyId proxy = at->second;
    log_.info("proxy {} left: {}", proxy.value, ended.why);
    leave(proxy, ended.stream);
}

void Core::leave(ProxyId proxy, StreamId stream) {
    proxies_.erase(stream);
    streams_.erase(proxy);
    outbox_.left(proxy);
    tell_module(event::ProxyLeft{proxy});
}

void Core::hear(arrival::Reported& reported) {
    if (const auto* met = std::get_if<event::Outcomes>(&reported.report);
        met && !held_.contains(met->server) && !removed_.contains(met->server))
        return log_.warn("a report on {}, which was never listed, is dropped",
                         met->server.value.substr(0, 40));
    std::visit([this](auto& report) { tell_module(report); }, reported.report);
}

void Core::hear(arrival::ListTold& told) {
    auto& [version, list, addresses, dropped] = told.said;
    const bool complete = list.form == event::List::Form::complete;
    if (foreign(list)) {
        log_.error("discovery: version {} names no server of our zones and kinds: nothing of it is taken",
                   version);
        return complete ? void() : outlet_.fetch_list();  // the whole list tells whose it is
    }
    if (!complete && version <= version_) {
        if (list.servers.empty()) return;
        log_.warn("discovery: changes of version {} dropped, {} is held", version, version_);
        // Either they came twice, or discovery counts anew: the whole list tells.
        return version < version_ ? outlet_.fetch_list() : void();
    }
    if (complete && version < version_) drop_removed(list);
    version_ = version;
    // What was known of a server stands where its new entry can't be used: it is listed all the same.
    for (const auto& [server, why] : dropped) {
        log_.warn("discovery: the entry of '{}' is dropped: {}", server.value, why);
        const auto old = held_.find(server);
        if (!complete || old == held_.end() || addresses.contains(server)) continue;
        list.servers.push_back(old->second.entry);
        addresses[server] = old->second.address;
    }
    for (const ServerId& server : complete ? missing_in(list) : std::vector<ServerId>{}) {
        held_.erase(server);
        removed_[server] = now_;
    }
    for (const ListedServer& server : list.servers) {
        if (server.phase == Phase::gone)
            held_.erase(server.server), removed_[server.server] = now_;
        else
            held_[server.server] = {server, std::move(addresses[server.server])};
        if (!complete) log_.info("server {} is {}", server.server.value, name_of(server.phase));
    }
    log_.info("discovery: version {}, {} of {} servers{}", version, list.servers.size(), held_.size(),
              complete ? ", the whole list" : "");
    addresses.clear(), dropped.clear();  // the arrival stays until the module has decided
    outbox_.heard(list);
    tell_module(std::move(list));
}

// Guards against another deployment's discovery: its servers would take our RPCs. A list that names some of
// ours and new zones or kinds is ours, and grown.
bool Core::foreign(const event::List& list) const {
    bool any = false;
    for (const ListedServer& server : list.servers) {
        if (server.phase == Phase::gone) continue;
        const auto told = [](int place, const std::vector<std::string>& names) {
            return names.empty() || place < std::ssize(names);
        };
        if (told(server.zone.value, names_.zones) && told(server.kind.value, names_.kinds)) return false;
        any = true;
    }
    return any;
}

std::vector<ServerId> Core::missing_in(const event::List& list) const {
    std::set<ServerId> named;
    for (const ListedServer& server : list.servers) named.insert(server.server);
    std::vector<ServerId> missing;
    for (const auto& [id, held] : held_) {
        if (!named.contains(id)) missing.push_back(id);
    }
    return missing;
}

void Core::forget_removed() {
    std::erase_if(removed_, [this](const auto& removed) {
        const auto& [server, since] = removed;
        if (now_ - since <= kRemovedStands) return false;
        return held_.contains(server) || outbox_.forget(server);
    });
}

void Core::drop_removed(event::List& list) {
    std::erase_if(list.servers, [this](const ListedServer& server) {
        const auto at = removed_.find(server.server);
        const bool stands = at != removed_.end() && now_ - at->second <= kRemovedStands &&
                            server.last_start.value_or(Instant{}) < at->second;
        if (stands)
            log_.warn("discovery: {} was removed, an older list does not bring it back", server.server.value);
        return stands;
    });
}

// Where a planner must ask for the list, the module asks again; elsewhere the watch comes back by itself.
void Core::hear(arrival::WatchLost&) {
    if (subscribed_) tell_module(event::List{event::List::Form::unavailable, {}});
}

void Core::hear(arrival::ProbeEnded& ended) {
    if (probed_.erase(ended.probed.server) > 0 && held_.contains(ended.probed.server)) {
        tell_module(ended.probed);
    }
}

// A reload changes where the list comes from, and nothing that is held.
void Core::hear(arrival::Reloaded& reloaded) {
    const auto& [discovery, unheeded] = reloaded.reread;
    log_.info("reload: discovery is at {}", discovery);
    for (const std::string& key : unheeded)
        log_.warn("reload: '{}' differs: it counts at the next start", key);
    outlet_.follow(discovery);
}

void Core::carry_out(const Order& order, Instant now) {
    if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
        timers_.emplace(now + timer->after, timer->timer);
    } else if (const auto* probe = std::get_if<order::Probe>(&order)) {
        const auto held = held_.find(probe->server);
        if (held != held_.end() && probed_.insert(probe->server).second) {
            outlet_.probe(probe->server, held->second.address);
        }
    } else if (const auto* level = std::get_if<order::SetLevel>(&order)) {
        for (const MethodId method : level->methods) {
            double& last = levels_.try_emplace(method, 1).first->second;
            if (std::exchange(last, level->amount) == level->amount) continue;
            log_.info("level of {}: {:.2f}", names_.method(method), level->amount);
        }
    } else if (const auto* withdrawal = std::get_if<order::Withdraw>(&order)) {
        log_.info("server {} is {}", withdrawal->server.value, withdrawal->out ? "withdrawn" : "let back");
    } else if (std::holds_alternative<order::FetchList>(order)) {
        outlet_.fetch_list();
    } else if (const auto* line = std::get_if<order::LogLine>(&order)) {
        log_.info("module: {}", line->text);
    } else if (!Outbox::served(order) && unserved_.insert(order.index()).second) {
        log_.warn("the module orders what this protocol has no words for (order {}): not served",
                  order.index());
    }
}

void Core::note_lag(const std::vector<Inbox::Item>& items, Instant done) {
    for (const auto& item : items) {
        const Span lag = std::max(done - item.at, Span{});
        lag_.longest = std::max(lag_.longest, lag);
        lag_.sum += lag, ++lag_.number;
    }
    if (done - lag_.since < kLagSaidEvery) return;
    if (lag_.since != Instant{}) {
        const double mean = lag_.number > 0 ? ms(lag_.sum) / static_cast<double>(lag_.number) : 0;
        log_.info(
            "from arrival to orders: mean {:.1f} ms, longest {:.1f} ms of {} arrivals; "
            "{} messages with {} lines; {} proxies joined",
            mean, ms(lag_.longest), lag_.number, lag_.letters, lag_.lines, streams_.size());
    }
    lag_ = {done, {}, {}, 0, 0, 0};
}

}  // namespace micaroad
