#include "decision/pool_admission.hpp"

#include <algorithm>
#include <cmath>

namespace micaroad::decision {

namespace {

// An admitted fraction may exceed what endpoints bear by this factor: smaller changes are not sent.
constexpr double kAdmissionTolerance = 1.25;

}  // namespace

RealVector PoolAdmission::fractions() {
    RealVector fractions(1.0, state_.tables.pools().size());
    for (std::size_t pool = 0; pool < fractions.size(); ++pool) {
        if (std::isfinite(state_.tables.pools()[pool].capacity_fraction)) {
            fractions[pool] = fraction(pool);
        }
    }
    return fractions;
}

bool PoolAdmission::may_be_put_into_use(const RoutingEntry& entry, std::size_t pool,
                                        double admitted) {
    const double capacity_fraction = state_.tables.pools()[pool].capacity_fraction;
    const TableEntry* const own =
        std::ranges::find(entry.table_entries, pool, &PoolTableEntry::pool)->table_entry;
    if (!std::isfinite(capacity_fraction) || own->published == 0) {
        return true;
    }
    if (state_.context.settings.admission_kind == AdmissionKind::none) {
        return capacity_fraction >= 1;
    }
    const SubsetShares& shares = shares_by_subset(pool)[entry.subset];
    const double in_use = shares.in_use + (is_in_use(*own) ? 0 : own->published);
    return admitted <= kAdmissionTolerance * capacity_fraction * in_use / shares.all;
}

bool PoolAdmission::is_in_use(const TableEntry& table_entry) const {
    const RoutingEntry& entry = *table_entry.endpoint;
    return table_entry.sent > 0 && !entry.withdrawn &&
           !state_.subsets.groups().is_unsent(*entry.server);
}

const std::vector<PoolAdmission::SubsetShares>& PoolAdmission::shares_by_subset(std::size_t pool) {
    const auto [found, added] = sums_.try_emplace(pool);
    std::vector<SubsetShares>& subsets = found->second;
    if (!added) {
        return subsets;
    }
    subsets.resize(std::max<std::size_t>(state_.subsets.size(), 1));
    for (const auto& [server, table_entry] : state_.tables.pools()[pool].entries) {
        SubsetShares& shares = subsets[table_entry.endpoint->subset];
        shares.all += table_entry.published;
        shares.in_use += is_in_use(table_entry) ? table_entry.published : 0;
    }
    return subsets;
}

double PoolAdmission::fraction(std::size_t pool) {
    double fraction = 1;
    for (const SubsetShares& shares : shares_by_subset(pool)) {
        if (shares.all > 0) {
            fraction = std::min(fraction, state_.tables.pools()[pool].capacity_fraction *
                                              shares.in_use / shares.all);
        }
    }
    const AdmissionKind kind = state_.context.settings.admission_kind;
    if (kind == AdmissionKind::none) {
        return 1;
    }
    return kind == AdmissionKind::rate ? std::floor(fraction) : fraction;
}

}  // namespace micaroad::decision
