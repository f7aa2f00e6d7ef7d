#include "haproxy/pools.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

constexpr int kDefaultRetries = 3;            // HAProxy's default
constexpr int kDefaultErrorLimit = 10;        // HAProxy's default
constexpr int kMaxTemplateServers = 100'000;  // of one `server-template` line
constexpr std::size_t kMaxNameLength = 128;

bool is_hash_balance(const Balance& balance) {
    return balance.kind == "source" || balance.kind == "uri" || balance.kind == "url_param" ||
           balance.kind == "hdr";
}

/// HAProxy waits without limit if a timeout is absent or 0.
bool is_unlimited(std::optional<Duration> timeout) {
    return !timeout || *timeout == Duration{};
}

// Parses the key of `stick on`, such as "src" or "hdr(name)"; absent: it is not supported.
std::optional<routing::Stickiness> parse_stickiness_key(const std::string& expression) {
    using By = routing::Stickiness::By;
    const std::string text = expression.substr(0, expression.find(','));
    const auto open = text.find('(');
    const std::string name = text.substr(0, open);
    const std::string argument = open != std::string::npos && text.ends_with(')')
                                     ? text.substr(open + 1, text.size() - open - 2)
                                     : "";
    routing::Stickiness to;
    if (name == "src") {
        to.by = By::source;
    } else if (name == "path") {
        to.by = By::path;
    } else if ((name == "hdr" || name == "req.hdr" || name == "req.fhdr") && !argument.empty()) {
        to.by = By::header;
        to.name = argument;
    } else if ((name == "url_param" || name == "urlp") && !argument.empty()) {
        to.by = By::query;
        to.name = argument;
    } else {
        return std::nullopt;
    }
    return to;
}

bool is_server_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameLength &&
           std::ranges::all_of(name, [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_' ||
                      character == '.' || character == ':';
           });
}

/// Why an address can't be that of a server.
struct AddressError {
    std::string reason;
};

/// Returns an error unless `endpoint` is an IP address with a port. `address` is the text that it
/// was read from.
std::optional<AddressError> check_server_address(const Endpoint& endpoint,
                                                 const std::string& address) {
    switch (endpoint.kind) {
        case Endpoint::Kind::literal:
            break;
        case Endpoint::Kind::needs_look_up:
            return AddressError{
                fmt::format("'{}' needs a look-up, which is not done: write its address", address)};
        case Endpoint::Kind::any_host:
            return AddressError{fmt::format(
                "'{}' means the client's own destination, which is not supported", address)};
        case Endpoint::Kind::unix_path:
        case Endpoint::Kind::other:
            return AddressError{fmt::format("'{}' is not a TCP address", address)};
    }
    if (endpoint.relative_port || endpoint.port == 0) {
        return AddressError{
            fmt::format("'{}' takes its port from the client's connection", address)};
    }
    return std::nullopt;
}

/// Returns the stickiness that corresponds to a hashing `balance`, or none for other algorithms.
routing::Stickiness stickiness_of(const Balance& balance) {
    using By = routing::Stickiness::By;
    routing::Stickiness stickiness;
    if (balance.kind == "source") {
        stickiness.by = By::source;
    } else if (balance.kind == "uri") {
        stickiness.by = By::path;
        stickiness.path_depth = balance.depth;
        stickiness.path_length = balance.length;
        stickiness.include_query = balance.whole;
    } else if (balance.kind == "url_param") {
        stickiness.by = By::query;
        stickiness.name = balance.argument;
    } else if (balance.kind == "hdr") {
        stickiness.by = By::header;
        stickiness.name = balance.argument;
    }
    return stickiness;
}

bool has_condition(const Statement& statement, std::size_t from) {
    for (std::size_t position = from; position < statement.size(); ++position) {
        if (statement.word(position) == "if" || statement.word(position) == "unless") {
            return true;
        }
    }
    return false;
}

}  // namespace

