// Readers of health rules, and the check of servers that take their health from another server.
#include <fmt/format.h>

#include "operators/readers.hpp"

namespace micaroad::operators {
namespace {

constexpr std::uint32_t kMaxChecks = 1'000;
constexpr std::uint32_t kFirstStatus = 100;
constexpr std::uint32_t kLastStatus = 599;

void read_intervals(const HealthRule& message, const LocatedMessage& location,
                    routing::HealthRule& rule) {
    rule.interval = location.read_duration("every", message.every());
    if (message.has_every_in_doubt()) {
        rule.transition_interval =
            location.read_duration("every_in_doubt", message.every_in_doubt());
    }
    if (message.has_every_while_down()) {
        rule.down_interval = location.read_duration("every_while_down", message.every_while_down());
    }
    if (message.has_patience()) {
        rule.timeout = location.read_duration("patience", message.patience());
    }
}

void read_http(const HealthRule::Http& message, const LocatedMessage& location,
               routing::HealthRule& rule) {
    rule.kind = routing::HealthRule::Kind::http;
    rule.http_method = message.method();
    rule.http_path = message.path();
    rule.http_host = message.host();
    rule.min_status =
        location.read_number("status_least", message.status_least(), kFirstStatus, kLastStatus);
    rule.max_status =
        location.read_number("status_most", message.status_most(), kFirstStatus, kLastStatus);
    if (rule.min_status > rule.max_status) {
        location.add_fault("status_least", std::to_string(rule.min_status),
                           "greater than 'status_most'",
                           fmt::format("{} to {}", kFirstStatus, rule.max_status));
    }
}

}  // namespace

void read_health_rule(const HealthRule& message, const LocatedMessage& location,
                      routing::HealthRule& rule) {
    read_intervals(message, location, rule);
    rule.rise = location.read_number("rise", message.rise(), 1, kMaxChecks);
    rule.fall = location.read_number("fall", message.fall(), 1, kMaxChecks);
    rule.max_consecutive_errors =
        location.read_number("errors_most", message.errors_most(), 0, kMaxConnections);
    if (message.has_http()) {
        read_http(message.http(), location.nested("http", message.http()), rule);
    }
}

void HealthChains::add_follower(const std::string& full_name, const std::string& followed,
                                const LocatedMessage& location) {
    followed_[full_name] = followed;
    followers_.push_back({full_name, location});
}

void HealthChains::check() const {
    for (const Follower& follower : followers_) {
        check(follower);
    }
}

// Checks the chain of one follower. An unknown server is reported only at the server that names it,
// not at others whose chain leads there.
void HealthChains::check(const Follower& follower) const {
    std::set<std::string> visited;
    std::string server = follower.full_name;
    while (followed_.contains(server)) {
        const std::string& followed = followed_.at(server);
        if (!visited.insert(server).second) {
            follower.location.add_fault("health_of", followed_.at(follower.full_name),
                                        "circular health chain",
                                        "a chain that ends at a server with its own health");
            return;
        }
        if (server == follower.full_name && !servers_.contains(followed)) {
            follower.location.add_fault("health_of", followed, "unknown server", "pool/server");
            return;
        }
        server = followed;
    }
}

}  // namespace micaroad::operators
