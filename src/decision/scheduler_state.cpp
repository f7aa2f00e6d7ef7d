#include "decision/scheduler_state.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// Of the configured limit on pending lines.
constexpr double kWindowFraction = 0.9;

// Of the window: bindings and learnt changes leave the rest of it to withdrawals.
constexpr double kNotUrgentFraction = 0.5;

// Learnt changes take no more lines than the channel sends in this part of the drain grace, so that
// a withdrawal behind them is still in time.
constexpr double kLearntGraceFraction = 0.15;

// With subsets, bindings take no more lines than this many times those of learnt changes.
constexpr double kBindingOverLearnt = 2;

}  // namespace

double SchedulerState::available_window(WindowUse use) const {
    const double limit = kWindowFraction * context.settings.max_pending_lines;
    const double sent_in_grace = kLearntGraceFraction * drain_grace_seconds() * pace();
    const double not_urgent = kNotUrgentFraction * limit;
    double usable = limit;
    if (use == WindowUse::learnt) {
        usable = std::min(not_urgent, sent_in_grace);
    } else if (use == WindowUse::binding) {
        usable = subsets.size() > 1 ? std::min(not_urgent, kBindingOverLearnt * sent_in_grace)
                                    : not_urgent;
    }
    return usable - send_window.pending();
}

double SchedulerState::drain_grace_seconds() const {
    return seconds(context.settings.drain_grace);
}

TableId SchedulerState::table_of(std::size_t pool, std::size_t table_set) const {
    const auto offset = static_cast<int>(table_set * tables.pools().size());
    return {binding(pool).table.value + offset};
}

}  // namespace micaroad::decision
