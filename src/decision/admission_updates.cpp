#include "decision/admission_updates.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace micaroad::decision {

namespace {

// Smaller changes of a fraction are not sent. The design sends changes over a tenth; this is less
// because a fraction affects all RPCs of a method.
constexpr double kMinFractionChange = 0.03;

// A pool's fraction is sent if it is 1, smaller than the sent one by the first factor, or larger by
// the second. Pools that warm up change often, and each update reaches all proxies.
constexpr double kMinPoolFractionFall = 0.9;
constexpr double kMinPoolFractionRise = 1.25;

// The amount that admits all RPCs where admission is a rate at each proxy: a rate that no proxy
// reaches.
constexpr double kUnlimitedRpcsPerSecond = 1e6;

}  // namespace

// If proxies have another retry policy by default, the sent fractions start at 0. These differ from
// any wanted ones, so that the first update sends the planner's policy.
AdmissionUpdates::AdmissionUpdates(const SchedulerState& state)
    : state_(state),
      wanted_fractions_(1.0, state.context.settings.methods.size()),
      sent_{RealVector(state.context.settings.default_retry_policy == kRetryPolicy ? 1.0 : 0.0,
                       state.context.settings.methods.size()),
            RealVector(), kRetryPolicy} {}

// Prevents overload by retries: there are none while RPCs are shed, or while an endpoint is warming
// up, which would be sent all RPCs that other endpoints reject.
AdmissionSetting AdmissionUpdates::next_setting(bool paused) {
    pool_admission_.forget_sums();
    RealVector fractions = wanted_fractions_ * (paused ? 0.0 : 1.0);
    const bool no_retries = state_.any_warming_up || fractions.min() < 1;
    return {std::move(fractions), pool_admission_.fractions(),
            no_retries ? RetryPolicy::never : kRetryPolicy};
}

bool AdmissionUpdates::is_significant(const AdmissionSetting& setting) const {
    for (std::size_t pool = 0; pool < setting.pool_fractions.size(); ++pool) {
        const double wanted = setting.pool_fractions[pool];
        const double sent = sent_pool_fraction(pool);
        const bool differs =
            wanted != sent && (wanted == 1 || wanted < kMinPoolFractionFall * sent ||
                               wanted > kMinPoolFractionRise * sent);
        if (differs) {
            return true;
        }
    }
    return setting.retry_policy != sent_.retry_policy ||
           std::abs(setting.fractions - sent_.fractions).max() > kMinFractionChange;
}

bool AdmissionUpdates::lowers_pool_fraction(const AdmissionSetting& setting) const {
    for (std::size_t pool = 0; pool < setting.pool_fractions.size(); ++pool) {
        if (setting.pool_fractions[pool] < sent_pool_fraction(pool)) {
            return true;
        }
    }
    return false;
}

bool AdmissionUpdates::allows(const RoutingEntry& entry, std::optional<std::size_t> pool) {
    return std::ranges::all_of(entry.table_entries, [&](const PoolTableEntry& pool_entry) {
        const TableEntry& table_entry = *pool_entry.table_entry;
        const bool concerned = pool ? pool_entry.pool == *pool && table_entry.sent == 0 : true;
        return !concerned || table_entry.wanted == 0 ||
               pool_admission_.may_be_put_into_use(entry, pool_entry.pool,
                                                   sent_pool_fraction(pool_entry.pool));
    });
}

ChangeRank AdmissionUpdates::rank_of(const AdmissionSetting& setting) const {
    const bool begins_or_ends = setting.fractions.max() == 0 || sent_.fractions.max() == 0;
    return begins_or_ends || lowers_pool_fraction(setting) ? ChangeRank::urgent
                                                           : ChangeRank::learnt;
}

void AdmissionUpdates::set_sent(const AdmissionSetting& setting) {
    sent_ = setting;
    any_sent_ = true;
}

void AdmissionUpdates::append_last_sent(std::span<const std::size_t> table_sets,
                                        std::vector<Order>& orders) const {
    const bool as_rate = state_.context.settings.admission_kind == AdmissionKind::rate;
    const double admit_all = as_rate ? kUnlimitedRpcsPerSecond : 1;
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        for (const MethodId method : state_.binding(pool).methods) {
            const double amount = admit_all *
                                  sent_.fractions[static_cast<std::size_t>(method.value)] *
                                  sent_pool_fraction(pool);
            for (const std::size_t table_set : table_sets) {
                orders.push_back(order::SetAdmission{
                    state_.table_of(pool, table_set), {method}, amount, sent_.retry_policy});
            }
        }
    }
}

}  // namespace micaroad::decision
