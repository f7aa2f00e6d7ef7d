/// What the routing tables hold of an endpoint, and the changes that are still to be sent. Plain
/// data: RoutingTables owns all of it and keeps it consistent.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "decision/messages.hpp"
#include "decision/pool_membership.hpp"

namespace micaroad::decision {

/// How soon a change has to be sent, the most urgent first.
enum class ChangeRank : std::int8_t {
    not_planned = -1,
    urgent = 0,   ///< a withdrawal, or a reinstatement where no endpoint is in use
    learnt = 1,   ///< a weight, which the optimizer learnt from reports, or any other reinstatement
    cleanup = 2,  ///< the table entry of a withdrawn endpoint, which no proxy uses any more
};

/// A change that is still to be sent. Changes are sent in ascending order.
struct PendingChange {
    ChangeRank rank = ChangeRank::not_planned;
    double sort_key = 0;  ///< within the rank, lowest first
    ServerId server;
    /// The pool whose table entry changes; absent: the endpoint is withdrawn or reinstated in all
    /// tables.
    std::optional<std::uint32_t> pool;

    auto operator<=>(const PendingChange&) const = default;
};

/// The position of a change among the pending ones.
struct PlannedChange {
    ChangeRank rank = ChangeRank::not_planned;
    double sort_key = 0;

    [[nodiscard]] bool is_planned() const { return rank != ChangeRank::not_planned; }
    bool operator==(const PlannedChange&) const = default;
};

struct RoutingEntry;

/// An endpoint in the tables of one pool. Weights are fractions of the pool's traffic; 0: no entry.
struct TableEntry {
    RoutingEntry* endpoint = nullptr;
    double published = 0;  ///< what the optimizer published last
    double wanted = 0;     ///< what proxies should hold, on the scale of `sent`
    double sent = 0;       ///< what proxies were sent last
    PlannedChange planned;
};

/// An endpoint's entry in the tables of a pool, by the pool's index.
struct PoolTableEntry {
    std::size_t pool = 0;
    TableEntry* table_entry = nullptr;
};

/// The state of an endpoint at the proxies. Proxies do not use a withdrawn endpoint, whatever their
/// tables hold, until it is reinstated. There are tens of thousands of these objects, so members
/// are ordered to need little padding.
struct RoutingEntry {
    const ServerId* server = nullptr;           ///< the key in RoutingTables::endpoints()
    std::vector<PoolTableEntry> table_entries;  ///< in the order of pools
    ZoneId zone;
    /// Number of the last join among proxies that were sent its withdrawal or reinstatement.
    int notified_until_join = 0;
    std::size_t subset = 0;
    bool tracked = true;  ///< the optimizer publishes weights for it
    bool warming_up = false;
    bool withdrawn = false;  ///< its withdrawal was sent, and no reinstatement since
    /// Another planner may have withdrawn it at a proxy that joins, so a binding has to reinstate
    /// it.
    bool may_be_withdrawn_at_proxies = false;
    bool queued_for_planning = false;
    TimePoint withdrawal_due;           ///< since when it should be withdrawn; epoch: it should not
    TimePoint availability_changed;     ///< when it was last withdrawn or reinstated
    TimePoint last_published;           ///< when the optimizer last published weights for it
    double success_fraction = 1;        ///< of the attempts in its latest load report
    PlannedChange availability_change;  ///< its withdrawal or reinstatement

    /// Sums over the pools.
    [[nodiscard]] double published() const { return sum(&TableEntry::published); }
    [[nodiscard]] double wanted() const { return sum(&TableEntry::wanted); }
    [[nodiscard]] double sent() const { return sum(&TableEntry::sent); }

 private:
    [[nodiscard]] double sum(double TableEntry::* weight) const {
        double sum = 0;
        for (const auto& [pool, table_entry] : table_entries) {
            sum += table_entry->*weight;
        }
        return sum;
    }
};

/// The tables of one pool: one table for each subset.
struct TablePool {
    PoolBinding binding;
    std::map<const ServerId*, TableEntry, ByServer> entries;
    /// As PoolCapacity::fraction.
    double capacity_fraction = std::numeric_limits<double>::infinity();
    double sent_in_use = 0;             ///< sum of the sent weights of endpoints that stay in use
    std::vector<double> binding_lines;  ///< lines that a binding sends of the pool, by subset

    /// Whether proxies of this zone use the pool.
    [[nodiscard]] bool serves(ZoneId zone) const { return binding.zone.value_or(zone) == zone; }
};

}  // namespace micaroad::decision
