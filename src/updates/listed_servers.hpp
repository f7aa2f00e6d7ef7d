/// Tracks which servers the endpoint lists name, and which of them have always been ready.
#pragma once

#include <set>

#include "micaroad/planner.hpp"

namespace micaroad {

/// Tracks the servers in the endpoint lists. Not thread-safe.
class ListedServers {
 public:
    /// Applies a list of any form except `unavailable`.
    void update(const event::EndpointListUpdate& list);

    /// Whether the lists name the server as ready or draining. True for all servers before the
    /// first list.
    [[nodiscard]] bool may_be_listed(const ServerId& server) const {
        return !has_list_ || listed_.contains(server);
    }

    /// Whether the server has been ready since the first list, without a known start time: no
    /// planner, not even an earlier one, had a reason to withdraw it.
    [[nodiscard]] bool is_steady(const ServerId& server) const { return steady_.contains(server); }

 private:
    bool has_list_ = false;
    std::set<ServerId> listed_;  // those that are ready or draining
    std::set<ServerId> steady_;
};

}  // namespace micaroad
