/// Compares the planner with the frozen reference implementation in this directory: both get the
/// same events, and every order must be equal to the bit. The reference is changed only together
/// with an intended change of behaviour.
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

#include "planner/ports.hpp"
#include "reference/planner.hpp"
#include "reference/update_builder.hpp"
#include "updates/update_builder.hpp"

namespace micaroad::reference {

// An order in full; numbers as their bits are, so that two texts are equal only where the orders
// are.
inline std::string text_of(const Order& any) {
    const auto joined = [](const std::vector<MethodId>& methods) {
        std::string text;
        for (const MethodId method : methods) {
            text += fmt::format("{},", method.value);
        }
        return text;
    };
    return std::visit(
        [&](const auto& o) -> std::string {
            using Kind = std::decay_t<decltype(o)>;
            if constexpr (std::is_same_v<Kind, order::SetTableEntry>) {
                return fmt::format("line table={} {} {:a}", o.table.value, o.server.value,
                                   o.weight);
            } else if constexpr (std::is_same_v<Kind, order::ClearTable>) {
                return fmt::format("clear table={}", o.table.value);
            } else if constexpr (std::is_same_v<Kind, order::BindProxy>) {
                return fmt::format("bind table={} methods={} proxy={}", o.table.value,
                                   joined(o.methods), o.proxy.value);
            } else if constexpr (std::is_same_v<Kind, order::SetAdmission>) {
                return fmt::format("level table={} methods={} {:a} tries={}",
                                   o.table ? o.table->value : -1, joined(o.methods), o.amount,
                                   static_cast<int>(o.retry_policy));
            } else if constexpr (std::is_same_v<Kind, order::SetWithdrawn>) {
                return fmt::format("withdraw {} out={}", o.server.value, o.withdrawn);
            } else if constexpr (std::is_same_v<Kind, order::SendNonce>) {
                return fmt::format("mark {} everyone={}", o.nonce.value, o.to_all);
            } else if constexpr (std::is_same_v<Kind, order::StartTimer>) {
                return fmt::format("timer {} after={}", o.timer.value, o.after.count());
            } else if constexpr (std::is_same_v<Kind, order::CheckHealth>) {
                return fmt::format("probe {}", o.server.value);
            } else if constexpr (std::is_same_v<Kind, order::Subscribe>) {
                return fmt::format("subscribe on={}", o.on);
            } else if constexpr (std::is_same_v<Kind, order::FetchList>) {
                return "fetch list";
            } else if constexpr (std::is_same_v<Kind, order::SendPeerMessage>) {
                return fmt::format("tell peer={} {}", o.to ? o.to->value : -1, o.text);
            } else {
                return fmt::format("log {}", o.text);
            }
        },
        any);
}

// Hears what the module hears, and compares what each orders. Keeps the first difference.
class Comparison : public Observer {
 public:
    Comparison(const DeploymentSettings& settings, std::uint64_t seed) : plain_(settings, seed) {}

    void on_event(const Event& event) override { plain_.handle(event); }
    void on_decision(TimePoint now, const std::vector<Order>& orders) override {
        const std::vector<Order> expected = plain_.decide(now);
        for (std::size_t i = 0; difference_.empty() && i < std::max(orders.size(), expected.size());
             ++i) {
            const std::string ours = i < orders.size() ? text_of(orders[i]) : "nothing";
            const std::string its = i < expected.size() ? text_of(expected[i]) : "nothing";
            if (ours == its) {
                continue;
            }
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

// Module and reference as one planner: it orders what the module orders. decide() throws
// std::runtime_error at the first order that is not equal.
class Twin {
 public:
    Twin(const DeploymentSettings& settings, std::uint64_t seed)
        : module_(settings, seed), comparison_(settings, seed) {}

    void handle(Event event) {
        comparison_.on_event(event);
        module_.handle(std::move(event));
    }
    std::vector<Order> decide(TimePoint now) {
        std::vector<Order> orders = module_.decide(now);
        comparison_.on_decision(now, orders);
        if (!comparison_.difference().empty()) {
            throw std::runtime_error(comparison_.difference());
        }
        return orders;
    }
    std::size_t compared() const { return comparison_.compared(); }

 private:
    micaroad::Planner module_;
    Comparison comparison_;
};

// A update in full, as text_of(Order) has an order.
inline std::string text_of(const ProxyUpdate& update) {
    std::string text =
        fmt::format("to {} mark {}", update.proxy.value, update.nonce ? update.nonce->value : -1);
    for (const ProxyUpdate::Table& table : update.tables) {
        text += fmt::format("; table full={}", table.full);
        for (const MethodId method : table.methods) {
            text += fmt::format(" m{}", method.value);
        }
        for (const auto& [server, weight] : table.lines) {
            text += fmt::format(" {}={:a}", server.value, weight);
        }
    }
    for (const auto& [method, level] : update.admissions) {
        text += fmt::format("; level {} {:a} {}", method.value, level.amount,
                            static_cast<int>(level.retry_policy));
    }
    for (const auto& [server, out] : update.withdrawn) {
        text += fmt::format("; shut {} {}", server.value, out);
    }
    return text;
}

// The update_builder and its reference as one. Throws std::runtime_error at the first update or
// answer that is not equal.
class UpdateBuilderTwin {
 public:
    explicit UpdateBuilderTwin(std::size_t methods) : update_builder_(methods), plain_(methods) {}

    void on_endpoint_list(const event::EndpointListUpdate& list) {
        update_builder_.on_endpoint_list(list), plain_.on_endpoint_list(list);
    }
    void on_proxy_joined(ProxyId proxy) {
        update_builder_.on_proxy_joined(proxy), plain_.on_proxy_joined(proxy);
    }
    void on_proxy_left(ProxyId proxy) {
        update_builder_.on_proxy_left(proxy), plain_.on_proxy_left(proxy);
    }
    bool on_acknowledgement(ProxyId proxy, Nonce mark) {
        return equal("answered", update_builder_.on_acknowledgement(proxy, mark),
                     plain_.on_acknowledgement(proxy, mark));
    }
    bool forget(const ServerId& server) {
        return equal("forget", update_builder_.forget(server), plain_.forget(server));
    }
    // How many updates were compared.
    std::size_t build_updates(const std::vector<Order>& orders) {
        const std::vector<ProxyUpdate> ours = update_builder_.build_updates(orders),
                                       its = plain_.build_updates(orders);
        equal("number of letters", ours.size(), its.size());
        for (std::size_t i = 0; i < ours.size(); ++i) {
            equal("letter", text_of(ours[i]), text_of(its[i]));
        }
        equal("orders barred", update_builder_.take_suppressed_orders(),
              plain_.take_suppressed_orders());
        return ours.size();
    }

 private:
    template <class Any>
    static Any equal(const char* what, const Any& ours, const Any& its) {
        if (ours != its) {
            throw std::runtime_error(
                fmt::format("{}: outbox '{}', reference '{}'", what, ours, its));
        }
        return ours;
    }

    UpdateBuilder update_builder_;
    reference::UpdateBuilder plain_;
};

}  // namespace micaroad::reference
