// Where an RPC goes: the first route that fits, its pool, the tier and parts in use, and why, in
// words that `explain` prints. Free of I/O and clocks; the same plan, view and RPC give the same
// answer.
//
//   Router router(plan);                          // checked by its reader; copied
//   Decision d = router.decide("shop", rpc, view);
//
// What it says of a pool bounds what the decision module may do with it (roster.hpp); the module
// still decides who gets how much.
#pragma once

#include <memory>

#include "routing/choice.hpp"
#include "routing/route_index.hpp"

namespace micaroad::routing {

struct Decision {
    enum class Kind { send, wait, turned_away, redirected } kind = Kind::turned_away;
    std::string listener, route,
        pool;  // route is empty where the listener's default pool was taken
    Parts parts;
    std::string stuck_to;  // of the parts or not: where this RPC is to go if that may be
    int status = 503;      // turned away, redirected: said at once
    std::string location;  // redirected
    Duration patience{};   // wait: so long at most, then it is turned away
    std::vector<std::string> why;
};

class Router {
 public:
    explicit Router(Plan plan);
    const Plan& plan() const { return *plan_; }
    const Chooser& chooser() const { return chooser_; }

    // Throws std::out_of_range where there is no such listener.
    Decision decide(const std::string& listener, const Rpc& rpc, const View& view) const;
    // The same from its pool on.
    void decide_in(const Pool& pool, const Rpc& rpc, const View& view, Decision& decision) const;

 private:
    struct Entry {
        const Listener* listener;
        RouteIndex index;
    };
    std::shared_ptr<const Plan> plan_;
    Chooser chooser_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, const Pool*> pools_;
};

}  // namespace micaroad::routing
