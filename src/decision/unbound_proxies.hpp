/// Proxies that have joined and are not bound to any table yet, in the order in which they are to
/// be bound.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// A proxy that uses tables which this planner did not write.
struct UnboundProxy {
    ProxyId proxy;
    ZoneId zone;
    double rpcs_per_second = 0;  ///< as it announced
    bool initial_table_only = false;
    int join_number = 0;  ///< position of its join among all joins, from 1
    TimePoint joined_at;
    /// When this planner last bound it, if that was a short time before its join; otherwise the
    /// epoch.
    TimePoint bound_at;
};

/// Proxies that were not bound a short time before come first, then those whose binding is the
/// longest ago, so that one that joins again and again delays no other. Among the former, proxies
/// that have only their initial table come first, then the busiest.
struct BindingOrder {
    bool operator()(const UnboundProxy& one, const UnboundProxy& other) const {
        const auto key = [](const UnboundProxy& proxy) {
            return std::tuple(proxy.bound_at, !proxy.initial_table_only, -proxy.rpcs_per_second,
                              proxy.proxy);
        };
        return key(one) < key(other);
    }
};

/// The unbound proxies of a planner, and the count of all joins. Not thread-safe.
class UnboundProxies {
 public:
    /// Adds a proxy that is not in the set.
    void add(const event::ProxyJoined& joined, TimePoint now, TimePoint bound_at = {}) {
        ++join_count_;
        proxies_.insert({joined.proxy, joined.zone, joined.rpcs_per_second,
                         joined.initial_table_only, join_count_, now, bound_at});
        join_times_.emplace(join_count_, now);
    }
    void remove(ProxyId proxy) {
        const auto found = std::ranges::find(proxies_, proxy, &UnboundProxy::proxy);
        if (found != proxies_.end()) {
            join_times_.erase(found->join_number);
            proxies_.erase(found);
        }
    }

    [[nodiscard]] bool empty() const { return proxies_.empty(); }
    [[nodiscard]] std::size_t size() const { return proxies_.size(); }
    [[nodiscard]] const UnboundProxy& first() const { return *proxies_.begin(); }
    [[nodiscard]] const std::set<UnboundProxy, BindingOrder>& all() const { return proxies_; }
    /// Number of the last join, also of proxies that are bound now or have left; 0: none joined.
    [[nodiscard]] int last_join() const { return join_count_; }
    /// When the first of them joined that joined after `join`; absent if there is none.
    [[nodiscard]] std::optional<TimePoint> first_joined_after(int join) const {
        const auto found = join_times_.upper_bound(join);
        return found == join_times_.end() ? std::nullopt : std::optional(found->second);
    }

 private:
    std::set<UnboundProxy, BindingOrder> proxies_;
    std::map<int, TimePoint> join_times_;  // by join number
    int join_count_ = 0;
};

}  // namespace micaroad::decision
