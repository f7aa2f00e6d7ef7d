/// The planner: events in, orders out.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "micaroad/event.hpp"
#include "micaroad/order.hpp"
#include "micaroad/types.hpp"

namespace micaroad {

/// Decides which servers the proxies of a deployment send their RPCs to, and how many RPCs they
/// admit.
///
///     Planner planner(settings, seed);
///     planner.handle(event);                // for each event since the last decision
///     orders = planner.decide(now);         // once for all of them; send its orders together
///
/// The first decide() orders the planner's first timer. Instances share no state, read no clock and
/// do no I/O: the same seed, events and times give the same orders. Not thread-safe: all calls come
/// from one thread.
class Planner {
 public:
    /// `seed` initializes the random engine for all random choices.
    Planner(DeploymentSettings settings, std::uint64_t seed);
    Planner(Planner&&) noexcept = default;
    Planner& operator=(Planner&&) noexcept = default;

    /// Queues an event for the next decide(), which ignores invalid events (a count that is not
    /// finite, for example).
    void handle(Event event);

    /// Handles all queued events and returns the resulting orders. `now` must not decrease between
    /// calls.
    std::vector<Order> decide(TimePoint now);

 private:
    class Impl;
    std::shared_ptr<Impl> impl_;  // has one owner: a planner can be moved, not copied
};

}  // namespace micaroad
