/// Divides the limit on messages to one proxy between rounds of changes and bindings, where the
/// settings have such a limit.
///
/// A round is one message to each proxy that it concerns, so the time between two rounds bounds
/// what rounds take of the limit. The rest is left to bindings.
#pragma once

#include <deque>

#include "micaroad/types.hpp"

namespace micaroad::decision {

/// The times at which a proxy was bound on its current stream, the oldest first. Times that no
/// longer count may be missing.
using BindingTimes = std::deque<TimePoint>;

/// Immutable.
class MessageLimit {
 public:
    explicit MessageLimit(const DeploymentSettings& settings);

    [[nodiscard]] bool exists() const { return limited_; }

    /// Shortest time between two rounds that have an urgent change.
    [[nodiscard]] Duration urgent_spacing() const { return urgent_spacing_; }
    /// Shortest time between two rounds that have a learnt change.
    [[nodiscard]] Duration learnt_spacing() const { return learnt_spacing_; }

    /// Whether a proxy that has no endpoint for a method may be bound again now. The limit holds
    /// even if all rounds come as early as their spacing allows.
    [[nodiscard]] bool allows_binding(const BindingTimes& earlier, TimePoint now) const;
    /// Whether a proxy may be bound again now to even out loads. It may not while an earlier
    /// binding counts, which leaves the rest of the limit to bindings that can't wait.
    [[nodiscard]] bool allows_rebalancing(const BindingTimes& earlier, TimePoint now) const;

    /// Adds a binding and drops the times that no longer count.
    void add_binding(BindingTimes& times, TimePoint now) const;

 private:
    [[nodiscard]] int bindings_in_window(const BindingTimes& times, TimePoint now) const;

    bool limited_;
    Duration window_;
    Duration urgent_spacing_;
    Duration learnt_spacing_;
    int max_bindings_ = 0;  // within the window, where there is a limit
};

}  // namespace micaroad::decision
