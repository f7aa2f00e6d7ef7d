/// Frozen reference implementation. tests/differential_test.cpp holds the optimized decisions of
/// src/ against it: both get the same events, and every order must be equal to the bit. Change it
/// only together with an intended change of behaviour, never for speed or style.
#include "reference/update_builder.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace micaroad::reference {

void UpdateBuilder::on_endpoint_list(const event::EndpointListUpdate& list) {
    std::set<ServerId> named;
    for (const ListedEndpoint& server : list.servers) {
        named.insert(server.server);
        server.phase == EndpointPhase::gone ? (void)listed_.erase(server.server)
                                            : (void)listed_.insert(server.server);
        const bool steady = server.phase == EndpointPhase::ready && !server.last_start;
        if (!steady) {
            steady_.erase(server.server);
        } else if (!heard_any_) {
            steady_.insert(server.server);
        }
    }
    if (list.form == event::EndpointListUpdate::Form::complete) {
        for (auto* set : {&steady_, &listed_}) {
            std::erase_if(*set,
                          [&named](const ServerId& server) { return !named.contains(server); });
        }
    }
    heard_any_ = true;
}

void UpdateBuilder::on_proxy_joined(ProxyId proxy) {
    proxies_[proxy].here = true;
}

// What it may not have got is taken for shut out, so that it is let back with its next line; the
// rest it keeps.
void UpdateBuilder::on_proxy_left(ProxyId number) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) {
        return;
    }
    Proxy& proxy = at->second;
    proxy.here = false;
    for (const auto& [method, table] : proxy.bound) {
        users_[table].erase(number);
    }
    proxy.bound.clear();
    proxy.unanswered.clear();
    for (auto& [server, told] : proxy.told) {
        told.out |= !told.sure, told.here = false;
    }
}

// A proxy applies in order: an answer stands for all that was written before it.
bool UpdateBuilder::on_acknowledgement(ProxyId number, Nonce mark) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) {
        return false;
    }
    auto& [here, bound, told, unanswered] = at->second;
    const auto is_it = [&mark](const auto& said) { return said.first == mark; };
    if (std::none_of(unanswered.begin(), unanswered.end(), is_it)) {
        return false;
    }
    for (bool last = false; !last; unanswered.pop_front()) {
        last = is_it(unanswered.front());
        for (const ServerId& server : unanswered.front().second) {
            const bool again =
                std::any_of(std::next(unanswered.begin()), unanswered.end(),
                            [&server](const auto& later) { return later.second.contains(server); });
            if (!again) {
                told[server].sure = true;
            }
        }
    }
    return true;
}

