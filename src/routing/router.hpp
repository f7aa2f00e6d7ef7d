/// Decides where an RPC goes: the first route that matches, its pool, the tier and shares in use,
/// and an explanation in the sentences that `micaroad explain` prints. It does no I/O and reads no
/// clock; the same plan, view and RPC give the same decision.
///
///     Router router(plan);  // validated by its reader; copied
///     Decision decision = router.decide("shop", rpc, view);
///
/// For each pool, this limits which servers the planner may use (endpoint_registry.hpp); the
/// planner decides how many RPCs each of them gets.
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
    std::string route;  ///< empty: no route matched; the listener's default pool applies, if any
    std::string pool;
    TrafficSplit split;
    std::string sticky_server;             ///< where it should go; may have no share in the split
    int status = 503;                      ///< rejected or redirected: HTTP status of the response
    std::string location;                  ///< redirected: target of the redirect
    Duration queue_timeout{};              ///< wait: the time after which it is rejected
    std::vector<std::string> explanation;  ///< sentences for operators, in the order of the steps
};

/// Immutable after construction; any thread may call it.
class Router {
 public:
    explicit Router(Plan plan);

    [[nodiscard]] const Plan& plan() const { return *plan_; }

    /// Throws std::out_of_range if the plan has no such listener.
    [[nodiscard]] Decision decide(const std::string& listener, const Rpc& rpc,
                                  const View& view) const;
    /// The steps of decide() after the choice of the pool.
    void decide_in_pool(const Pool& pool, const Rpc& rpc, const View& view,
                        Decision& decision) const;

 private:
    struct IndexedListener {
        const Listener* listener;
        RouteIndex index;
    };

    std::shared_ptr<const Plan> plan_;  // shared by copies, since the members below refer to it
    ServerSelector selector_;
    std::map<std::string, IndexedListener> listeners_;
    std::map<std::string, const Pool*> pools_;
};

}  // namespace micaroad::routing
