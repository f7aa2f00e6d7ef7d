#include "outbox/outbox.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace micaroad {

void Outbox::heard(const event::List& list) {
    std::set<ServerId> named;
    for (const ListedServer& server : list.servers) {
        named.insert(server.server);
        server.phase == Phase::gone ? (void)listed_.erase(server.server)
                                    : (void)listed_.insert(server.server);
        const bool steady = server.phase == Phase::ready && !server.last_start;
        if (!steady)
            steady_.erase(server.server);
        else if (!heard_any_)
            steady_.insert(server.server);
    }
    if (list.form == event::List::Form::complete) {
        for (auto* set : {&steady_, &listed_})
            std::erase_if(*set, [&named](const ServerId& server) { return !named.contains(server); });
    }
    heard_any_ = true;
}

void Outbox::joined(ProxyId number) {
    proxies_[number].here = true;
    if (methods_ > 0) partly_bound_.insert(number);
}

// What it may not have got is taken for shut out, so that it is let back with its next line; the rest it
// keeps.
void Outbox::left(ProxyId number) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) return;
    Proxy& proxy = at->second;
    proxy.here = false;
    for (const auto& [table, methods] : proxy.methods) users_[table].erase(number);
    proxy.bound.clear();
    proxy.methods.clear();
    partly_bound_.erase(number);
    proxy.unanswered.clear();
    for (auto& [server, told] : proxy.told) told.out |= !told.sure, told.here = false;
}

// A proxy applies in order: an answer stands for all that was written before it.
bool Outbox::answered(ProxyId number, MarkId mark) {
    const auto at = proxies_.find(number);
    if (at == proxies_.end()) return false;
    auto& told = at->second.told;
    auto& unanswered = at->second.unanswered;
    const auto is_it = [&mark](const auto& said) { return said.first == mark; };
    if (std::none_of(unanswered.begin(), unanswered.end(), is_it)) return false;
    for (bool last = false; !last; unanswered.pop_front()) {
        last = is_it(unanswered.front());
        for (const ServerId& server : unanswered.front().second) {
            const bool again =
                std::any_of(std::next(unanswered.begin()), unanswered.end(),
                            [&server](const auto& later) { return later.second.contains(server); });
            if (!again) told[server].sure = true;
        }
    }
    return true;
}

bool Outbox::forget(const ServerId& server) {
    if (!withdrawn_.contains(server) && in_a_table(server)) return false;
    if (const auto at = tables_with_.find(server); at != tables_with_.end()) {
        for (const TableId table : at->second) tables_.at(table).lines.erase(server);
        tables_with_.erase(at);
    }
    withdrawn_.erase(server);
    const auto told = told_of_.extract(server);
    if (!told) return true;
    for (const ProxyId number : told.mapped()) {
        Proxy& proxy = proxies_.at(number);
        proxy.told.erase(server);
        for (auto& [mark, shut] : proxy.unanswered) shut.erase(server);
    }
    return true;
}

std::vector<Letter> Outbox::letters(const std::vector<Order>& orders) {
    for (const Order& order : orders) std::visit([this](const auto& o) { apply(o); }, order);
    std::vector<Letter> letters;
    for (auto& [number, letter] : std::exchange(drafts_, {})) {
        if (letter.mark) {
            auto& unanswered = proxies_[number].unanswered;
            unanswered.emplace_back(*letter.mark, std::set<ServerId>{});
            for (const auto& [server, out] : letter.shut) unanswered.back().second.insert(server);
            if (unanswered.size() > kMostUnanswered) unanswered.pop_front();
        }
        letters.push_back(std::move(letter));
    }
    return letters;
}

bool Outbox::served(const Order& order) { return !std::holds_alternative<order::TellPeer>(order); }

