#include "routing/retry.hpp"

#include <fmt/format.h>

#include <utility>

namespace micaroad::routing {
namespace {

RetryDecision no_retry(std::string explanation) {
    return {.retry = false, .server = "", .explanation = std::move(explanation)};
}

}  // namespace

RetryDecision decide_retry(const Pool& pool, const Rpc& rpc,
                           const std::vector<std::string>& attempted_servers,
                           AttemptOutcome outcome) {
    using Condition = RetryRule::Condition;
    using Target = RetryRule::Target;
    const RetryRule& rule = pool.retry_rule;
    if (attempted_servers.empty()) {
        return no_retry("nothing was tried");
    }
    const int retries = static_cast<int>(attempted_servers.size()) - 1;
    if (retries >= rule.max_retries) {
        return no_retry(fmt::format("{} further tries were made, as many as may be", retries));
    }
    if (outcome != AttemptOutcome::no_connection && rule.condition == Condition::no_connection) {
        return no_retry("only what never reached a server is tried again here");
    }
    const bool not_executed =
        outcome == AttemptOutcome::no_connection || outcome == AttemptOutcome::rejected_by_server;
    if (!not_executed && rule.condition == Condition::not_executed) {
        return no_retry("only what a server has pushed back is tried again here");
    }
    if (!not_executed && !rpc.idempotent()) {
        return no_retry(fmt::format("{} may have run, and must not take effect twice", rpc.method));
    }
    const bool is_last = retries + 1 == rule.max_retries;
    const bool other_server =
        rule.target == Target::other || (rule.target == Target::other_on_last_retry && is_last);
    if (other_server) {
        return {.retry = true, .server = "", .explanation = "another server"};
    }
    return {.retry = true, .server = attempted_servers.back(), .explanation = "the same server"};
}

}  // namespace micaroad::routing
