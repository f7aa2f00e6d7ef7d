/// Assigns slices of the key space to their owners.
#pragma once

#include <map>
#include <set>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/update_scheduler.hpp"

namespace micaroad::decision {

// Mechanism 6. Keeps the rules where keys fall into slices, and no more: a slice stays with its
// owner until that one drains or is gone, and a single owner's successor waits until no write can
// be with the former one.
struct SliceAssigner {
    struct Slice {
        std::set<ServerId> owners;
        TimePoint free_from{};
    };  // no successor before that

    DecisionContext& context;
    UpdateScheduler& scheduler;
    Mailbox<event::SliceAssigned, event::SliceOwnerReported, EndpointStatus, Tick> mailbox{};
    std::map<TableId, Slice> slices{};
    std::set<ServerId> open{};

    void on(const event::SliceAssigned& message) {
        slices.erase(message.slice);
        if (message.ours) {
            slices[message.slice].free_from = free_from();
        }
    }
    void on(const event::SliceOwnerReported& message) {
        if (slices.contains(message.slice)) {
            slices[message.slice].owners.insert(message.server);
        }
    }
    void on(const EndpointStatus& message) {
        message.open ? (void)open.insert(message.listed.server)
                     : (void)open.erase(message.listed.server);
    }
    void on(const Tick&) {
        if (slices.empty()) {
            return;
        }
        const std::vector<ServerId> choice(open.begin(), open.end());
        for (auto& [id, slice] : slices) {
            for (const ServerId& owner : std::set(slice.owners)) {
                if (!open.contains(owner)) {
                    scheduler.mailbox.post(OwnershipTransfer{id, owner, 0}),
                        slice.owners.erase(owner);
                    slice.free_from = std::max(slice.free_from, free_from());
                }
            }
            if (!slice.owners.empty() || choice.empty() || context.now < slice.free_from) {
                continue;
            }
            slice.owners.insert(choice[context.chance() % choice.size()]);
            scheduler.mailbox.post(OwnershipTransfer{id, *slice.owners.begin(), 1});
        }
    }
    TimePoint free_from() const {
        const DeploymentSettings& t = context.settings;
        return context.now + (t.single_owner
                                  ? 2 * t.max_message_delay + t.owner_lease + t.write_lifetime
                                  : Duration{});
    }
};

}  // namespace micaroad::decision
