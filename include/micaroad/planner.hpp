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
///     planner.handle(event);                // for every event that has come in
///     orders = planner.decide(now);         // once for all of them; its orders are sent together
///
/// The first decide() after construction asks for the planner's timer. Instances share nothing,
/// read no clock and do no I/O: the same seed and events give the same orders. Not thread-safe; one
/// thread calls it.
class Planner {
 public:
    /// `seed` is that of all random choices.
    Planner(DeploymentSettings settings, std::uint64_t seed);
    Planner(Planner&&) noexcept = default;
    Planner& operator=(Planner&&) noexcept = default;

    /// Keeps an event for the next decide(). An event that makes no sense (a count that is no
    /// finite number, say) is ignored there.
    void handle(Event event);

    /// Handles all events since the last call. `now` must not go back between calls.
    std::vector<Order> decide(TimePoint now);

 private:
    class Impl;
    std::shared_ptr<Impl> impl_;  // never shared: a planner can be moved, not copied
};

}  // namespace micaroad
