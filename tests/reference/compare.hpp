/// Compares the planner with the frozen reference implementation in this directory: both get the
/// same events, and every order must be equal to the bit. Change the reference only together with
/// an intended change of behaviour.
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

// Formats a whole order, with its numbers exact to the bit, so that two texts are equal only if the
// orders are.
inline std::string format_exact(const Order& order) {
    const auto join_methods = [](const std::vector<MethodId>& methods) {
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
                return fmt::format("set entry table={} {} {:a}", o.table.value, o.server.value,
                                   o.weight);
            } else if constexpr (std::is_same_v<Kind, order::ClearTable>) {
                return fmt::format("clear table={}", o.table.value);
            } else if constexpr (std::is_same_v<Kind, order::BindProxy>) {
                return fmt::format("bind table={} methods={} proxy={}", o.table.value,
                                   join_methods(o.methods), o.proxy.value);
            } else if constexpr (std::is_same_v<Kind, order::SetAdmission>) {
                return fmt::format("set admission table={} methods={} {:a} retry_policy={}",
                                   o.table ? o.table->value : -1, join_methods(o.methods), o.amount,
                                   static_cast<int>(o.retry_policy));
            } else if constexpr (std::is_same_v<Kind, order::SetWithdrawn>) {
                return fmt::format("withdraw {} withdrawn={}", o.server.value, o.withdrawn);
            } else if constexpr (std::is_same_v<Kind, order::SendNonce>) {
                return fmt::format("nonce {} to_all={}", o.nonce.value, o.to_all);
            } else if constexpr (std::is_same_v<Kind, order::StartTimer>) {
                return fmt::format("timer {} after={}", o.timer.value, o.after.count());
            } else if constexpr (std::is_same_v<Kind, order::CheckHealth>) {
                return fmt::format("check health {}", o.server.value);
            } else if constexpr (std::is_same_v<Kind, order::Subscribe>) {
                return fmt::format("subscribe on={}", o.on);
            } else if constexpr (std::is_same_v<Kind, order::FetchList>) {
                return "fetch list";
            } else if constexpr (std::is_same_v<Kind, order::SendPeerMessage>) {
                return fmt::format("peer message to={} {}", o.to ? o.to->value : -1, o.text);
            } else {
                return fmt::format("log {}", o.text);
            }
        },
        order);
}

// Passes the planner's events to the reference and compares the orders of both. Keeps the first
// difference.
class Comparison : public Observer {
 public:
    Comparison(const DeploymentSettings& settings, std::uint64_t seed)
        : reference_(settings, seed) {}

    void on_event(const Event& event) override { reference_.handle(event); }
    void on_decision(TimePoint now, const std::vector<Order>& orders) override {
        const std::vector<Order> reference_orders = reference_.decide(now);
        for (std::size_t i = 0;
             difference_.empty() && i < std::max(orders.size(), reference_orders.size()); ++i) {
            const std::string actual = i < orders.size() ? format_exact(orders[i]) : "nothing";
            const std::string expected =
                i < reference_orders.size() ? format_exact(reference_orders[i]) : "nothing";
            if (actual == expected) {
                continue;
            }
            difference_ = fmt::format("order {} at {}: planner '{}', reference '{}'", compared_ + i,
                                      now.time_since_epoch().count(), actual, expected);
        }
        compared_ += orders.size();
    }

    // Describes the first order that differs; empty if all are equal.
    const std::string& difference() const { return difference_; }
    std::size_t compared() const { return compared_; }

 private:
    Planner reference_;
    std::string difference_;
    std::size_t compared_ = 0;
};

// Runs the planner and the reference as one planner, which gives the planner's orders. decide()
// throws std::runtime_error at the first order that differs.
class ComparedPlanner {
 public:
    ComparedPlanner(const DeploymentSettings& settings, std::uint64_t seed)
        : planner_(settings, seed), comparison_(settings, seed) {}

    void handle(Event event) {
        comparison_.on_event(event);
        planner_.handle(std::move(event));
    }
    std::vector<Order> decide(TimePoint now) {
        std::vector<Order> orders = planner_.decide(now);
        comparison_.on_decision(now, orders);
        if (!comparison_.difference().empty()) {
            throw std::runtime_error(comparison_.difference());
        }
        return orders;
    }
    std::size_t compared() const { return comparison_.compared(); }

 private:
    micaroad::Planner planner_;
    Comparison comparison_;
};

// Formats a whole update, as exactly as format_exact(Order) does.
inline std::string format_exact(const ProxyUpdate& update) {
    std::string text =
        fmt::format("to {} nonce {}", update.proxy.value, update.nonce ? update.nonce->value : -1);
    for (const ProxyUpdate::Table& table : update.tables) {
        text += fmt::format("; table full={}", table.full);
        for (const MethodId method : table.methods) {
            text += fmt::format(" m{}", method.value);
        }
        for (const auto& [server, weight] : table.lines) {
            text += fmt::format(" {}={:a}", server.value, weight);
        }
    }
    for (const auto& [method, admission] : update.admissions) {
        text += fmt::format("; admission {} {:a} {}", method.value, admission.amount,
                            static_cast<int>(admission.retry_policy));
    }
    for (const auto& [server, withdrawn] : update.withdrawn) {
        text += fmt::format("; withdrawn {} {}", server.value, withdrawn);
    }
    return text;
}

// Runs the update builder and its reference as one. Throws std::runtime_error at the first update
// or return value that differs.
class ComparedUpdateBuilder {
 public:
    explicit ComparedUpdateBuilder(std::size_t methods)
        : update_builder_(methods), reference_(methods) {}

    void on_endpoint_list(const event::EndpointListUpdate& list) {
        update_builder_.on_endpoint_list(list), reference_.on_endpoint_list(list);
    }
    void on_proxy_joined(ProxyId proxy) {
        update_builder_.on_proxy_joined(proxy), reference_.on_proxy_joined(proxy);
    }
    void on_proxy_left(ProxyId proxy) {
        update_builder_.on_proxy_left(proxy), reference_.on_proxy_left(proxy);
    }
    bool on_acknowledgement(ProxyId proxy, Nonce nonce) {
        return require_equal("on_acknowledgement", update_builder_.on_acknowledgement(proxy, nonce),
                             reference_.on_acknowledgement(proxy, nonce));
    }
    bool forget(const ServerId& server) {
        return require_equal("forget", update_builder_.forget(server), reference_.forget(server));
    }
    // Returns the number of compared updates.
    std::size_t build_updates(const std::vector<Order>& orders) {
        const std::vector<ProxyUpdate> actual = update_builder_.build_updates(orders),
                                       expected = reference_.build_updates(orders);
        require_equal("number of updates", actual.size(), expected.size());
        for (std::size_t i = 0; i < actual.size(); ++i) {
            require_equal("update", format_exact(actual[i]), format_exact(expected[i]));
        }
        require_equal("suppressed orders", update_builder_.take_suppressed_orders(),
                      reference_.take_suppressed_orders());
        return actual.size();
    }

 private:
    template <class Any>
    static Any require_equal(const char* what, const Any& actual, const Any& expected) {
        if (actual != expected) {
            throw std::runtime_error(
                fmt::format("{}: update builder '{}', reference '{}'", what, actual, expected));
        }
        return actual;
    }

    UpdateBuilder update_builder_;
    reference::UpdateBuilder reference_;
};

}  // namespace micaroad::reference
