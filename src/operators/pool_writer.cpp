// Pools, their servers, health rules, retries and stickiness.
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
    if (server.connections_most > 0) {
        message.set_connections_most(to_unsigned(server.connections_most));
    }
    if (server.queue_most > 0) {
        message.set_queue_most(to_unsigned(server.queue_most));
    }
    if (server.slow_start > Duration{}) {
        message.set_slow_start(format_duration(server.slow_start));
    }
    if (!server.health_of.empty()) {
        message.set_health_of(server.health_of);
    }
    if (!server.mark.empty()) {
        message.set_mark(server.mark);
    }
    if (server.checked) {
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
    if (rule.status_least != defaults.status_least) {
        message.set_status_least(to_unsigned(rule.status_least));
    }
    if (rule.status_most != defaults.status_most) {
        message.set_status_most(to_unsigned(rule.status_most));
    }
}

void write_health_rule(const routing::HealthRule& rule, HealthRule& message) {
    const routing::HealthRule defaults;
    if (rule.every != defaults.every) {
        message.set_every(format_duration(rule.every));
    }
    if (rule.every_in_doubt > Duration{}) {
        message.set_every_in_doubt(format_duration(rule.every_in_doubt));
    }
    if (rule.every_while_down > Duration{}) {
        message.set_every_while_down(format_duration(rule.every_while_down));
    }
    if (rule.patience > Duration{}) {
        message.set_patience(format_duration(rule.patience));
    }
    if (rule.rise != defaults.rise) {
        message.set_rise(to_unsigned(rule.rise));
    }
    if (rule.fall != defaults.fall) {
        message.set_fall(to_unsigned(rule.fall));
    }
    if (rule.errors_most != defaults.errors_most) {
        message.set_errors_most(to_unsigned(rule.errors_most));
    }
    if (rule.kind == routing::HealthRule::Kind::http) {
        write_http(rule, *message.mutable_http());
    }
}

void write_retry_policy(const routing::FurtherTries& policy, FurtherTries& message) {
    const routing::FurtherTries defaults;
    message.set_most(to_unsigned(policy.most));
    if (policy.proof != defaults.proof) {
        message.set_proof(to_file(kRetryProofs, policy.proof));
    }
    if (policy.where != defaults.where) {
        message.set_where(to_file(kRetryTargets, policy.where));
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
    if (stickiness.with_query) {
        message.set_with_query(true);
    }
    if (stickiness.keeps_down) {
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
    if (pool.connections_most > 0) {
        message.set_connections_most(to_unsigned(pool.connections_most));
    }
    if (pool.queue_patience != defaults.queue_patience) {
        message.set_queue_patience(format_duration(pool.queue_patience));
    }
    if (pool.connect_within != defaults.connect_within) {
        message.set_connect_within(format_duration(pool.connect_within));
    }
    if (pool.answer_within != defaults.answer_within) {
        message.set_answer_within(format_duration(pool.answer_within));
    }
    if (pool.further != defaults.further) {
        write_retry_policy(pool.further, *message.mutable_further_tries());
    }
    if (pool.stickiness.by != routing::Stickiness::By::none) {
        write_stickiness(pool.stickiness, *message.mutable_stickiness());
    }
    if (pool.health != defaults.health) {
        write_health_rule(pool.health, *message.mutable_health());
    }
}

}  // namespace micaroad::operators
