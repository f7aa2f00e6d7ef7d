// Holds the module against its plain reference: both hear the same events, and every order has to be equal to the bit.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "outbox/outbox.hpp"
#include "planner/ports.hpp"
#include "reference/outbox.hpp"
#include "reference/planner.hpp"

namespace micaroad::reference {

// An order in full; numbers as their bits are, so that two texts are equal only where the orders are.
inline std::string text_of(const Order& any) {
    const auto joined = [](const std::vector<MethodId>& methods) {
        std::string text;
        for (const MethodId method : methods) text += fmt::format("{},", method.value);
        return text;
    };
    return std::visit(
        [&](const auto& o) -> std::string {
            using Kind = std::decay_t<decltype(o)>;
            if constexpr (std::is_same_v<Kind, order::SetLine>)
                return fmt::format("line table={} {} {:a}", o.table.value, o.server.value, o.weight);
            else if constexpr (std::is_same_v<Kind, order::ClearTable>)
                return fmt::format("clear table={}", o.table.value);
            else if constexpr (std::is_same_v<Kind, order::Bind>)
                return fmt::format("bind table={} methods={} proxy={}", o.table.value, joined(o.methods), o.proxy.value);
            else if constexpr (std::is_same_v<Kind, order::SetLevel>)
                return fmt::format("level table={} methods={} {:a} tries={}", o.table ? o.table->value : -1,
                                   joined(o.methods), o.amount, static_cast<int>(o.further_tries));
            else if constexpr (std::is_same_v<Kind, order::Withdraw>)
                return fmt::format("withdraw {} out={}", o.server.value, o.out);
            else if constexpr (std::is_same_v<Kind, order::Mark>)
                return fmt::format("mark {} everyone={}", o.mark.value, o.everyone);
            else if constexpr (std::is_same_v<Kind, order::StartTimer>)
                return fmt::format("timer {} after={}", o.timer.value, o.after.count());
            else if constexpr (std::is_same_v<Kind, order::Probe>)
                return fmt::format("probe {}", o.server.value);
            else if constexpr (std::is_same_v<Kind, order::Subscribe>)
                return fmt::format("subscribe on={}", o.on);
            else if constexpr (std::is_same_v<Kind, order::FetchList>)
                return "fetch list";
            else if constexpr (std::is_same_v<Kind, order::TellPeer>)
                return fmt::format("tell peer={} {}", o.to ? o.to->value : -1, o.text);
            else
                return fmt::format("log {}", o.text);
        },
        any);
}

// Hears what the module hears, and compares what each orders. Keeps the first difference.
class Comparison : public Witness {
 public:
    Comparison(const Terms& terms, std::uint64_t seed) : plain_(terms, seed) {}

    void heard(const Event& event) override { plain_.hear(event); }
    void decided(Instant now, const std::vector<Order>& orders) override {
        const std::vector<Order> expected = plain_.decide(now);
        for (std::size_t i = 0; difference_.empty() && i < std::max(orders.size(), expected.size()); ++i) {
            const std::string ours = i < orders.size() ? text_of(orders[i]) : "nothing";
            const std::string its = i < expected.size() ? text_of(expected[i]) : "nothing";
            if (ours == its) continue;
            difference_ = fmt::format("order {} at {}: module '{}', reference '{}'", compared_ + i,
                                      now.time_since_epoch().count(), ours, its);
        }
        compared_ += orders.size();
    }

    // The first order that is not equal; empty while all are.
    const std::string& difference() const { return difference_; }
    std::size_t compared() const { return compared_; }

 private:
    Planner plain_;
    std::string difference_;
    std::size_t compared_ = 0;
};

// Module and reference as one planner: it orders what the module orders. decide() throws std::runtime_error at the first
// order that is not equal.
class Twin {
 public:
    Twin(const Terms& terms, std::uint64_t seed) : module_(terms, seed), comparison_(terms, seed) {}

    void hear(Event event) {
        comparison_.heard(event);
        module_.hear(std::move(event));
    }
    std::vector<Order> decide(Instant now) {
        std::vector<Order> orders = module_.decide(now);
        comparison_.decided(now, orders);
        if (!comparison_.difference().empty()) throw std::runtime_error(comparison_.difference());
        return orders;
    }
    std::size_t compared() const { return comparison_.compared(); }

 private:
    micaroad::Planner module_;
    Comparison comparison_;
};

// A letter in full, as text_of(Order) has an order.
inline std::string text_of(const Letter& letter) {
    std::string text = fmt::format("to {} mark {}", letter.proxy.value, letter.mark ? letter.mark->value : -1);
    for (const Letter::Table& table : letter.tables) {
        text += fmt::format("; table full={}", table.full);
        for (const MethodId method : table.methods) text += fmt::format(" m{}", method.value);
        for (const auto& [server, weight] : table.lines) text += fmt::format(" {}={:a}", server.value, weight);
    }
    for (const auto& [method, level] : letter.levels)
        text += fmt::format("; level {} {:a} {}", method.value, level.amount, static_cast<int>(level.further_tries));
    for (const auto& [server, out] : letter.shut) text += fmt::format("; shut {} {}", server.value, out);
    return text;
}

// The outbox and its reference as one. Throws std::runtime_error at the first letter or answer that is not equal.
class OutboxTwin {
 public:
    explicit OutboxTwin(std::size_t methods) : outbox_(methods), plain_(methods) {}

    void heard(const event::List& list) { outbox_.heard(list), plain_.heard(list); }
    void joined(ProxyId proxy) { outbox_.joined(proxy), plain_.joined(proxy); }
    void left(ProxyId proxy) { outbox_.left(proxy), plain_.left(proxy); }
    bool answered(ProxyId proxy, MarkId mark) {
        return equal("answered", outbox_.answered(proxy, mark), plain_.answered(proxy, mark));
    }
    bool forget(const ServerId& server) { return equal("forget", outbox_.forget(server), plain_.forget(server)); }
    // How many letters were compared.
    std::size_t letters(const std::vector<Order>& orders) {
        const std::vector<Letter> ours = outbox_.letters(orders), its = plain_.letters(orders);
        equal("number of letters", ours.size(), its.size());
        for (std::size_t i = 0; i < ours.size(); ++i) equal("letter", text_of(ours[i]), text_of(its[i]));
        equal("orders barred", outbox_.barred(), plain_.barred());
        return ours.size();
    }

 private:
    template <class Any>
    static Any equal(const char* what, const Any& ours, const Any& its) {
        if (ours != its) throw std::runtime_error(fmt::format("{}: outbox '{}', reference '{}'", what, ours, its));
        return ours;
    }

    Outbox outbox_;
    reference::Outbox plain_;
};

}  // namespace micaroad::reference
