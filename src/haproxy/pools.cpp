#include "haproxy/pools.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

constexpr int kRetries = 3;      // of the original, where nothing is said
constexpr int kErrorLimit = 10;  // likewise
constexpr int kMostTemplated = 100'000;
constexpr std::size_t kMaxNameLength = 128;

bool by_hash(const Balance& balance) {
    return balance.kind == "source" || balance.kind == "uri" || balance.kind == "url_param" ||
           balance.kind == "hdr";
}

/// HAProxy waits without end where a timeout is absent or 0.
bool is_unlimited(std::optional<Duration> timeout) {
    return !timeout || *timeout == Duration{};
}

// What `stick on` and `balance` name, as the planner's stickiness; absent: no equal.
std::optional<routing::Stickiness> sticky_by(const std::string& expression) {
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

/// Why a server can't have an address.
struct AddressError {
    std::string reason;
};

/// `address` is the text that `endpoint` was read from.
std::optional<AddressError> check_server_address(const Endpoint& endpoint,
                                                 const std::string& address) {
    switch (endpoint.kind) {
        case Endpoint::Kind::literal:
            break;
        case Endpoint::Kind::needs_look_up:
            return AddressError{
                fmt::format("'{}' needs a look-up, which is not done: write its address", address)};
        case Endpoint::Kind::any_host:
            return AddressError{fmt::format("'{}' is wherever the client meant to go", address)};
        case Endpoint::Kind::unix_path:
        case Endpoint::Kind::other:
            return AddressError{fmt::format("'{}' is no TCP address", address)};
    }
    if (endpoint.relative_port || endpoint.port == 0) {
        return AddressError{fmt::format("'{}' takes its port from the client's", address)};
    }
    return std::nullopt;
}

/// The stickiness that a hashing `balance` amounts to.
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
    say(header, Verdict::translated, fmt::format("pool {}", pool.name));
    set_timeouts(draft, pool);

    const Balance balance = settings.balance.get_or(Balance{}, findings_);
    balance_[pool.name] = balance.kind;
    pool.all_backups = settings.all_backups.get_or(false, findings_);
    set_retries(settings, pool);
    set_health_check(settings, pool);
    stickiness(draft, balance, pool);
    if (settings.hash_type && by_hash(balance)) {
        settings.hash_type.get(findings_);
    }
    names_.clear();
    for (const ServerAt& at : draft.servers) {
        servers(at, draft, pool);
    }
    if (pool.servers.empty()) {
        say(header, Verdict::changed, "the pool has no servers: what is sent there is turned away");
    }
    if (draft.disabled) {
        for (routing::Server& server : pool.servers) {
            server.state = routing::State::disabled;
        }
    }
    pools_.push_back(std::move(pool));
}

std::optional<Duration> PoolBuilder::timeout(const Settings& settings, const std::string& name) {
    const auto found = settings.timeouts.find(name);
    if (found == settings.timeouts.end()) {
        return std::nullopt;
    }
    return found->second.get(findings_);
}

void PoolBuilder::set_timeouts(const Draft& draft, routing::Pool& pool) {
    const Settings& settings = draft.settings;
    const std::optional<Duration> connect = timeout(settings, "connect");
    const std::optional<Duration> answer = timeout(settings, "server");
    const std::optional<Duration> queue = timeout(settings, "queue");
    if (is_unlimited(connect) || is_unlimited(answer)) {
        say(draft.section->header.number, Verdict::changed,
            "without `timeout connect` or `timeout server` the original waits without end; here 5 "
            "s and 30 s");
    }
    if (connect && !is_unlimited(connect)) {
        pool.connect_timeout = *connect;
        pool.queue_timeout = *connect;
    }
    if (answer && !is_unlimited(answer)) {
        pool.response_timeout = *answer;
    }
    if (queue && is_unlimited(queue)) {
        say(settings.timeouts.at("queue").line(), Verdict::changed,
            "nobody waits without end: as long as for a connection");
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
    pool.retry_rule.max_retries = any_retry ? settings.retries.get_or(kRetries, findings_) : 0;
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
            pool.health.min_status = check.status_least;
            pool.health.max_status = check.status_most;
        }
    }
    if (const std::optional<Duration> patience = timeout(settings, "check")) {
        pool.health.timeout = *patience;
    }
}

