#include "decision/scheduler_state.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// The send window as a fraction of the configured limit on pending lines.
constexpr double kWindowFraction = 0.9;

// Fraction of the window that bindings and learnt changes may use; the rest is left to withdrawals.
constexpr double kNonUrgentWindowFraction = 0.5;

// Learnt changes take no more lines than the channel sends in this fraction of the drain grace, so
// that a withdrawal queued behind them is still in time.
constexpr double kLearntGraceFraction = 0.15;

// With several subsets, bindings take at most this many times the lines that learnt changes may
// take.
constexpr double kBindingToLearntRatio = 2;

}  // namespace

double SchedulerState::available_window(WindowUse use) const {
    const double limit = kWindowFraction * context.settings.max_pending_lines;
    const double sent_in_grace = kLearntGraceFraction * drain_grace_seconds() * pace();
    const double non_urgent = kNonUrgentWindowFraction * limit;
    double usable = limit;
    if (use == WindowUse::learnt) {
        usable = std::min(non_urgent, sent_in_grace);
    } else if (use == WindowUse::binding) {
        usable = subsets.size() > 1 ? std::min(non_urgent, kBindingToLearntRatio * sent_in_grace)
                                    : non_urgent;
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
