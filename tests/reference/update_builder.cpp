/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
#include "reference/update_builder.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace micaroad::reference {

void UpdateBuilder::on_endpoint_list(const event::EndpointListUpdate& list) {
    std::set<ServerId> named_servers;
    for (const ListedEndpoint& server : list.servers) {
        named_servers.insert(server.server);
        server.phase == EndpointPhase::gone ? (void)listed_.erase(server.server)
                                            : (void)listed_.insert(server.server);
        const bool steady = server.phase == EndpointPhase::ready && !server.last_start;
        if (!steady) {
            steady_.erase(server.server);
        } else if (!has_list_) {
            steady_.insert(server.server);
        }
    }
    if (list.form == event::EndpointListUpdate::Form::complete) {
        for (auto* set : {&steady_, &listed_}) {
            std::erase_if(*set, [&named_servers](const ServerId& server) {
                return !named_servers.contains(server);
            });
        }
    }
    has_list_ = true;
}

void UpdateBuilder::on_proxy_joined(ProxyId proxy) {
    proxies_[proxy].joined = true;
}

// Other planners may withdraw servers at the proxy from now on, so the notices only tell which
// servers its next binding must reinstate.
void UpdateBuilder::on_proxy_left(ProxyId number) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) {
        return;
    }
    Proxy& proxy = at->second;
    proxy.joined = false;
    for (const auto& [method, table] : proxy.bound) {
        bound_proxies_[table].erase(number);
    }
    proxy.bound.clear();
    proxy.unacknowledged.clear();
    for (auto& [server, notice] : proxy.notices) {
        notice.on_this_stream = false;
    }
}

// A proxy applies updates in sequence: an acknowledgement covers all earlier updates.
bool UpdateBuilder::on_acknowledgement(ProxyId number, Nonce nonce) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) {
        return false;
    }
    auto& [joined, bound, notices, unacknowledged] = at->second;
    const auto has_nonce = [&nonce](Nonce sent) { return sent == nonce; };
    if (std::none_of(unacknowledged.begin(), unacknowledged.end(), has_nonce)) {
        return false;
    }
    for (bool is_last = false; !is_last; unacknowledged.pop_front()) {
        is_last = has_nonce(unacknowledged.front());
    }
    return true;
}

bool UpdateBuilder::forget(const ServerId& server) {
    if (!withdrawn_.contains(server) && is_in_table(server)) {
        return false;
    }
    for (auto& [number, table] : tables_) {
        table.entries.erase(server);
    }
    withdrawn_.erase(server);
    for (auto& [number, proxy] : proxies_) {
        proxy.notices.erase(server);
    }
    return true;
}

