#include "updates/update_builder.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace micaroad {

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

void UpdateBuilder::on_proxy_joined(ProxyId number) {
    proxies_[number].here = true;
    if (methods_ > 0) {
        partly_bound_.insert(number);
    }
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
    for (const auto& [table, methods] : proxy.methods) {
        users_[table].erase(number);
    }
    proxy.bound.clear();
    proxy.methods.clear();
    partly_bound_.erase(number);
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
    auto& told = at->second.told;
    auto& unanswered = at->second.unanswered;
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
    if (const auto at = tables_with_.find(server); at != tables_with_.end()) {
        for (const TableId table : at->second) {
            tables_.at(table).lines.erase(server);
        }
        tables_with_.erase(at);
    }
    withdrawn_.erase(server);
    const auto told = told_of_.extract(server);
    if (!told) {
        return true;
    }
    for (const ProxyId number : told.mapped()) {
        Proxy& proxy = proxies_.at(number);
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
    o.weight > 0 ? add_line(o.table, o.server, o.weight) : remove_line(o.table, o.server);
    for (const ProxyId number : users_[o.table]) {
        Proxy& proxy = proxies_.at(number);
        ProxyUpdate::Table& part = table_in(update_for(number), proxy.methods.at(o.table));
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
    Table& table = tables_[o.table];
    while (!table.lines.empty()) {
        remove_line(o.table, ServerId(table.lines.begin()->first));
    }
    tables_.erase(o.table);
    for (const ProxyId number : users_[o.table]) {
        const std::set<MethodId>& methods = proxies_.at(number).methods.at(o.table);
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
    const auto is_bound = [&proxy](MethodId method) { return proxy.bound.contains(method); };
    if (std::any_of(methods.begin(), methods.end(), is_bound)) {  // or no part can be about them
        for (ProxyUpdate::Table& other : update.tables) {
            for (const MethodId method : methods) {
                other.methods.erase(method);
            }
        }
        std::erase_if(update.tables,
                      [](const ProxyUpdate::Table& other) { return other.methods.empty(); });
    }
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
    std::set<ProxyId> holders = partly_bound_;
    if (const auto at = tables_with_.find(o.server); at != tables_with_.end()) {
        for (const TableId table : at->second) {
            const auto& users = users_[table];
            holders.insert(users.begin(), users.end());
        }
    }
    for (const ProxyId number : holders) {
        tell_shut(number, proxies_.at(number), o.server, o.withdrawn);
    }
}

void UpdateBuilder::apply(const order::SendNonce& o) {
    for (const auto& [number, proxy] : proxies_) {
        if (!o.to_all) {
            break;
        }
        if (proxy.here) {
            update_for(number);
        }
    }
    for (auto& [number, update] : drafts_) {
        if (proxies_.at(number).here) {
            update.nonce = o.nonce;
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

std::set<MethodId> UpdateBuilder::all_if_none(const std::vector<MethodId>& methods) const {
    std::set<MethodId> all(methods.begin(), methods.end());
    for (std::size_t m = 0; methods.empty() && m < methods_; ++m) {
        all.insert(MethodId{static_cast<int>(m)});
    }
    return all;
}

void UpdateBuilder::use(ProxyId number, Proxy& proxy, MethodId method, TableId table) {
    if (const auto old = proxy.bound.find(method); old != proxy.bound.end()) {
        std::set<MethodId>& others = proxy.methods.at(old->second);
        others.erase(method);
        if (others.empty()) {
            proxy.methods.erase(old->second);
            users_[old->second].erase(number);
        }
    }
    proxy.bound[method] = table;
    proxy.methods[table].insert(method);
    users_[table].insert(number);
    if (proxy.bound.size() >= methods_) {
        partly_bound_.erase(number);
    }
}

void UpdateBuilder::add_line(TableId table, const ServerId& server, double weight) {
    tables_[table].lines[server] = weight;
    tables_with_[server].insert(table);
}

void UpdateBuilder::remove_line(TableId table, const ServerId& server) {
    if (tables_[table].lines.erase(server) == 0) {
        return;
    }
    const auto at = tables_with_.find(server);
    at->second.erase(table);
    if (at->second.empty()) {
        tables_with_.erase(at);
    }
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
    told_of_[server].insert(number);
}

void UpdateBuilder::let_back_unless_open(ProxyId number, Proxy& proxy, const ServerId& server) {
    const auto told = proxy.told.find(server);
    const bool open = told != proxy.told.end() ? !told->second.out : steady_.contains(server);
    if (!open && !withdrawn_.contains(server)) {
        tell_shut(number, proxy, server, false);
    }
}

}  // namespace micaroad
