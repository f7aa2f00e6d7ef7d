/// Assigns slices of the key space to owners.
#pragma once

#include <map>
#include <set>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/update_scheduler.hpp"

namespace micaroad::decision {

/// Keeps each of this planner's slices assigned to an owner that may get traffic.
///
/// A slice stays with its owner until the owner drains or is gone; slices are not balanced. Where
/// the settings allow a slice one owner at a time, a successor is chosen only once no write can
/// take effect at the former owner any more:
///   - for 2 `max_message_delay` neither the proxies nor the owner may have received the removal,
///   - for `owner_lease` the owner may continue without having received it,
///   - for `write_lifetime` a write that it accepted in that time may take effect.
///
/// Not thread-safe.
class SliceAssigner {
 public:
    /// Both arguments must outlive the assigner.
    SliceAssigner(DecisionContext& context, UpdateScheduler& scheduler);

    void on(const event::SliceAssigned& message);
    void on(const event::SliceOwnerReported& message);
    void on(const EndpointStatus& message);
    /// Removes owners that may get no more traffic, and chooses successors that are due.
    void on(const Tick&);

    Mailbox<event::SliceAssigned, event::SliceOwnerReported, EndpointStatus, Tick> mailbox;

 private:
    struct Slice {
        std::set<ServerId> owners;
        TimePoint assignable_from;  ///< earliest time for a successor
    };

    void remove_closed_owners(TableId slice_id, Slice& slice);
    void assign_owner(TableId slice_id, Slice& slice, const std::vector<ServerId>& candidates);
    [[nodiscard]] TimePoint successor_allowed_from() const;

    DecisionContext& context_;
    UpdateScheduler& scheduler_;
    std::map<TableId, Slice> slices_;  // the slices of this planner
    std::set<ServerId> open_servers_;  // servers that may get traffic
};

}  // namespace micaroad::decision
