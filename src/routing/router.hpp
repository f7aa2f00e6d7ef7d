/// Where an RPC goes: the first route that matches, its pool, the tier and shares in use, and the
/// reasons, in the sentences that `explain` prints. Free of I/O and clocks; the same plan, view and
/// RPC give the same decision.
///
///     Router router(plan);  // the plan is checked by its reader, and copied
///     Decision decision = router.decide("shop", rpc, view);
///
/// What it says of a pool limits what the planner may do with it (endpoint_registry.hpp); the
/// planner still decides who gets how much.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/route_index.hpp"
#include "routing/server_selector.hpp"

namespace micaroad::routing {

struct Decision {
    enum class Kind { send, wait, rejected, redirected };

    Kind kind = Kind::rejected;
    std::string listener;
    std::string route;  ///< empty: none matched, and the listener's default pool was taken
    std::string pool;
    TrafficSplit split;
    std::string sticky_server;  ///< in the split or not: where this RPC goes if it may
    int status = 503;           ///< rejected or redirected: the HTTP status of the answer
    std::string location;       ///< redirected: where to
    Duration queue_timeout{};   ///< wait: the longest time, after which it is rejected
    std::vector<std::string> explanation;  ///< sentences for a person, in the order of the steps
};

/// Pure after construction: any thread may call it.
class Router {
 public:
    explicit Router(Plan plan);

    [[nodiscard]] const Plan& plan() const { return *plan_; }

    /// Throws std::out_of_range if the plan has no such listener.
    [[nodiscard]] Decision decide(const std::string& listener, const Rpc& rpc,
                                  const View& view) const;
    /// The steps of decide() that follow the choice of the pool.
    void decide_in_pool(const Pool& pool, const Rpc& rpc, const View& view,
                        Decision& decision) const;

 private:
    struct IndexedListener {
        const Listener* listener;
        RouteIndex index;
    };

    std::shared_ptr<const Plan> plan_;  // shared by copies, as the members below refer to it
    ServerSelector selector_;
    std::map<std::string, IndexedListener> listeners_;
    std::map<std::string, const Pool*> pools_;
};

}  // namespace micaroad::routing
