#include "decision/admission_updates.hpp"

#include <cmath>
#include <utility>

namespace micaroad::decision {

namespace {

// Fractions that differ by less are not sent. The design sends changes over a tenth; this is less,
// as a fraction bears on all RPCs of a method.
constexpr double kFractionWorthSending = 0.03;

// Where admission is a rate at each proxy: one that no proxy reaches, so that it admits all.
constexpr double kUnlimitedRpcsPerSecond = 1e6;

}  // namespace

// Proxies whose own default is another retry policy are sent the planner's with the first update:
// fractions of 0 differ from any wanted ones.
AdmissionUpdates::AdmissionUpdates(const SchedulerState& state)
    : state_(state),
      wanted_fractions_(1.0, state.context.settings.methods.size()),
      sent_{RealVector(state.context.settings.default_retry_policy == kRetryPolicy ? 1.0 : 0.0,
                       state.context.settings.methods.size()),
            kRetryPolicy} {}

// Guards against overload by retries: none while RPCs are shed, or while an endpoint warms up, to
// which all that others reject would be sent.
AdmissionSetting AdmissionUpdates::next(bool paused) const {
    RealVector fractions = wanted_fractions_ * (paused ? 0.0 : 1.0);
    const bool no_retries = state_.any_warming_up || fractions.min() < 1;
    return {std::move(fractions), no_retries ? RetryPolicy::never : kRetryPolicy};
}

bool AdmissionUpdates::is_worth_sending(const AdmissionSetting& setting) const {
    return setting.retry_policy != sent_.retry_policy ||
           std::abs(setting.fractions - sent_.fractions).max() > kFractionWorthSending;
}

ChangeRank AdmissionUpdates::rank_of(const AdmissionSetting& setting) const {
    const bool begins_or_ends = setting.fractions.max() == 0 || sent_.fractions.max() == 0;
    return begins_or_ends ? ChangeRank::urgent : ChangeRank::learnt;
}

void AdmissionUpdates::set_sent(const AdmissionSetting& setting) {
    sent_ = setting;
    any_sent_ = true;
}

void AdmissionUpdates::order_sent(std::span<const std::size_t> table_sets,
                                  std::vector<Order>& orders) const {
    const bool as_rate = state_.context.settings.admission_kind == AdmissionKind::rate;
    const double all = as_rate ? kUnlimitedRpcsPerSecond : 1;
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        for (const MethodId method : state_.binding(pool).methods) {
            const double amount = all * sent_.fractions[static_cast<std::size_t>(method.value)];
            for (const std::size_t table_set : table_sets) {
                orders.push_back(order::SetAdmission{
                    state_.table_of(pool, table_set), {method}, amount, sent_.retry_policy});
            }
        }
    }
}

}  // namespace micaroad::decision
