/// Which servers the endpoint lists name, and which of them have been ready throughout.
#pragma once

#include <set>

#include "micaroad/planner.hpp"

namespace micaroad {

/// Follows the endpoint lists. Not thread-safe.
class ListedServers {
 public:
    /// Takes any form of list but `unavailable`.
    void update(const event::EndpointListUpdate& list);

    /// Named as ready or draining by the lists so far. True of every server before the first list.
    [[nodiscard]] bool may_be_listed(const ServerId& server) const {
        return !has_list_ || listed_.contains(server);
    }

    /// Ready since the first list, and no start known: nobody has had a reason to withdraw it, not
    /// even an earlier planner.
    [[nodiscard]] bool is_steady(const ServerId& server) const { return steady_.contains(server); }

 private:
    bool has_list_ = false;
    std::set<ServerId> listed_;  // ready or draining
    std::set<ServerId> steady_;
};

}  // namespace micaroad
