#include "decision/pool_admission.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace micaroad::decision {

namespace {

// An admitted fraction may exceed what endpoints bear by this factor: smaller changes are not sent.
constexpr double kAdmissionTolerance = 1.25;

/// Shares of the pool's endpoints in one subset, as published.
struct SubsetShares {
    double all = 0;
    double in_use = 0;  ///< of the endpoints that proxies use
};

bool is_in_use(const SchedulerState& state, const TableEntry& table_entry) {
    const RoutingEntry& entry = *table_entry.endpoint;
    return table_entry.sent > 0 && !entry.withdrawn &&
           !state.subsets.groups().is_unsent(*entry.server);
}

std::vector<SubsetShares> shares_by_subset(const SchedulerState& state, std::size_t pool) {
    std::vector<SubsetShares> subsets(std::max<std::size_t>(state.subsets.size(), 1));
    for (const auto& [server, table_entry] : state.tables.pools()[pool].entries) {
        SubsetShares& shares = subsets[table_entry.endpoint->subset];
        shares.all += table_entry.published;
        shares.in_use += is_in_use(state, table_entry) ? table_entry.published : 0;
    }
    return subsets;
}

double admitted_fraction(const SchedulerState& state, std::size_t pool) {
    double fraction = 1;
    for (const SubsetShares& shares : shares_by_subset(state, pool)) {
        if (shares.all > 0) {
            fraction = std::min(fraction, state.tables.pools()[pool].capacity_fraction *
                                              shares.in_use / shares.all);
        }
    }
    const AdmissionKind kind = state.context.settings.admission_kind;
    if (kind == AdmissionKind::none) {
        return 1;
    }
    return kind == AdmissionKind::rate ? std::floor(fraction) : fraction;
}

}  // namespace

RealVector admitted_pool_fractions(const SchedulerState& state) {
    RealVector fractions(1.0, state.tables.pools().size());
    for (std::size_t pool = 0; pool < fractions.size(); ++pool) {
        if (std::isfinite(state.tables.pools()[pool].capacity_fraction)) {
            fractions[pool] = admitted_fraction(state, pool);
        }
    }
    return fractions;
}

bool may_be_put_into_use(const SchedulerState& state, const RoutingEntry& entry, std::size_t pool,
                         double admitted) {
    const double capacity_fraction = state.tables.pools()[pool].capacity_fraction;
    const auto own =
        std::ranges::find(entry.table_entries, pool, &PoolTableEntry::pool)->table_entry;
    if (!std::isfinite(capacity_fraction) || own->published == 0) {
        return true;
    }
    if (state.context.settings.admission_kind == AdmissionKind::none) {
        return capacity_fraction >= 1;
    }
    const SubsetShares shares = shares_by_subset(state, pool)[entry.subset];
    const double in_use = shares.in_use + (is_in_use(state, *own) ? 0 : own->published);
    return admitted <= kAdmissionTolerance * capacity_fraction * in_use / shares.all;
}

}  // namespace micaroad::decision
