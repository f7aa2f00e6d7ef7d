// Which servers of a pool an RPC may go to, and in what parts: states, tiers, weights, slow start,
// limits, stickiness.
#pragma once

#include <string>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

// What a server is good for right now.
enum class Standing {
    usable,      // new RPCs
    stuck_only,  // those that are stuck to it: weight 0, or draining within the grace
    full,        // usable, but as many RPCs run there as may
    out,         // none
};

struct Part {
    std::string server;  // without its pool
    double share = 0;    // all shares together are 1
};

struct Parts {
    Tier tier = Tier::active;
    std::vector<Part> parts;  // empty: nobody can be sent a new RPC
    bool all_full = false;    // usable servers there are, but each runs all it may
    std::string why;          // one sentence
};

// States that servers take from those whose health is theirs are followed along `health_of`, which
// readers of a plan have checked for circles; a chain longer than all servers counts as out.
class Chooser {
 public:
    explicit Chooser(const Plan& plan);  // keeps a reference

    Standing standing(const Pool& pool, const Server& server, const View& view,
                      std::string* why = nullptr) const;
    // Of the tier that is in use: active servers while any of them is usable (full ones too, as a
    // full server is no reason to leave the tier), else the backups, all or the first usable.
    Parts parts(const Pool& pool, const View& view) const;
    // How many servers RPCs may go to: those of the tier in use, and of backups that stand in one
    // by one, one.
    int usable(const std::string& pool, const View& view) const;
    // How much of its weight a server may use, 1/16 to 1, so long after it came up.
    static double warmth(const Server& server, const ServerNow& now, TimePoint at);
    // The server that an RPC is to stay with, by its mark or by a hash over the parts; empty: none.
    std::string stuck_to(const Pool& pool, const Rpc& rpc, const View& view,
                         const Parts& parts) const;

 private:
    struct Named {
        const Pool* pool;
        const Server* server;
    };
    const Plan& plan_;
    std::map<std::string, Named> named_;
    std::map<std::string, const Pool*> pools_;
};

// What of an RPC its stickiness goes by; empty where the RPC lacks it.
std::string sticky_key(const Stickiness& stickiness, const Rpc& rpc);

}  // namespace micaroad::routing
