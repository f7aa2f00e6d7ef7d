/// Sends what the window allows: admission updates, ownership transfers and the pending changes of
/// the routing tables, in this order.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "decision/admission_updates.hpp"
#include "decision/scheduler_state.hpp"
#include "decision/unbound_notices.hpp"

namespace micaroad::decision {

/// Orders changes, records in the tables what was sent, and charges the send window and the
/// allowance of learnt changes.
class UpdateSender {
 public:
    /// Both have to live as long as this object.
    UpdateSender(SchedulerState& state, AdmissionUpdates& admission)
        : state_(state), admission_(admission) {}

    /// Transfers are sent before all changes of routing tables, in the order in which they are
    /// added.
    void add_transfer(const OwnershipTransfer& transfer) { transfers_.push_back(transfer); }

    /// Sends as much as fits now.
    void send();

 private:
    /// What an update costs each proxy that gets it.
    struct Cost {
        ChangeRank rank = ChangeRank::learnt;
        double lines = 0;                   ///< upper bound, for each bound proxy that gets it
        std::optional<std::size_t> subset;  ///< its proxies get it; absent: those of all subsets
        int unbound_after_join = 0;  ///< unbound proxies that joined after this join get one line
    };

    /// What one call of send() has written so far.
    struct Round {
        explicit Round(const SchedulerState& state)
            : notices(state.unbound_proxies), subset_lines(state.subsets.size()) {}

        UnboundNotices notices;
        std::vector<double> subset_lines;  ///< lines for each proxy of a subset, by subset
        bool urgent_sent = false;
        bool learnt_sent = false;

        /// Counts an update that is written.
        void add(const Cost& cost);
    };

    void update_admission_pause();
    void send_admission(Round& round);
    void send_transfers(Round& round);
    void send_table_changes(Round& round);
    void charge(Round& round);
    void space_rounds(const Round& round);

    [[nodiscard]] bool fits(const Round& round, const Cost& cost) const;
    /// Lines for all bound proxies in this round, with `more_lines` added to each message to
    /// proxies of `subset`; absent: of all subsets.
    [[nodiscard]] double lines_to_bound(const Round& round, double lines_per_message,
                                        double more_lines, std::optional<std::size_t> subset) const;
    [[nodiscard]] Cost cost_of(const PendingChange& change, const RoutingEntry& entry) const;
    void apply(RoutingEntry& entry, std::optional<std::size_t> pool);
    void send_weights(RoutingEntry& entry, std::optional<std::size_t> pool, bool repeated);

    SchedulerState& state_;
    AdmissionUpdates& admission_;
    std::deque<OwnershipTransfer> transfers_;
    TimePoint next_urgent_round_;
    TimePoint next_learnt_round_;
};

}  // namespace micaroad::decision
