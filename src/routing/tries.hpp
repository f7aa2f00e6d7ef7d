// Whether an RPC that failed is tried again, and where. Rule 2 stands over every setting: what may
// have run is tried again only where it is idempotent, whatever the operator's file (or the file it
// was made from) asks for.
#pragma once

#include <string>
#include <vector>

#include "routing/choice.hpp"

namespace micaroad::routing {

// How a try ended, as far as the proxy can know.
enum class Ending {
    no_connection,  // never ran: nothing was sent
    pushed_back,    // the server said that it did not run it (503, 429)
    aborted,        // the connection broke once something had been sent, or the answer says that it
                    // failed
    no_answer,      // not in time
};

struct Again {
    bool may = false;
    std::string server;  // to the same one; empty: by the parts, without those that were tried
    std::string why;
};

// `tried` names the servers of the pool so far, in order, each as often as it was tried; the last
// one failed by `ending`.
Again try_again(const Pool& pool, const Rpc& rpc, const std::vector<std::string>& tried,
                Ending ending);

}  // namespace micaroad::routing