void PoolBuilder::add(const Draft& draft) {
    const Section& section = *draft.section;
    const Settings& settings = draft.settings;
    const std::size_t header = section.header.number;
    routing::Pool pool;
    pool.name = section.name;
    report(header, Verdict::translated, fmt::format("pool {}", pool.name));
    set_timeouts(draft, pool);

    const Balance balance = settings.balance.get_or(Balance{}, findings_);
    balance_[pool.name] = balance.kind;
    pool.all_backups = settings.all_backups.get_or(false, findings_);
    set_retries(settings, pool);
    set_health_check(settings, pool);
    set_stickiness(draft, balance, pool);
    if (settings.hash_type && is_hash_balance(balance)) {
        settings.hash_type.get(findings_);
    }
    server_names_.clear();
    for (const ServerStatement& at : draft.servers) {
        add_servers(at, draft, pool);
    }
    if (pool.servers.empty()) {
        report(header, Verdict::changed, "the pool has no servers: RPCs routed to it are rejected");
    }
    if (draft.disabled) {
        for (routing::Server& server : pool.servers) {
            server.state = routing::State::disabled;
        }
    }
    pools_.push_back(std::move(pool));
}

std::optional<Duration> PoolBuilder::find_timeout(const Settings& settings,
                                                  const std::string& name) {
    const auto found = settings.timeouts.find(name);
    if (found == settings.timeouts.end()) {
        return std::nullopt;
    }
    return found->second.get(findings_);
}

void PoolBuilder::set_timeouts(const Draft& draft, routing::Pool& pool) {
    const Settings& settings = draft.settings;
    const std::optional<Duration> connect = find_timeout(settings, "connect");
    const std::optional<Duration> response = find_timeout(settings, "server");
    const std::optional<Duration> queue = find_timeout(settings, "queue");
    if (is_unlimited(connect) || is_unlimited(response)) {
        report(draft.section->header.number, Verdict::changed,
               "without `timeout connect` or `timeout server` HAProxy waits without limit; the "
               "limits here are 5 s and 30 s");
    }
    if (connect && !is_unlimited(connect)) {
        pool.connect_timeout = *connect;
        pool.queue_timeout = *connect;
    }
    if (response && !is_unlimited(response)) {
        pool.response_timeout = *response;
    }
    if (queue && is_unlimited(queue)) {
        report(settings.timeouts.at("queue").line(), Verdict::changed,
               "queued RPCs do not wait without limit: the connect timeout applies to them");
    } else if (queue) {
        pool.queue_timeout = *queue;
    }
}

void PoolBuilder::set_retries(const Settings& settings, routing::Pool& pool) {
    using routing::RetryRule;
    const auto retry_on = settings.retry_on.get_or({true, false}, findings_);
    const bool any_retry = retry_on.first;
    const bool after_any_failure = retry_on.second;
    const Redispatch redispatch = settings.redispatch.get_or(Redispatch{}, findings_);
    pool.retry_rule.max_retries =
        any_retry ? settings.retries.get_or(kDefaultRetries, findings_) : 0;
    pool.retry_rule.condition =
        after_any_failure ? RetryRule::Condition::any_failure : RetryRule::Condition::no_connection;
    if (!redispatch.on) {
        pool.retry_rule.target = RetryRule::Target::same;
    } else if (redispatch.interval == 1) {
        pool.retry_rule.target = RetryRule::Target::other;
    } else {
        pool.retry_rule.target = RetryRule::Target::other_on_last_retry;
    }
}

void PoolBuilder::set_health_check(const Settings& settings, routing::Pool& pool) {
    if (settings.check) {
        const Check& check = settings.check.get(findings_);
        if (check.http) {
            pool.health.kind = routing::HealthRule::Kind::http;
            pool.health.http_method = check.method;
            pool.health.http_path = check.path;
            pool.health.http_host = check.host;
            pool.health.min_status = check.min_status;
            pool.health.max_status = check.max_status;
        }
    }
    if (const std::optional<Duration> check_timeout = find_timeout(settings, "check")) {
        pool.health.timeout = *check_timeout;
    }
}

void PoolBuilder::set_stickiness(const Draft& draft, const Balance& balance, routing::Pool& pool) {
    const Settings& settings = draft.settings;
    pool.stickiness = stickiness_of(balance);
    bool has_key = false;
    if (settings.cookie) {
        if (pool.stickiness.by != routing::Stickiness::By::none) {
            report(settings.balance.line(), Verdict::changed,
                   fmt::format("in pool {} the cookie selects the server; RPCs without it are "
                               "spread by weight",
                               pool.name));
        }
        pool.stickiness = {};
        pool.stickiness.by = routing::Stickiness::By::cookie;
        pool.stickiness.name = settings.cookie.get(findings_).name;
        pool.stickiness.stay_when_down = settings.persist.get_or(false, findings_);
        has_key = true;
    }
    for (const Statement* stick : draft.sticks) {
        if (read_stick_rule(*stick, settings, has_key, pool)) {
            has_key = true;
        }
    }
}