void Outbox::apply(const order::SetLine& o) {
    if (o.weight > 0 && over(o.server)) return (void)++barred_;
    o.weight > 0 ? add_line(o.table, o.server, o.weight) : remove_line(o.table, o.server);
    for (const ProxyId number : users_[o.table]) {
        Proxy& proxy = proxies_.at(number);
        Letter::Table& part = table_in(letter_to(number), proxy.methods.at(o.table));
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

void Outbox::apply(const order::ClearTable& o) {
    Table& table = tables_[o.table];
    while (!table.lines.empty()) remove_line(o.table, ServerId(table.lines.begin()->first));
    tables_.erase(o.table);
    for (const ProxyId number : users_[o.table]) {
        const std::set<MethodId>& methods = proxies_.at(number).methods.at(o.table);
        Letter& letter = letter_to(number);
        table_in(letter, methods) = {methods, true, {}};
        begin_levels(letter, tables_[o.table], methods);
    }
}

void Outbox::apply(const order::Bind& o) {
    const auto at = proxies_.find(o.proxy);
    if (at == proxies_.end() || !at->second.here) return;
    Proxy& proxy = at->second;
    Letter& letter = letter_to(o.proxy);
    const std::set<MethodId> methods = all_if_none(o.methods);
    const Table& table = tables_[o.table];
    const auto is_bound = [&proxy](MethodId method) { return proxy.bound.contains(method); };
    if (std::any_of(methods.begin(), methods.end(), is_bound)) {  // or no part can be about them
        for (Letter::Table& other : letter.tables) {
            for (const MethodId method : methods) other.methods.erase(method);
        }
        std::erase_if(letter.tables, [](const Letter::Table& other) { return other.methods.empty(); });
    }
    letter.tables.push_back({methods, true, table.lines});
    for (const MethodId method : methods) use(o.proxy, proxy, method, o.table);
    begin_levels(letter, table, methods);
    for (const auto& [server, weight] : table.lines) {
        withdrawn_.contains(server) ? tell_shut(o.proxy, proxy, server, true)
                                    : let_back_unless_open(o.proxy, proxy, server);
    }
}

void Outbox::apply(const order::SetLevel& o) {
    const std::set<MethodId> methods = all_if_none(o.methods);
    for (const MethodId method : methods) {
        (o.table ? tables_[*o.table].levels : for_all_)[method] = {o.amount, o.further_tries};
    }
    const auto tell = [&](ProxyId number, const Proxy& proxy) {
        for (const MethodId method : methods) {
            const auto at = proxy.bound.find(method);
            if (o.table && (at == proxy.bound.end() || at->second != *o.table)) continue;
            static const Table kNone;
            const auto level = level_of(at == proxy.bound.end() ? kNone : tables_[at->second], method);
            letter_to(number).levels[method] = *level;
        }
    };
    if (o.table) {
        for (const ProxyId number : users_[*o.table]) tell(number, proxies_.at(number));
    } else {
        for (const auto& [number, proxy] : proxies_)
            if (proxy.here) tell(number, proxy);
    }
}

void Outbox::apply(const order::Withdraw& o) {
    if (!o.out && over(o.server)) return (void)++barred_;
    o.out ? (void)withdrawn_.insert(o.server) : (void)withdrawn_.erase(o.server);
    std::set<ProxyId> holders = partly_bound_;
    if (const auto at = tables_with_.find(o.server); at != tables_with_.end()) {
        for (const TableId table : at->second) {
            const auto& users = users_[table];
            holders.insert(users.begin(), users.end());
        }
    }
    for (const ProxyId number : holders) tell_shut(number, proxies_.at(number), o.server, o.out);
}

void Outbox::apply(const order::Mark& o) {
    for (const auto& [number, proxy] : proxies_) {
        if (!o.everyone) break;
        if (proxy.here) letter_to(number);
    }
    for (auto& [number, letter] : drafts_) {
        if (proxies_.at(number).here) letter.mark = o.mark;
    }
}

Letter& Outbox::letter_to(ProxyId proxy) {
    Letter& letter = drafts_[proxy];
    letter.proxy = proxy;
    return letter;
}

Letter::Table& Outbox::table_in(Letter& letter, const std::set<MethodId>& methods) {
    for (Letter::Table& part : letter.tables) {
        if (std::includes(methods.begin(), methods.end(), part.methods.begin(), part.methods.end()))
            return part;
    }
    return letter.tables.emplace_back(Letter::Table{methods, false, {}});
}

void Outbox::begin_levels(Letter& letter, const Table& table, const std::set<MethodId>& methods) const {
    for (const MethodId method : methods) {
        letter.levels.erase(method);
        if (const auto level = level_of(table, method)) letter.levels[method] = *level;
    }
}

std::set<MethodId> Outbox::all_if_none(const std::vector<MethodId>& methods) const {
    std::set<MethodId> all(methods.begin(), methods.end());
    for (std::size_t m = 0; methods.empty() && m < methods_; ++m) all.insert(MethodId{static_cast<int>(m)});
    return all;
}

void Outbox::use(ProxyId number, Proxy& proxy, MethodId method, TableId table) {
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
    if (proxy.bound.size() >= methods_) partly_bound_.erase(number);
}

void Outbox::add_line(TableId table, const ServerId& server, double weight) {
    tables_[table].lines[server] = weight;
    tables_with_[server].insert(table);
}

void Outbox::remove_line(TableId table, const ServerId& server) {
    if (tables_[table].lines.erase(server) == 0) return;
    const auto at = tables_with_.find(server);
    at->second.erase(table);
    if (at->second.empty()) tables_with_.erase(at);
}

// Where both are set the lower amount holds, and the table's own way of trying again.
std::optional<Letter::Level> Outbox::level_of(const Table& table, MethodId method) const {
    const auto own = table.levels.find(method), all = for_all_.find(method);
    if (own == table.levels.end() && all == for_all_.end()) return std::nullopt;
    if (own == table.levels.end()) return all->second;
    if (all == for_all_.end()) return own->second;
    return Letter::Level{std::min(own->second.amount, all->second.amount), own->second.further_tries};
}

// Said twice on one stream it is one line too many: a stream loses nothing.
void Outbox::tell_shut(ProxyId number, Proxy& proxy, const ServerId& server, bool out) {
    const auto told = proxy.told.find(server);
    if (told != proxy.told.end() && told->second.here && told->second.out == out) return;
    letter_to(number).shut[server] = out;
    proxy.told[server] = {out, false, true};
    told_of_[server].insert(number);
}

void Outbox::let_back_unless_open(ProxyId number, Proxy& proxy, const ServerId& server) {
    const auto told = proxy.told.find(server);
    const bool open = told != proxy.told.end() ? !told->second.out : steady_.contains(server);
    if (!open && !withdrawn_.contains(server)) tell_shut(number, proxy, server, false);
}

}  // namespace micaroad
