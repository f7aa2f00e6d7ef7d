#include "decision/slice_assigner.hpp"

#include <algorithm>
#include <vector>

namespace micaroad::decision {

SliceAssigner::SliceAssigner(DecisionContext& context, UpdateScheduler& scheduler)
    : context_(context), scheduler_(scheduler) {}

void SliceAssigner::on(const event::SliceAssigned& message) {
    slices_.erase(message.slice);
    if (message.ours) {
        // Another planner may just have removed an owner.
        slices_[message.slice].assignable_from = successor_allowed_from();
    }
}

void SliceAssigner::on(const event::SliceOwnerReported& message) {
    const auto found = slices_.find(message.slice);
    if (found != slices_.end()) {
        found->second.owners.insert(message.server);
    }
}

void SliceAssigner::on(const EndpointStatus& message) {
    const ServerId& server = message.listed.server;
    if (message.open) {
        open_servers_.insert(server);
    } else {
        open_servers_.erase(server);
    }
}

void SliceAssigner::on(const Tick&) {
    if (slices_.empty()) {
        return;
    }
    const std::vector<ServerId> candidates(open_servers_.begin(), open_servers_.end());
    for (auto& [slice_id, slice] : slices_) {
        remove_closed_owners(slice_id, slice);
        const bool is_due = slice.owners.empty() && context_.now >= slice.assignable_from;
        if (is_due && !candidates.empty()) {
            assign_owner(slice_id, slice, candidates);
        }
    }
}

void SliceAssigner::remove_closed_owners(TableId slice_id, Slice& slice) {
    for (auto owner = slice.owners.begin(); owner != slice.owners.end();) {
        if (open_servers_.contains(*owner)) {
            ++owner;
            continue;
        }
        scheduler_.mailbox.post(OwnershipTransfer{slice_id, *owner, 0});
        owner = slice.owners.erase(owner);
        slice.assignable_from = std::max(slice.assignable_from, successor_allowed_from());
    }
}

void SliceAssigner::assign_owner(TableId slice_id, Slice& slice,
                                 const std::vector<ServerId>& candidates) {
    const ServerId& owner = candidates[context_.random_engine() % candidates.size()];
    slice.owners.insert(owner);
    scheduler_.mailbox.post(OwnershipTransfer{slice_id, owner, 1});
}

/// The earliest time at which an owner that is removed now can have a successor.
TimePoint SliceAssigner::successor_allowed_from() const {
    const DeploymentSettings& settings = context_.settings;
    if (!settings.single_owner) {
        return context_.now;
    }
    return context_.now + 2 * settings.max_message_delay + settings.owner_lease +
           settings.write_lifetime;
}

}  // namespace micaroad::decision