void PoolBuilder::stickiness(const Draft& draft, const Balance& balance, routing::Pool& pool) {
    const Settings& settings = draft.settings;
    pool.stickiness = stickiness_of(balance);
    bool taken = false;
    if (settings.cookie) {
        if (pool.stickiness.by != routing::Stickiness::By::none) {
            say(settings.balance.line(), Verdict::changed,
                fmt::format("in pool {} the cookie decides; RPCs without it spread by weight",
                            pool.name));
        }
        pool.stickiness = {};
        pool.stickiness.by = routing::Stickiness::By::cookie;
        pool.stickiness.name = settings.cookie.get(findings_).name;
        pool.stickiness.stay_when_down = settings.persist.get_or(false, findings_);
        taken = true;
    }
    for (const Statement* stick : draft.sticks) {
        if (stick_on(*stick, settings, taken, pool)) {
            taken = true;
        }
    }
}

bool PoolBuilder::stick_on(const Statement& statement, const Settings& settings, bool taken,
                           routing::Pool& pool) {
    if (statement.word(1) != "on") {
        say(statement.number, Verdict::refused,
            "nothing is stored: `stick on` with src, path, hdr() or url_param()");
        return false;
    }
    const std::string& expression = statement.word(2);
    const std::optional<routing::Stickiness> by = sticky_by(expression);
    if (!by) {
        say(statement.number, Verdict::refused,
            fmt::format("'{}' is nothing that RPCs are kept together by here", expression));
        return false;
    }
    if (has_condition(statement, 3)) {
        say(statement.number, Verdict::refused, "stickiness is by pool, without conditions");
        return false;
    }
    if (taken) {
        say(statement.number, Verdict::refused,
            "a pool keeps RPCs together by one thing, and it has one");
        return false;
    }
    pool.stickiness = *by;
    if (settings.stick_table) {
        settings.stick_table.get(findings_);
    }
    say(statement.number, Verdict::changed,
        "one key keeps to one server by its hash while that may be used, also before anything was "
        "learnt of it");
    return true;
}

