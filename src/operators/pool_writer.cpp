// Writers of pools, their servers, health rules, retry rules and stickiness.
#include "operators/duration.hpp"
#include "operators/enum_tables.hpp"
#include "operators/writers.hpp"

namespace micaroad::operators {
namespace {

void write_server(const routing::Server& server, Server& message) {
    message.set_name(server.name);
    message.set_address(server.address);
    if (server.weight != 1) {
        message.set_weight(to_unsigned(server.weight));
    }
    if (server.tier != routing::Tier::active) {
        message.set_tier(to_file(kTiers, server.tier));
    }
    if (server.state != routing::State::ready) {
        message.set_state(to_file(kStates, server.state));
    }
    if (server.max_connections > 0) {
        message.set_connections_most(to_unsigned(server.max_connections));
    }
    if (server.max_queued > 0) {
        message.set_queue_most(to_unsigned(server.max_queued));
    }
    if (server.slow_start > Duration{}) {
        message.set_slow_start(format_duration(server.slow_start));
    }
    if (!server.health_source.empty()) {
        message.set_health_of(server.health_source);
    }
    if (!server.cookie_value.empty()) {
        message.set_mark(server.cookie_value);
    }
    if (server.health_checked) {
        message.set_checked(true);
    }
}

void write_http(const routing::HealthRule& rule, HealthRule::Http& message) {
    const routing::HealthRule defaults;
    if (rule.http_method != defaults.http_method) {
        message.set_method(rule.http_method);
    }
    if (rule.http_path != defaults.http_path) {
        message.set_path(rule.http_path);
    }
    if (!rule.http_host.empty()) {
        message.set_host(rule.http_host);
    }
    if (rule.min_status != defaults.min_status) {
        message.set_status_least(to_unsigned(rule.min_status));
    }
    if (rule.max_status != defaults.max_status) {
        message.set_status_most(to_unsigned(rule.max_status));
    }
}

void write_health_rule(const routing::HealthRule& rule, HealthRule& message) {
    const routing::HealthRule defaults;
    if (rule.interval != defaults.interval) {
        message.set_every(format_duration(rule.interval));
    }
    if (rule.transition_interval > Duration{}) {
        message.set_every_in_doubt(format_duration(rule.transition_interval));
    }
    if (rule.down_interval > Duration{}) {
        message.set_every_while_down(format_duration(rule.down_interval));
    }
    if (rule.timeout > Duration{}) {
        message.set_patience(format_duration(rule.timeout));
    }
    if (rule.rise != defaults.rise) {
        message.set_rise(to_unsigned(rule.rise));
    }
    if (rule.fall != defaults.fall) {
        message.set_fall(to_unsigned(rule.fall));
    }
    if (rule.max_consecutive_errors != defaults.max_consecutive_errors) {
        message.set_errors_most(to_unsigned(rule.max_consecutive_errors));
    }
    if (rule.kind == routing::HealthRule::Kind::http) {
        write_http(rule, *message.mutable_http());
    }
}

void write_retry_policy(const routing::RetryRule& policy, FurtherTries& message) {
    const routing::RetryRule defaults;
    message.set_most(to_unsigned(policy.max_retries));
    if (policy.condition != defaults.condition) {
        message.set_proof(to_file(kRetryConditions, policy.condition));
    }
    if (policy.target != defaults.target) {
        message.set_where(to_file(kRetryTargets, policy.target));
    }
}

void write_stickiness(const routing::Stickiness& stickiness, Stickiness& message) {
    message.set_by(to_file(kStickinessKeys, stickiness.by));
    if (!stickiness.name.empty()) {
        message.set_name(stickiness.name);
    }
    if (stickiness.path_depth > 0) {
        message.set_path_depth(to_unsigned(stickiness.path_depth));
    }
    if (stickiness.path_length > 0) {
        message.set_path_length(to_unsigned(stickiness.path_length));
    }
    if (stickiness.include_query) {
        message.set_with_query(true);
    }
    if (stickiness.stay_when_down) {
        message.set_keeps_down(true);
    }
}

}  // namespace

void write_pool(const routing::Pool& pool, Pool& message) {
    const routing::Pool defaults;
    message.set_name(pool.name);
    for (const routing::Server& server : pool.servers) {
        write_server(server, *message.add_server());
    }
    if (pool.all_backups) {
        message.set_all_backups(true);
    }
    if (pool.max_connections > 0) {
        message.set_connections_most(to_unsigned(pool.max_connections));
    }
    if (pool.queue_timeout != defaults.queue_timeout) {
        message.set_queue_patience(format_duration(pool.queue_timeout));
    }
    if (pool.connect_timeout != defaults.connect_timeout) {
        message.set_connect_within(format_duration(pool.connect_timeout));
    }
    if (pool.response_timeout != defaults.response_timeout) {
        message.set_answer_within(format_duration(pool.response_timeout));
    }
    if (pool.retry_rule != defaults.retry_rule) {
        write_retry_policy(pool.retry_rule, *message.mutable_further_tries());
    }
    if (pool.stickiness.by != routing::Stickiness::By::none) {
        write_stickiness(pool.stickiness, *message.mutable_stickiness());
    }
    if (pool.health != defaults.health) {
        write_health_rule(pool.health, *message.mutable_health());
    }
}

}  // namespace micaroad::operators
