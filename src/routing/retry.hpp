/// Decides whether a failed RPC is retried, and at which server. Whatever the operator's file, or
/// the file that it was imported from, allows, an RPC that may have been executed is retried only
/// if it is idempotent.
#pragma once

#include <string>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// How an attempt failed, as far as the proxy can tell.
enum class AttemptOutcome {
    no_connection,       ///< nothing was sent, so the RPC was not executed
    rejected_by_server,  ///< the server said that it did not execute it (503, 429)
    aborted,    ///< the connection broke after something was sent, or the response is a failure
    no_answer,  ///< no response arrived in time
};

struct RetryDecision {
    bool retry = false;
    /// The same server; empty: choose by the shares among the servers not yet attempted.
    std::string server;
    std::string explanation;  ///< for operators to read
};

/// Decides whether to retry an RPC whose last attempt failed with `outcome`. `attempted_servers`
/// lists the server of each attempt so far, in order; a server occurs once for each attempt. Pure;
/// any thread may call it.
[[nodiscard]] RetryDecision decide_retry(const Pool& pool, const Rpc& rpc,
                                         const std::vector<std::string>& attempted_servers,
                                         AttemptOutcome outcome);

}  // namespace micaroad::routing