bool UpdateBuilder::forget(const ServerId& server) {
    if (!withdrawn_.contains(server) && in_a_table(server)) {
        return false;
    }
    for (auto& [number, table] : tables_) {
        table.lines.erase(server);
    }
    withdrawn_.erase(server);
    for (auto& [number, proxy] : proxies_) {
        proxy.told.erase(server);
        for (auto& [mark, shut] : proxy.unanswered) {
            shut.erase(server);
        }
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
            auto& unanswered = proxies_[number].unanswered;
            unanswered.emplace_back(*update.nonce, std::set<ServerId>{});
            for (const auto& [server, out] : update.withdrawn) {
                unanswered.back().second.insert(server);
            }
            if (unanswered.size() > kMostUnanswered) {
                unanswered.pop_front();
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
    if (o.weight > 0 && over(o.server)) {
        return (void)++suppressed_orders_;
    }
    Table& table = tables_[o.table];
    o.weight > 0 ? (void)(table.lines[o.server] = o.weight) : (void)table.lines.erase(o.server);
    for (const ProxyId number : users_[o.table]) {
        Proxy& proxy = proxies_.at(number);
        ProxyUpdate::Table& part = table_in(update_for(number), methods_at(proxy, o.table));
        if (o.weight > 0) {
            part.lines[o.server] = o.weight;
            let_back_unless_open(number, proxy, o.server);
        } else if (part.full) {
            part.lines.erase(o.server);
        } else {
            part.lines[o.server] = 0;
        }
    }
}

void UpdateBuilder::apply(const order::ClearTable& o) {
    tables_.erase(o.table);
    for (const ProxyId number : users_[o.table]) {
        const std::set<MethodId> methods = methods_at(proxies_.at(number), o.table);
        ProxyUpdate& update = update_for(number);
        table_in(update, methods) = {methods, true, {}};
        begin_levels(update, tables_[o.table], methods);
    }
}

void UpdateBuilder::apply(const order::BindProxy& o) {
    const auto at = proxies_.find(o.proxy);
    if (at == proxies_.end() || !at->second.here) {
        return;
    }
    Proxy& proxy = at->second;
    ProxyUpdate& update = update_for(o.proxy);
    const std::set<MethodId> methods = all_if_none(o.methods);
    const Table& table = tables_[o.table];
    for (ProxyUpdate::Table& other : update.tables) {
        for (const MethodId method : methods) {
            other.methods.erase(method);
        }
    }
    std::erase_if(update.tables,
                  [](const ProxyUpdate::Table& other) { return other.methods.empty(); });
    update.tables.push_back({methods, true, table.lines});
    for (const MethodId method : methods) {
        use(o.proxy, proxy, method, o.table);
    }
    begin_levels(update, table, methods);
    for (const auto& [server, weight] : table.lines) {
        withdrawn_.contains(server) ? tell_shut(o.proxy, proxy, server, true)
                                    : let_back_unless_open(o.proxy, proxy, server);
    }
}

void UpdateBuilder::apply(const order::SetAdmission& o) {
    const std::set<MethodId> methods = all_if_none(o.methods);
    for (const MethodId method : methods) {
        (o.table ? tables_[*o.table].levels : for_all_)[method] = {o.amount, o.retry_policy};
    }
    const auto tell = [&](ProxyId number, const Proxy& proxy) {
        for (const MethodId method : methods) {
            const auto at = proxy.bound.find(method);
            if (o.table && (at == proxy.bound.end() || at->second != *o.table)) {
                continue;
            }
            static const Table kNone;
            const auto level =
                level_of(at == proxy.bound.end() ? kNone : tables_[at->second], method);
            update_for(number).admissions[method] = *level;
        }
    };
    if (o.table) {
        for (const ProxyId number : users_[*o.table]) {
            tell(number, proxies_.at(number));
        }
    } else {
        for (const auto& [number, proxy] : proxies_) {
            if (proxy.here) {
                tell(number, proxy);
            }
        }
    }
}

void UpdateBuilder::apply(const order::SetWithdrawn& o) {
    if (!o.withdrawn && over(o.server)) {
        return (void)++suppressed_orders_;
    }
    o.withdrawn ? (void)withdrawn_.insert(o.server) : (void)withdrawn_.erase(o.server);
    std::set<TableId> with_it;
    for (const auto& [number, table] : tables_) {
        if (table.lines.contains(o.server)) {
            with_it.insert(number);
        }
    }
    for (auto& [number, proxy] : proxies_) {
        if (proxy.here && holds(proxy, with_it)) {
            tell_shut(number, proxy, o.server, o.withdrawn);
        }
    }
}

void UpdateBuilder::apply(const order::SendNonce& o) {
    for (auto& [number, proxy] : proxies_) {
        if (proxy.here && (o.to_all || drafts_.contains(number))) {
            update_for(number).nonce = o.nonce;
        }
    }
}

ProxyUpdate& UpdateBuilder::update_for(ProxyId proxy) {
    ProxyUpdate& update = drafts_[proxy];
    update.proxy = proxy;
    return update;
}

ProxyUpdate::Table& UpdateBuilder::table_in(ProxyUpdate& update,
                                            const std::set<MethodId>& methods) {
    for (ProxyUpdate::Table& part : update.tables) {
        if (std::includes(methods.begin(), methods.end(), part.methods.begin(),
                          part.methods.end())) {
            return part;
        }
    }
    return update.tables.emplace_back(ProxyUpdate::Table{methods, false, {}});
}

void UpdateBuilder::begin_levels(ProxyUpdate& update, const Table& table,
                                 const std::set<MethodId>& methods) const {
    for (const MethodId method : methods) {
        update.admissions.erase(method);
        if (const auto level = level_of(table, method)) {
            update.admissions[method] = *level;
        }
    }
}

std::set<MethodId> UpdateBuilder::methods_at(const Proxy& proxy, TableId table) const {
    std::set<MethodId> methods;
    for (const auto& [method, bound] : proxy.bound) {
        if (proxy.here && bound == table) {
            methods.insert(method);
        }
    }
    return methods;
}

std::set<MethodId> UpdateBuilder::all_if_none(const std::vector<MethodId>& methods) const {
    std::set<MethodId> all(methods.begin(), methods.end());
    for (std::size_t m = 0; methods.empty() && m < methods_; ++m) {
        all.insert(MethodId{static_cast<int>(m)});
    }
    return all;
}

// Tables of others, and those a proxy starts with, can't be seen from here: they may hold any
// server.
bool UpdateBuilder::holds(const Proxy& proxy, const std::set<TableId>& with_it) const {
    if (proxy.bound.size() < methods_) {
        return true;
    }
    return std::any_of(proxy.bound.begin(), proxy.bound.end(),
                       [&](const auto& bound) { return with_it.contains(bound.second); });
}

void UpdateBuilder::use(ProxyId number, Proxy& proxy, MethodId method, TableId table) {
    const auto old = std::exchange(proxy.bound[method], table);
    if (methods_at(proxy, old).empty()) {
        users_[old].erase(number);
    }
    users_[table].insert(number);
}

bool UpdateBuilder::in_a_table(const ServerId& server) const {
    return std::any_of(tables_.begin(), tables_.end(), [&server](const auto& table) {
        return table.second.lines.contains(server);
    });
}

// Where both are set the lower amount holds, and the table's own way of trying again.
std::optional<ProxyUpdate::Admission> UpdateBuilder::level_of(const Table& table,
                                                              MethodId method) const {
    const auto own = table.levels.find(method), all = for_all_.find(method);
    if (own == table.levels.end() && all == for_all_.end()) {
        return std::nullopt;
    }
    if (own == table.levels.end()) {
        return all->second;
    }
    if (all == for_all_.end()) {
        return own->second;
    }
    return ProxyUpdate::Admission{std::min(own->second.amount, all->second.amount),
                                  own->second.retry_policy};
}

// Said twice on one stream it is one line too many: a stream loses nothing.
void UpdateBuilder::tell_shut(ProxyId number, Proxy& proxy, const ServerId& server, bool out) {
    const auto told = proxy.told.find(server);
    if (told != proxy.told.end() && told->second.here && told->second.out == out) {
        return;
    }
    update_for(number).withdrawn[server] = out;
    proxy.told[server] = {out, false, true};
}

void UpdateBuilder::let_back_unless_open(ProxyId number, Proxy& proxy, const ServerId& server) {
    const auto told = proxy.told.find(server);
    const bool open = told != proxy.told.end() ? !told->second.out : steady_.contains(server);
    if (!open && !withdrawn_.contains(server)) {
        tell_shut(number, proxy, server, false);
    }
}

}  // namespace micaroad::reference
