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
        return no_retry("no attempt was made");
    }
    const int retries = static_cast<int>(attempted_servers.size()) - 1;
    if (retries >= rule.max_retries) {
        return no_retry(fmt::format("{} retries were made, which is the limit", retries));
    }
    if (outcome != AttemptOutcome::no_connection && rule.condition == Condition::no_connection) {
        return no_retry("the pool retries only RPCs for which no connection was made");
    }
    const bool not_executed =
        outcome == AttemptOutcome::no_connection || outcome == AttemptOutcome::rejected_by_server;
    if (!not_executed && rule.condition == Condition::not_executed) {
        return no_retry("the pool retries only RPCs that no server executed");
    }
    if (!not_executed && !rpc.idempotent()) {
        return no_retry(fmt::format("{} is not idempotent and may have been executed", rpc.method));
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