bool PoolBuilder::read_stick_rule(const Statement& statement, const Settings& settings,
                                  bool has_key, routing::Pool& pool) {
    if (statement.word(1) != "on") {
        report(
            statement.number, Verdict::refused,
            "only `stick on` with src, path, hdr() or url_param() is supported; nothing is stored");
        return false;
    }
    const std::string& expression = statement.word(2);
    const std::optional<routing::Stickiness> by = parse_stickiness_key(expression);
    if (!by) {
        report(statement.number, Verdict::refused,
               fmt::format("'{}' is not supported as a key of stickiness", expression));
        return false;
    }
    if (has_condition(statement, 3)) {
        report(statement.number, Verdict::refused,
               "stickiness is a setting of the whole pool: conditions are not supported");
        return false;
    }
    if (has_key) {
        report(statement.number, Verdict::refused,
               "another line already sets the stickiness key of this pool");
        return false;
    }
    pool.stickiness = *by;
    if (settings.stick_table) {
        settings.stick_table.get(findings_);
    }
    report(statement.number, Verdict::changed,
           "each key goes to a server chosen by its hash while that server is usable, even on its "
           "first RPC");
    return true;
}

void PoolBuilder::add_servers(const ServerStatement& at, const Draft& draft, routing::Pool& pool) {
    const Statement& statement = *at.statement;
    const bool is_template = statement.word(0) == "server-template";
    const std::size_t from = is_template ? 4 : 3;
    ServerParameters parameters = at.words;
    if (statement.size() < from) {
        return report(statement.number, Verdict::refused,
                      is_template ? "a prefix, a number and an address are needed"
                                  : "a name and an address are needed");
    }
    read_server_parameters(statement, from, parameters, findings_);
    for (const std::size_t line : at.default_lines) {
        findings_.mark_used(line);
    }
    if (parameters.left_out) {
        return;
    }
    if (parameters.min_conn > 0 && draft.settings.full_conn) {
        draft.settings.full_conn.get(findings_);
    }
    if (!is_template) {
        return add_server(at, parameters, statement.word(1), draft, pool);
    }
    // "5" means 1 to 5, "3-7" means 3 to 7.
    const std::string& range = statement.word(2);
    const auto dash = range.find('-');
    const auto low = dash == std::string::npos
                         ? Parsed<std::int64_t>{1, ""}
                         : parse_number(range.substr(0, dash), 0, 2'147'483'647);
    const auto high =
        parse_number(dash == std::string::npos ? range : range.substr(dash + 1), 0, 2'147'483'647);
    if (!low || !high) {
        return report(statement.number, Verdict::refused, low ? high.error : low.error);
    }
    if (*low > *high) {
        return report(statement.number, Verdict::refused,
                      fmt::format("the range {} is empty", range));
    }
    if (*high - *low >= kMaxTemplateServers) {
        return report(statement.number, Verdict::refused,
                      fmt::format("{} servers at most", kMaxTemplateServers));
    }
    const auto endpoint = parse_endpoint(statement.word(3));
    if (endpoint && endpoint->kind == Endpoint::Kind::needs_look_up) {
        return report(
            statement.number, Verdict::refused,
            fmt::format("'{}' needs a look-up, which is not done: list the addresses as servers",
                        statement.word(3)));
    }
    for (std::int64_t n = *low; n <= *high; ++n) {
        add_server(at, parameters, fmt::format("{}{}", statement.word(1), n), draft, pool);
    }
}

void PoolBuilder::add_server(const ServerStatement& at, const ServerParameters& parameters,
                             const std::string& name, const Draft& draft, routing::Pool& pool) {
    const Statement& statement = *at.statement;
    const std::size_t line = statement.number;
    const auto leave_out = [&](const std::string& why) {
        report(line, Verdict::refused, fmt::format("{}: the server is left out", why));
    };
    const std::string& address = statement.word(statement.word(0) == "server" ? 2 : 3);
    if (!is_server_name(name)) {
        return leave_out(fmt::format("'{}' is not a server name", name));
    }
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return leave_out(endpoint.error);
    }
    if (const auto error = check_server_address(*endpoint, address)) {
        return leave_out(error->reason);
    }
    if (!server_names_.insert(name).second) {
        return leave_out(fmt::format("a second server {} in {}", name, pool.name));
    }

    routing::Server server;
    server.name = name;
    server.address = endpoint->text();
    server.weight = parameters.weight;
    server.tier = parameters.backup ? routing::Tier::backup : routing::Tier::active;
    if (parameters.disabled) {
        server.state = routing::State::disabled;
    } else if (parameters.weight == 0) {
        server.state = routing::State::draining;
        report(line, Verdict::changed,
               "weight 0: the server gets no new RPCs; those that stickiness keeps there stay "
               "until the drain's grace ends (in HAProxy, without limit)");
    }
    server.max_connections = parameters.max_conn > 0 ? parameters.max_conn : parameters.min_conn;
    server.max_queued = parameters.max_queue;
    const Balance balance = draft.settings.balance.get_or(Balance{}, findings_);
    const bool has_slow_start =
        balance.kind == "roundrobin" || balance.kind == "leastconn" || balance.kind == "random";
    if (has_slow_start) {
        server.slow_start = parameters.slow_start;
    }
    server.cookie_value = parameters.cookie;
    server.health_source = parameters.track;
    if (!server.health_source.empty() && server.health_source.find('/') == std::string::npos) {
        server.health_source = pool.name + "/" + server.health_source;
    }
    server.health_checked = parameters.check && parameters.track.empty();
    if (server.health_checked) {
        set_server_health(at, parameters, pool);
    }
    finding_by_server_[pool.name + "/" + name] = line;
    pool.servers.push_back(std::move(server));
}

// A pool has one health rule: that of its first checked server. Another server's rule that differs
// is reported as changed.
void PoolBuilder::set_server_health(const ServerStatement& at, const ServerParameters& parameters,
                                    routing::Pool& pool) {
    routing::HealthRule rule = pool.health;
    const routing::HealthRule defaults;
    const bool is_first = health_rule_servers_.try_emplace(pool.name, at.statement->word(1)).second;
    rule.interval = parameters.interval.value_or(defaults.interval);
    rule.transition_interval = parameters.transition_interval.value_or(Duration{});
    rule.down_interval = parameters.down_interval.value_or(Duration{});
    rule.rise = parameters.rise.value_or(defaults.rise);
    rule.fall = parameters.fall.value_or(defaults.fall);
    rule.max_consecutive_errors =
        parameters.observes ? parameters.error_limit.value_or(kDefaultErrorLimit) : 0;
    if (is_first) {
        pool.health = rule;
    } else if (rule != pool.health) {
        report(at.statement->number, Verdict::changed,
               fmt::format("a pool has one health rule: that of server {}",
                           health_rule_servers_.at(pool.name)));
    }
}

std::vector<routing::Pool> PoolBuilder::finish() {
    std::map<std::string, const routing::Server*> servers;
    for (const routing::Pool& pool : pools_) {
        for (const routing::Server& server : pool.servers) {
            servers[pool.name + "/" + server.name] = &server;
        }
    }
    std::map<std::string, std::string> left_out;  // reasons by "pool/server"
    for (const auto& [name, server] : servers) {
        std::set<std::string> visited{name};
        std::string tracked = name;
        while (left_out.count(name) == 0 && !servers.at(tracked)->health_source.empty()) {
            const std::string& next = servers.at(tracked)->health_source;
            if (!servers.contains(next)) {
                left_out[name] = fmt::format("it tracks {}, which is not there", next);
            } else if (!visited.insert(next).second) {
                left_out[name] =
                    fmt::format("its `track` parameters form a circle through {}", next);
            }
            tracked = next;
        }
        if (left_out.count(name) == 0 && tracked != name && !servers.at(tracked)->health_checked) {
            left_out[name] = fmt::format("it tracks {}, which is not checked", tracked);
        }
    }
    for (const auto& [name, reason] : left_out) {
        report(finding_by_server_.at(name), Verdict::refused,
               fmt::format("{}: the server is left out", reason));
    }
    for (routing::Pool& pool : pools_) {
        std::erase_if(pool.servers, [&](const routing::Server& server) {
            return left_out.contains(pool.name + "/" + server.name);
        });
    }
    return std::move(pools_);
}

}  // namespace micaroad::haproxy
