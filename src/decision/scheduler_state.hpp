/// The state that the parts of the update scheduler share: tables, proxies, the send window and the
/// values that one part passes to another. UpdateScheduler owns it; each part documents what it
/// changes.
#pragma once

#include <cstddef>

#include "decision/decision_context.hpp"
#include "decision/message_limit.hpp"
#include "decision/proxy_groups.hpp"
#include "decision/proxy_subsets.hpp"
#include "decision/routing_tables.hpp"
#include "decision/send_window.hpp"
#include "decision/unbound_proxies.hpp"

namespace micaroad::decision {

/// Fraction of the configured pace that a channel reaches in any case.
constexpr double kAssuredPaceFraction = 0.6;

/// Overhead of a message in lines as the design counts it; the allowance of learnt changes is
/// counted with it.
constexpr double kDesignLinesPerMessage = 6;

/// Minimum number of endpoints that a subset has of each pool, and maximum number that a partial
/// binding has of each.
constexpr double kMinSubsetSize = 8;

/// An endpoint is overloaded if a smaller fraction of its latest attempts succeeded.
constexpr double kOverloadedSuccessFraction = 0.4;

/// Withdrawals that are not sent yet, as of the last plan; the sender reduces the count.
struct PendingWithdrawals {
    int count = 0;
    TimePoint oldest_due;  ///< the time of the plan if none is pending
    /// Withdrawals that each unbound proxy has to be sent: the pending ones and the recent ones.
    int owed_to_unbound_proxy = 0;
};

struct SchedulerState {
    /// `shared_context` has to live as long as this object.
    explicit SchedulerState(DecisionContext& shared_context)
        : context(shared_context), message_limit(shared_context.settings) {}

    /// Lines that may be pending in all.
    [[nodiscard]] double max_window(WindowUse use) const;
    /// Lines that may be written now; negative if too many are pending already.
    [[nodiscard]] double available_window(WindowUse use) const;
    /// Lines that an update may have that is larger than the window for its use; 0 while anything
    /// is pending.
    [[nodiscard]] double available_for_large_update() const;
    /// Adds what learnt changes may use of the channel's pace in this time to their allowance.
    void add_learnt_allowance(double seconds);
    /// Whether learnt changes may take these lines now. The allowance has a limit; where it is
    /// full, more lines than that are allowed too, and count against it later.
    [[nodiscard]] bool allows_learnt(double lines) const;
    /// Maximum number of proxies in a group: as many as a learnt change may be sent to at a time.
    [[nodiscard]] std::size_t max_group_size() const;
    /// Whether updates are sent to one group after the other: a subset has too many proxies for one
    /// update, or the groups have not been sent the same yet.
    [[nodiscard]] bool is_sent_by_group() const;
    /// Lines that may be pending in all, so that a withdrawal can still be sent to all bound
    /// proxies within the drain grace.
    [[nodiscard]] double max_pending_before_withdrawal() const;
    /// Pauses admission if withdrawals are pending and these lines, for all of them, take longer
    /// to send than the drain grace allows. Nothing is admitted then until all of them are sent,
    /// which costs service for that time.
    void update_admission_pause(double lines_to_send);

    /// Whether the message that pauses admission at a proxy and the one that resumes it together
    /// have fewer lines than one with so many withdrawals. Otherwise a pause delays the withdrawals
    /// for longer than they take.
    [[nodiscard]] bool is_pause_shorter_than(double withdrawals) const {
        return 2 * (lines_per_message() + admission_lines()) < lines_per_message() + withdrawals;
    }

    /// Overhead of a message in lines, including the line of its nonce.
    [[nodiscard]] double lines_per_message() const {
        return context.settings.overhead_lines_per_message + 1;
    }
    /// The channel's configured pace, in lines per second.
    [[nodiscard]] double pace() const { return context.settings.channel_lines_per_second; }
    [[nodiscard]] double drain_grace_seconds() const;
    /// The longest time for which a change waits for a binding, or a binding for an endpoint.
    [[nodiscard]] Duration max_hold() const;
    /// Lines of an admission update to a proxy: one for each method.
    [[nodiscard]] double admission_lines() const {
        return static_cast<double>(context.settings.methods.size());
    }

    [[nodiscard]] const PoolBinding& binding(std::size_t pool) const {
        return tables.pools()[pool].binding;
    }
    /// The table of a pool for a subset, or for one proxy if `table_set` is its own_table_set().
    [[nodiscard]] TableId table_of(std::size_t pool, std::size_t table_set) const;
    /// The table set of a proxy's partial binding; these sets come after those of the subsets.
    [[nodiscard]] std::size_t own_table_set(ProxyId proxy) const {
        return subsets.size() + static_cast<std::size_t>(proxy.value);
    }

    DecisionContext& context;
    MessageLimit message_limit;
    RoutingTables tables;
    ProxySubsets subsets{tables};
    UnboundProxies unbound_proxies;
    SendWindow send_window;       ///< charged with no fewer lines than are written
    double learnt_allowance = 0;  ///< lines that learnt changes may use now; negative: owed
    PendingWithdrawals withdrawals;
    bool admission_paused = false;
    bool any_warming_up = false;  ///< whether any endpoint was when weights were last published

 private:
    [[nodiscard]] double max_large_update() const;
    /// Most lines of an update to a proxy that can't be divided: all admissions, or an endpoint's
    /// entry for each method together with a reinstatement.
    [[nodiscard]] double max_lines_of_update() const;
    [[nodiscard]] double max_learnt_allowance() const;
};

}  // namespace micaroad::decision
