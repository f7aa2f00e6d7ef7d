/// Counts what withdrawals and reinstatements cost the proxies that are not bound yet. The planner
/// does not know which tables these hold, so each is sent all of them since it joined.
#pragma once

#include <algorithm>
#include <vector>

#include "decision/send_window.hpp"
#include "decision/unbound_proxies.hpp"

namespace micaroad::decision {

/// The notices that one decision sends to unbound proxies. A notice goes to the proxies that joined
/// after a certain join; a proxy gets all of its notices in one message.
class UnboundNotices {
 public:
    /// `proxies` has to live as long as this object and must not change meanwhile.
    explicit UnboundNotices(const UnboundProxies& proxies)
        : proxies_(proxies), first_join_(proxies.last_join()) {
        for (const UnboundProxy& unbound : proxies.all()) {
            joins_.push_back(unbound.join_number);
        }
        std::ranges::sort(joins_);
    }

    [[nodiscard]] bool empty() const { return notified_after_.empty(); }

    /// Lines of all notices so far and one more to the proxies that joined after `join`, with
    /// `lines_per_message` for each message.
    [[nodiscard]] double lines_with(int join, double lines_per_message) const {
        return lines_ + joined_after(join) +
               lines_per_message * joined_after(std::min(first_join_, join));
    }

    /// Adds a notice to the proxies that joined after `join`.
    void add(int join) {
        lines_ += joined_after(join);
        first_join_ = std::min(first_join_, join);
        notified_after_.push_back(join);
    }

    /// Charges each proxy's message to the window.
    void charge(SendWindow& window, double lines_per_message) {
        std::ranges::sort(notified_after_);
        for (const UnboundProxy& unbound : proxies_.all()) {
            const auto notices = std::ranges::lower_bound(notified_after_, unbound.join_number) -
                                 notified_after_.begin();
            if (notices > 0) {
                window.charge(unbound.proxy, lines_per_message + static_cast<double>(notices));
            }
        }
    }

 private:
    [[nodiscard]] double joined_after(int join) const {
        return static_cast<double>(joins_.end() - std::ranges::upper_bound(joins_, join));
    }

    const UnboundProxies& proxies_;
    std::vector<int> joins_;           // ascending
    std::vector<int> notified_after_;  // the join of each notice
    int first_join_;                   // the smallest of them; the last join if there is none
    double lines_ = 0;                 // of all notices
};

}  // namespace micaroad::decision
