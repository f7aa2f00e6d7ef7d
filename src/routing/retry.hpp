/// Whether a failed RPC is retried, and where. One rule stands over every setting: what may have
/// been executed is retried only where it is idempotent, whatever the operator's file (or the file
/// that it was made from) asks for.
#pragma once

#include <string>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// How an attempt failed, as far as the proxy can know.
enum class AttemptOutcome {
    no_connection,       ///< never executed: nothing was sent
    rejected_by_server,  ///< the server said that it did not execute it (503, 429)
    aborted,    ///< the connection broke after something was sent, or the answer is a failure
    no_answer,  ///< not in time
};

struct RetryDecision {
    bool retry = false;
    std::string server;       ///< the same again; empty: by the shares, without those attempted
    std::string explanation;  ///< for a person
};

/// `attempted_servers` names the pool's servers in the order of the attempts so far, each as often
/// as it was attempted; the last attempt ended as `outcome` says. Pure; any thread may call it.
[[nodiscard]] RetryDecision decide_retry(const Pool& pool, const Rpc& rpc,
                                         const std::vector<std::string>& attempted_servers,
                                         AttemptOutcome outcome);

}  // namespace micaroad::routing