void PoolBuilder::servers(const ServerAt& at, const Draft& draft, routing::Pool& pool) {
    const Statement& statement = *at.statement;
    const bool many = statement.word(0) == "server-template";
    const std::size_t from = many ? 4 : 3;
    ServerParameters words = at.words;
    if (statement.size() < from) {
        return say(statement.number, Verdict::refused,
                   many ? "a prefix, a number and an address are needed"
                        : "a name and an address are needed");
    }
    read_server_parameters(statement, from, words, findings_);
    for (const std::size_t line : at.default_lines) {
        findings_.use(line);
    }
    if (words.left_out) {
        return;
    }
    if (words.min_conn > 0 && draft.settings.full_conn) {
        draft.settings.full_conn.get(findings_);
    }
    if (!many) {
        return one_server(at, words, statement.word(1), draft, pool);
    }
    // "5" is 1 to 5, "3-7" as it says.
    const std::string& range = statement.word(2);
    const auto dash = range.find('-');
    const auto low = dash == std::string::npos ? Or<std::int64_t>{1, ""}
                                               : number_of(range.substr(0, dash), 0, 2'147'483'647);
    const auto high =
        number_of(dash == std::string::npos ? range : range.substr(dash + 1), 0, 2'147'483'647);
    if (!low || !high) {
        return say(statement.number, Verdict::refused, low ? high.wrong : low.wrong);
    }
    if (*low > *high) {
        return say(statement.number, Verdict::refused, fmt::format("the range {} is empty", range));
    }
    if (*high - *low >= kMostTemplated) {
        return say(statement.number, Verdict::refused,
                   fmt::format("{} servers at most", kMostTemplated));
    }
    const auto endpoint = endpoint_of(statement.word(3));
    if (endpoint && endpoint->kind == Endpoint::Kind::needs_look_up) {
        return say(
            statement.number, Verdict::refused,
            fmt::format("'{}' needs a look-up, which is not done: list the addresses as servers",
                        statement.word(3)));
    }
    for (std::int64_t n = *low; n <= *high; ++n) {
        one_server(at, words, fmt::format("{}{}", statement.word(1), n), draft, pool);
    }
}

void PoolBuilder::one_server(const ServerAt& at, const ServerParameters& words,
                             const std::string& name, const Draft& draft, routing::Pool& pool) {
    const Statement& statement = *at.statement;
    const std::size_t line = statement.number;
    const auto leave_out = [&](const std::string& why) {
        say(line, Verdict::refused, fmt::format("{}: the server is left out", why));
    };
    const std::string& address = statement.word(statement.word(0) == "server" ? 2 : 3);
    if (!is_server_name(name)) {
        return leave_out(fmt::format("'{}' is no name", name));
    }
    const auto endpoint = endpoint_of(address);
    if (!endpoint) {
        return leave_out(endpoint.wrong);
    }
    if (const auto error = check_server_address(*endpoint, address)) {
        return leave_out(error->reason);
    }
    if (!names_.insert(name).second) {
        return leave_out(fmt::format("a second server {} in {}", name, pool.name));
    }

    routing::Server server;
    server.name = name;
    server.address = endpoint->text();
    server.weight = words.weight;
    server.tier = words.backup ? routing::Tier::backup : routing::Tier::active;
    if (words.disabled) {
        server.state = routing::State::disabled;
    } else if (words.weight == 0) {
        server.state = routing::State::draining;
        say(line, Verdict::changed,
            "weight 0: nothing new is sent, what is stuck to it stays until the drain's grace "
            "ends; in the "
            "original without end");
    }
    server.max_connections = words.max_conn > 0 ? words.max_conn : words.min_conn;
    server.max_queued = words.max_queue;
    const Balance balance = draft.settings.balance.get_or(Balance{}, findings_);
    const bool moves =
        balance.kind == "roundrobin" || balance.kind == "leastconn" || balance.kind == "random";
    if (moves) {
        server.slow_start = words.slow_start;
    }
    server.cookie_value = words.cookie;
    server.health_source = words.track;
    if (!server.health_source.empty() && server.health_source.find('/') == std::string::npos) {
        server.health_source = pool.name + "/" + server.health_source;
    }
    server.health_checked = words.check && words.track.empty();
    if (server.health_checked) {
        health(at, words, pool);
    }
    line_of_[pool.name + "/" + name] = line;
    pool.servers.push_back(std::move(server));
}

// The pool has one rule: that of its first server that is checked.
void PoolBuilder::health(const ServerAt& at, const ServerParameters& words, routing::Pool& pool) {
    routing::HealthRule rule = pool.health;
    const routing::HealthRule usual;
    const bool first = health_by_.try_emplace(pool.name, at.statement->word(1)).second;
    rule.interval = words.inter.value_or(usual.interval);
    rule.transition_interval = words.fast_inter.value_or(Duration{});
    rule.down_interval = words.down_inter.value_or(Duration{});
    rule.rise = words.rise.value_or(usual.rise);
    rule.fall = words.fall.value_or(usual.fall);
    rule.max_consecutive_errors = words.observes ? words.error_limit.value_or(kErrorLimit) : 0;
    if (first) {
        pool.health = rule;
    } else if (rule != pool.health) {
        say(at.statement->number, Verdict::changed,
            fmt::format("a pool has one health rule: that of server {}", health_by_.at(pool.name)));
    }
}

std::vector<routing::Pool> PoolBuilder::finish() {
    std::map<std::string, const routing::Server*> servers;
    for (const routing::Pool& pool : pools_) {
        for (const routing::Server& server : pool.servers) {
            servers[pool.name + "/" + server.name] = &server;
        }
    }
    std::map<std::string, std::string> out;  // and why
    for (const auto& [name, server] : servers) {
        std::set<std::string> passed{name};
        std::string at = name;
        while (out.count(name) == 0 && !servers.at(at)->health_source.empty()) {
            const std::string& next = servers.at(at)->health_source;
            if (!servers.contains(next)) {
                out[name] = fmt::format("it tracks {}, which is not there", next);
            } else if (!passed.insert(next).second) {
                out[name] = fmt::format("its tracks go in a circle by {}", next);
            }
            at = next;
        }
        if (out.count(name) == 0 && at != name && !servers.at(at)->health_checked) {
            out[name] = fmt::format("it tracks {}, which is not checked", at);
        }
    }
    for (const auto& [name, why] : out) {
        say(line_of_.at(name), Verdict::refused, fmt::format("{}: the server is left out", why));
    }
    for (routing::Pool& pool : pools_) {
        std::erase_if(pool.servers, [&](const routing::Server& server) {
            return out.contains(pool.name + "/" + server.name);
        });
    }
    return std::move(pools_);
}

}  // namespace micaroad::haproxy
