#include "routing/health_tracker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace micaroad::routing {
namespace {

std::string describe_reason(const ConsecutiveChecks& checks) {
    return fmt::format("{} consecutive health checks {}", checks.count,
                       checks.healthy ? "succeeded" : "failed");
}

std::string describe_reason(const ConsecutiveErrors& errors) {
    return fmt::format("{} consecutive RPCs failed", errors.count);
}

}  // namespace

std::string describe(const HealthChangeReason& reason) {
    return std::visit([](const auto& concrete_reason) { return describe_reason(concrete_reason); },
                      reason);
}

HealthTracker::HealthTracker(const Pool& pool, TimePoint now) : rule_(pool.health) {
    std::vector<std::string> checked;
    for (const Server& server : pool.servers) {
        if (server.health_checked && server.health_source.empty()) {
            checked.push_back(server.name);
        }
    }
    const auto count = static_cast<Duration::rep>(checked.size());
    for (std::size_t i = 0; i < checked.size(); ++i) {
        const Duration offset = rule_.interval * static_cast<Duration::rep>(i) / count;
        servers_[checked[i]].next_check_at = now + offset;
    }
}

Duration HealthTracker::check_interval(const ServerHealth& health) const {
    if (health.contradicting_checks > 0 && rule_.transition_interval > Duration{}) {
        return rule_.transition_interval;
    }
    if (!health.up && rule_.down_interval > Duration{}) {
        return rule_.down_interval;
    }
    return rule_.interval;
}

std::vector<std::string> HealthTracker::take_due(TimePoint now) {
    std::vector<std::string> due;
    for (auto& [name, health] : servers_) {
        if (health.next_check_at > now) {
            continue;
        }
        due.push_back(name);
        health.next_check_at = now + std::max(check_interval(health), rule_.timeout);
    }
    return due;
}

std::optional<TimePoint> HealthTracker::next_due() const {
    std::optional<TimePoint> first;
    for (const auto& [name, health] : servers_) {
        first = first ? std::min(*first, health.next_check_at) : health.next_check_at;
    }
    return first;
}

HealthChange HealthTracker::change(const std::string& server, ServerHealth& health, bool up,
                                   TimePoint now, HealthChangeReason reason) {
    health.up = up;
    health.contradicting_checks = 0;
    health.consecutive_errors = 0;
    return {.server = server, .up = up, .at = now, .reason = reason};
}

std::optional<HealthChange> HealthTracker::on_check_result(const std::string& server, bool healthy,
                                                           TimePoint now) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return std::nullopt;
    }
    ServerHealth& health = found->second;
    health.contradicting_checks = healthy == health.up ? 0 : health.contradicting_checks + 1;
    const int required = health.up ? rule_.fall : rule_.rise;
    std::optional<HealthChange> changed;
    if (health.contradicting_checks >= std::max(required, 1)) {
        changed = change(server, health, healthy, now,
                         ConsecutiveChecks{.count = required, .healthy = healthy});
    }
    health.next_check_at = now + check_interval(health);
    return changed;
}

std::optional<HealthChange> HealthTracker::on_rpc_result(const std::string& server, bool succeeded,
                                                         TimePoint now) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || rule_.max_consecutive_errors == 0 || !found->second.up) {
        return std::nullopt;
    }
    ServerHealth& health = found->second;
    health.consecutive_errors = succeeded ? 0 : health.consecutive_errors + 1;
    if (health.consecutive_errors < rule_.max_consecutive_errors) {
        return std::nullopt;
    }
    health.next_check_at = std::min(health.next_check_at, now + check_interval(health));
    return change(server, health, false, now,
                  ConsecutiveErrors{.count = rule_.max_consecutive_errors});
}

void HealthTracker::set_down(const std::string& server) {
    if (const auto found = servers_.find(server); found != servers_.end()) {
        found->second.up = false;
    }
}

bool HealthTracker::is_up(const std::string& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() || found->second.up;
}

}  // namespace micaroad::routing