std::vector<ProxyUpdate> UpdateBuilder::build_updates(const std::vector<Order>& orders) {
    for (const Order& order : orders) {
        std::visit([this](const auto& o) { apply(o); }, order);
    }
    std::vector<ProxyUpdate> updates;
    for (auto& [number, update] : std::exchange(drafts_, {})) {
        if (update.nonce) {
            auto& unacknowledged = proxies_[number].unacknowledged;
            unacknowledged.push_back(*update.nonce);
            if (unacknowledged.size() > kMaxUnacknowledged) {
                unacknowledged.pop_front();
            }
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

bool UpdateBuilder::is_supported(const Order& order) {
    return !std::holds_alternative<order::SendPeerMessage>(order);
}

void UpdateBuilder::apply(const order::SetTableEntry& o) {
    if (o.weight > 0 && must_stay_withdrawn(o.server)) {
        return (void)++suppressed_orders_;
    }
    Table& table = tables_[o.table];
    o.weight > 0 ? (void)(table.entries[o.server] = o.weight) : (void)table.entries.erase(o.server);
    for (const ProxyId number : bound_proxies_[o.table]) {
        Proxy& proxy = proxies_.at(number);
        ProxyUpdate::Table& part =
            table_part_for(update_for(number), methods_bound_to(proxy, o.table));
        if (o.weight > 0) {
            part.lines[o.server] = o.weight;
            reinstate_unless_open(number, proxy, o.server);
        } else if (part.full) {
            part.lines.erase(o.server);
        } else {
            part.lines[o.server] = 0;
        }
    }
}

void UpdateBuilder::apply(const order::ClearTable& o) {
    tables_.erase(o.table);
    for (const ProxyId number : bound_proxies_[o.table]) {
        const std::set<MethodId> methods = methods_bound_to(proxies_.at(number), o.table);
        ProxyUpdate& update = update_for(number);
        table_part_for(update, methods) = {methods, true, {}};
        reset_admissions(update, tables_[o.table], methods);
    }
}

void UpdateBuilder::apply(const order::BindProxy& o) {
    const auto at = proxies_.find(o.proxy);
    if (at == proxies_.end() || !at->second.joined) {
        return;
    }
    Proxy& proxy = at->second;
    ProxyUpdate& update = update_for(o.proxy);
    const std::set<MethodId> methods = all_if_empty(o.methods);
    const Table& table = tables_[o.table];
    for (ProxyUpdate::Table& other : update.tables) {
        for (const MethodId method : methods) {
            other.methods.erase(method);
        }
    }
    std::erase_if(update.tables,
                  [](const ProxyUpdate::Table& other) { return other.methods.empty(); });
    update.tables.push_back({methods, true, table.entries});
    for (const MethodId method : methods) {
        bind_method(o.proxy, proxy, method, o.table);
    }
    reset_admissions(update, table, methods);
    for (const auto& [server, weight] : table.entries) {
        withdrawn_.contains(server) ? send_notice(o.proxy, proxy, server, true)
                                    : reinstate_unless_open(o.proxy, proxy, server);
    }
}

void UpdateBuilder::apply(const order::SetAdmission& o) {
    const std::set<MethodId> methods = all_if_empty(o.methods);
    for (const MethodId method : methods) {
        (o.table ? tables_[*o.table].admissions : admissions_for_all_)[method] = {o.amount,
                                                                                  o.retry_policy};
    }
    const auto send_admissions = [&](ProxyId number, const Proxy& proxy) {
        for (const MethodId method : methods) {
            const auto at = proxy.bound.find(method);
            if (o.table && (at == proxy.bound.end() || at->second != *o.table)) {
                continue;
            }
            static const Table kNone;
            const auto admission =
                admission_for(at == proxy.bound.end() ? kNone : tables_[at->second], method);
            update_for(number).admissions[method] = *admission;
        }
    };
    if (o.table) {
        for (const ProxyId number : bound_proxies_[*o.table]) {
            send_admissions(number, proxies_.at(number));
        }
    } else {
        for (const auto& [number, proxy] : proxies_) {
            if (proxy.joined) {
                send_admissions(number, proxy);
            }
        }
    }
}

void UpdateBuilder::apply(const order::SetWithdrawn& o) {
    if (!o.withdrawn && must_stay_withdrawn(o.server)) {
        return (void)++suppressed_orders_;
    }
    o.withdrawn ? (void)withdrawn_.insert(o.server) : (void)withdrawn_.erase(o.server);
    std::set<TableId> tables_with_server;
    for (const auto& [number, table] : tables_) {
        if (table.entries.contains(o.server)) {
            tables_with_server.insert(number);
        }
    }
    for (auto& [number, proxy] : proxies_) {
        if (proxy.joined && may_hold(proxy, tables_with_server)) {
            send_notice(number, proxy, o.server, o.withdrawn);
        }
    }
}

void UpdateBuilder::apply(const order::SendNonce& o) {
    for (auto& [number, proxy] : proxies_) {
        if (proxy.joined && (o.to_all || drafts_.contains(number))) {
            update_for(number).nonce = o.nonce;
        }
    }
}

ProxyUpdate& UpdateBuilder::update_for(ProxyId proxy) {
    ProxyUpdate& update = drafts_[proxy];
    update.proxy = proxy;
    return update;
}

ProxyUpdate::Table& UpdateBuilder::table_part_for(ProxyUpdate& update,
                                                  const std::set<MethodId>& methods) {
    for (ProxyUpdate::Table& part : update.tables) {
        if (std::includes(methods.begin(), methods.end(), part.methods.begin(),
                          part.methods.end())) {
            return part;
        }
    }
    return update.tables.emplace_back(ProxyUpdate::Table{methods, false, {}});
}

void UpdateBuilder::reset_admissions(ProxyUpdate& update, const Table& table,
                                     const std::set<MethodId>& methods) const {
    for (const MethodId method : methods) {
        update.admissions.erase(method);
        if (const auto admission = admission_for(table, method)) {
            update.admissions[method] = *admission;
        }
    }
}

std::set<MethodId> UpdateBuilder::methods_bound_to(const Proxy& proxy, TableId table) const {
    std::set<MethodId> methods;
    for (const auto& [method, bound] : proxy.bound) {
        if (proxy.joined && bound == table) {
            methods.insert(method);
        }
    }
    return methods;
}

std::set<MethodId> UpdateBuilder::all_if_empty(const std::vector<MethodId>& methods) const {
    std::set<MethodId> all(methods.begin(), methods.end());
    for (std::size_t m = 0; methods.empty() && m < method_count_; ++m) {
        all.insert(MethodId{static_cast<int>(m)});
    }
    return all;
}

// Tables of other planners and initial tables are unknown here: they may hold any server.
bool UpdateBuilder::may_hold(const Proxy& proxy,
                             const std::set<TableId>& tables_with_server) const {
    if (proxy.bound.size() < method_count_) {
        return true;
    }
    return std::any_of(proxy.bound.begin(), proxy.bound.end(), [&](const auto& bound) {
        return tables_with_server.contains(bound.second);
    });
}

void UpdateBuilder::bind_method(ProxyId number, Proxy& proxy, MethodId method, TableId table) {
    const auto old_table = std::exchange(proxy.bound[method], table);
    if (methods_bound_to(proxy, old_table).empty()) {
        bound_proxies_[old_table].erase(number);
    }
    bound_proxies_[table].insert(number);
}

bool UpdateBuilder::is_in_table(const ServerId& server) const {
    return std::any_of(tables_.begin(), tables_.end(), [&server](const auto& table) {
        return table.second.entries.contains(server);
    });
}

// If both are set, the lower amount holds, and the retry policy of the table.
std::optional<ProxyUpdate::Admission> UpdateBuilder::admission_for(const Table& table,
                                                                   MethodId method) const {
    const auto own_admission = table.admissions.find(method),
               shared_admission = admissions_for_all_.find(method);
    if (own_admission == table.admissions.end() && shared_admission == admissions_for_all_.end()) {
        return std::nullopt;
    }
    if (own_admission == table.admissions.end()) {
        return shared_admission->second;
    }
    if (shared_admission == admissions_for_all_.end()) {
        return own_admission->second;
    }
    return ProxyUpdate::Admission{
        std::min(own_admission->second.amount, shared_admission->second.amount),
        own_admission->second.retry_policy};
}

// A second notice on the same stream would waste a line, as a stream loses nothing.
void UpdateBuilder::send_notice(ProxyId number, Proxy& proxy, const ServerId& server,
                                bool withdrawn) {
    const auto notice = proxy.notices.find(server);
    if (notice != proxy.notices.end() && notice->second.on_this_stream &&
        notice->second.withdrawn == withdrawn) {
        return;
    }
    update_for(number).withdrawn[server] = withdrawn;
    proxy.notices[server] = {withdrawn, true};
}

void UpdateBuilder::reinstate_unless_open(ProxyId number, Proxy& proxy, const ServerId& server) {
    const auto notice = proxy.notices.find(server);
    const bool open = notice != proxy.notices.end()
                          ? notice->second.on_this_stream && !notice->second.withdrawn
                          : steady_.contains(server);
    if (!open && !withdrawn_.contains(server)) {
        send_notice(number, proxy, server, false);
    }
}

}  // namespace micaroad::reference
