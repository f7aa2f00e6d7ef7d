#include "updates/update_builder.hpp"

#include <algorithm>
#include <iterator>
#include <variant>

namespace micaroad {

void UpdateBuilder::on_proxy_joined(ProxyId proxy) {
    proxies_[proxy].joined = true;
    if (method_count_ > 0) {
        partly_bound_.insert(proxy);
    }
}

void UpdateBuilder::on_proxy_left(ProxyId proxy) {
    const auto found = proxies_.find(proxy);
    if (found == proxies_.end()) {
        return;
    }
    Proxy& state = found->second;
    state.joined = false;
    for (const auto& [table, methods] : state.methods_by_table) {
        proxies_bound_to_[table].erase(proxy);
    }
    state.tables.clear();
    state.methods_by_table.clear();
    state.unacknowledged.clear();
    partly_bound_.erase(proxy);
    // The proxy may not have got the last notices, and another planner may withdraw and reinstate
    // servers at it from now on.
    for (auto& [server, notice] : state.notices) {
        notice.on_this_stream = false;
    }
}

bool UpdateBuilder::on_acknowledgement(ProxyId proxy, Nonce nonce) {
    const auto found = proxies_.find(proxy);
    if (found == proxies_.end()) {
        return false;
    }
    std::deque<Nonce>& unacknowledged = found->second.unacknowledged;
    const auto acknowledged = std::ranges::find(unacknowledged, nonce);
    if (acknowledged == unacknowledged.end()) {
        return false;
    }
    // A proxy applies updates in order, so this also acknowledges all earlier ones.
    unacknowledged.erase(unacknowledged.begin(), std::next(acknowledged));
    return true;
}

bool UpdateBuilder::forget(const ServerId& server) {
    if (!withdrawn_.contains(server) && in_any_table(server)) {
        return false;
    }
    if (const auto tables = tables_with_.extract(server)) {
        for (const TableId table : tables.mapped()) {
            tables_.at(table).entries.erase(server);
        }
    }
    withdrawn_.erase(server);
    if (const auto proxies = proxies_with_notice_.extract(server)) {
        for (const ProxyId number : proxies.mapped()) {
            proxies_.at(number).notices.erase(server);
        }
    }
    return true;
}

std::vector<ProxyUpdate> UpdateBuilder::build_updates(const std::vector<Order>& orders) {
    for (const Order& order : orders) {
        std::visit([this](const auto& any) { apply(any); }, order);
    }
    std::vector<ProxyUpdate> updates;
    for (auto& [number, update] : std::exchange(drafts_, {})) {
        if (update.nonce) {
            await_acknowledgement(number, *update.nonce);
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

bool UpdateBuilder::is_supported(const Order& order) {
    return !std::holds_alternative<order::SendPeerMessage>(order);
}

void UpdateBuilder::apply(const order::SetTableEntry& order) {
    const bool removes = !(order.weight > 0);
    if (removes) {
        remove_entry(order.table, order.server);
    } else if (is_retired(order.server)) {
        ++suppressed_orders_;
        return;
    } else {
        set_entry(order.table, order.server, order.weight);
    }
    for (const ProxyId number : proxies_bound_to_[order.table]) {
        Proxy& proxy = proxies_.at(number);
        ProxyUpdate::Table& table =
            find_or_add_table(update_for(number), proxy.methods_by_table.at(order.table));
        if (!removes) {
            table.lines[order.server] = order.weight;
            ensure_reinstated(number, proxy, order.server);
        } else if (table.full) {
            table.lines.erase(order.server);
        } else {
            table.lines[order.server] = 0;
        }
    }
}

void UpdateBuilder::apply(const order::ClearTable& order) {
    for (const auto& [server, weight] : std::exchange(tables_[order.table].entries, {})) {
        remove_from_index(order.table, server);
    }
    tables_.erase(order.table);
    for (const ProxyId number : proxies_bound_to_[order.table]) {
        const std::set<MethodId>& methods = proxies_.at(number).methods_by_table.at(order.table);
        ProxyUpdate& update = update_for(number);
        find_or_add_table(update, methods) = {methods, true, {}};
        resend_admissions(update, tables_[order.table], methods);
    }
}

void UpdateBuilder::apply(const order::BindProxy& order) {
    const auto found = proxies_.find(order.proxy);
    if (found == proxies_.end() || !found->second.joined) {
        return;
    }
    Proxy& proxy = found->second;
    ProxyUpdate& update = update_for(order.proxy);
    const std::set<MethodId> methods = methods_or_all(order.methods);
    const Table& table = tables_[order.table];
    const auto is_bound = [&proxy](MethodId method) { return proxy.tables.contains(method); };
    if (std::any_of(methods.begin(), methods.end(), is_bound)) {
        remove_methods(update, methods);
    }
    update.tables.push_back({methods, true, table.entries});
    for (const MethodId method : methods) {
        bind_method(order.proxy, proxy, method, order.table);
    }
    resend_admissions(update, table, methods);
    for (const auto& [server, weight] : table.entries) {
        if (withdrawn_.contains(server)) {
            add_notice(order.proxy, proxy, server, true);
        } else {
            ensure_reinstated(order.proxy, proxy, server);
        }
    }
}

void UpdateBuilder::apply(const order::SetAdmission& order) {
    const std::set<MethodId> methods = methods_or_all(order.methods);
    Admissions& admissions = order.table ? tables_[*order.table].admissions : admissions_for_all_;
    for (const MethodId method : methods) {
        admissions[method] = {order.amount, order.retry_policy};
    }
    if (!order.table) {
        for (const auto& [number, proxy] : proxies_) {
            if (!proxy.joined) {
                continue;
            }
            for (const MethodId method : methods) {
                update_admission(number, proxy, method);
            }
        }
        return;
    }
    for (const ProxyId number : proxies_bound_to_[*order.table]) {
        const Proxy& proxy = proxies_.at(number);
        for (const MethodId method : proxy.methods_by_table.at(*order.table)) {
            if (methods.contains(method)) {
                update_admission(number, proxy, method);
            }
        }
    }
}

void UpdateBuilder::apply(const order::SetWithdrawn& order) {
    if (order.withdrawn) {
        withdrawn_.insert(order.server);
    } else if (is_retired(order.server)) {
        ++suppressed_orders_;
        return;
    } else {
        withdrawn_.erase(order.server);
    }
    std::set<ProxyId> holders = partly_bound_;
    if (const auto found = tables_with_.find(order.server); found != tables_with_.end()) {
        for (const TableId table : found->second) {
            const std::set<ProxyId>& bound = proxies_bound_to_[table];
            holders.insert(bound.begin(), bound.end());
        }
    }
    for (const ProxyId number : holders) {
        add_notice(number, proxies_.at(number), order.server, order.withdrawn);
    }
}

void UpdateBuilder::apply(const order::SendNonce& order) {
    if (order.to_all) {
        for (const auto& [number, proxy] : proxies_) {
            if (proxy.joined) {
                update_for(number);
            }
        }
    }
    for (auto& [number, update] : drafts_) {
        if (proxies_.at(number).joined) {
            update.nonce = order.nonce;
        }
    }
}

ProxyUpdate& UpdateBuilder::update_for(ProxyId proxy) {
    ProxyUpdate& update = drafts_[proxy];
    update.proxy = proxy;
    return update;
}

/// Returns the first table of the update whose methods are all contained in `methods`, or adds a
/// new table for `methods` if there is none.
ProxyUpdate::Table& UpdateBuilder::find_or_add_table(ProxyUpdate& update,
                                                     const std::set<MethodId>& methods) {
    for (ProxyUpdate::Table& table : update.tables) {
        if (std::includes(methods.begin(), methods.end(), table.methods.begin(),
                          table.methods.end())) {
            return table;
        }
    }
    return update.tables.emplace_back(ProxyUpdate::Table{methods, false, {}});
}

/// Removes the methods from the update's tables, as a new binding replaces these tables for them.
void UpdateBuilder::remove_methods(ProxyUpdate& update, const std::set<MethodId>& methods) {
    for (ProxyUpdate::Table& table : update.tables) {
        for (const MethodId method : methods) {
            table.methods.erase(method);
        }
    }
    std::erase_if(update.tables,
                  [](const ProxyUpdate::Table& table) { return table.methods.empty(); });
}

/// Adds the admissions of the methods again, as a full table clears them at the proxy.
void UpdateBuilder::resend_admissions(ProxyUpdate& update, const Table& table,
                                      const std::set<MethodId>& methods) const {
    for (const MethodId method : methods) {
        update.admissions.erase(method);
        if (const auto admission = admission_of(table, method)) {
            update.admissions[method] = *admission;
        }
    }
}

void UpdateBuilder::update_admission(ProxyId number, const Proxy& proxy, MethodId method) {
    static const Table kNoTable;
    const auto found = proxy.tables.find(method);
    const Table& table = found == proxy.tables.end() ? kNoTable : tables_[found->second];
    if (const auto admission = admission_of(table, method)) {
        update_for(number).admissions[method] = *admission;
    }
}

/// Withdraws or reinstates a server at a proxy, unless the same notice was already sent on the
/// proxy's stream: a stream loses no messages, so a repeated line would only add load.
void UpdateBuilder::add_notice(ProxyId number, Proxy& proxy, const ServerId& server,
                               bool withdrawn) {
    const auto found = proxy.notices.find(server);
    const bool is_known = found != proxy.notices.end() && found->second.on_this_stream &&
                          found->second.withdrawn == withdrawn;
    if (is_known) {
        return;
    }
    update_for(number).withdrawn[server] = withdrawn;
    proxy.notices[server] = {withdrawn, true};
    proxies_with_notice_[server].insert(number);
}

/// Reinstates a server at a proxy where it may be withdrawn, as its entry would have no effect
/// there otherwise. Does nothing if an order withdraws the server. What was sent on an earlier
/// stream tells nothing: other planners may have withdrawn the server at the proxy since.
void UpdateBuilder::ensure_reinstated(ProxyId number, Proxy& proxy, const ServerId& server) {
    const auto found = proxy.notices.find(server);
    const bool is_known_usable = found != proxy.notices.end()
                                     ? found->second.on_this_stream && !found->second.withdrawn
                                     : listed_servers_.is_steady(server);
    if (!is_known_usable && !withdrawn_.contains(server)) {
        add_notice(number, proxy, server, false);
    }
}

void UpdateBuilder::await_acknowledgement(ProxyId proxy, Nonce nonce) {
    std::deque<Nonce>& unacknowledged = proxies_.at(proxy).unacknowledged;
    unacknowledged.push_back(nonce);
    if (unacknowledged.size() > kMaxUnacknowledged) {
        unacknowledged.pop_front();
    }
}

void UpdateBuilder::bind_method(ProxyId number, Proxy& proxy, MethodId method, TableId table) {
    if (const auto old = proxy.tables.find(method); old != proxy.tables.end()) {
        std::set<MethodId>& methods = proxy.methods_by_table.at(old->second);
        methods.erase(method);
        if (methods.empty()) {
            proxy.methods_by_table.erase(old->second);
            proxies_bound_to_[old->second].erase(number);
        }
    }
    proxy.tables[method] = table;
    proxy.methods_by_table[table].insert(method);
    proxies_bound_to_[table].insert(number);
    if (proxy.tables.size() >= method_count_) {
        partly_bound_.erase(number);
    }
}

void UpdateBuilder::set_entry(TableId table, const ServerId& server, double weight) {
    tables_[table].entries[server] = weight;
    tables_with_[server].insert(table);
}

void UpdateBuilder::remove_entry(TableId table, const ServerId& server) {
    if (tables_[table].entries.erase(server) == 0) {
        return;
    }
    remove_from_index(table, server);
}

void UpdateBuilder::remove_from_index(TableId table, const ServerId& server) {
    const auto found = tables_with_.find(server);
    found->second.erase(table);
    if (found->second.empty()) {
        tables_with_.erase(found);
    }
}

std::set<MethodId> UpdateBuilder::methods_or_all(const std::vector<MethodId>& methods) const {
    std::set<MethodId> chosen(methods.begin(), methods.end());
    if (methods.empty()) {
        for (std::size_t method = 0; method < method_count_; ++method) {
            chosen.insert(MethodId{static_cast<int>(method)});
        }
    }
    return chosen;
}

/// The admission of a method in a table. If both an admission of the table and one for all tables
/// are set, the lower amount and the table's retry policy apply.
std::optional<ProxyUpdate::Admission> UpdateBuilder::admission_of(const Table& table,
                                                                  MethodId method) const {
    const auto own = table.admissions.find(method);
    const auto for_all = admissions_for_all_.find(method);
    if (own == table.admissions.end()) {
        return for_all == admissions_for_all_.end() ? std::nullopt : std::optional(for_all->second);
    }
    ProxyUpdate::Admission admission = own->second;
    if (for_all != admissions_for_all_.end()) {
        admission.amount = std::min(admission.amount, for_all->second.amount);
    }
    return admission;
}

}  // namespace micaroad
