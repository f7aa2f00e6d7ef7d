/// What an operator has configured about routes, pools and servers, whatever file it was read from:
/// the operator's own (src/operators/) or another program's (src/haproxy/). Plain values; the
/// reader of the file checks them, and src/routing/router.hpp decides by them.
///
/// All names are the operator's. A server's full name is "pool/server".
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "micaroad/types.hpp"
#include "routing/network.hpp"

namespace micaroad::routing {

// Conditions of a route.

enum class TextMatchKind { exact, prefix, suffix, contains, present };

/// A condition on a text: any of the values matches. `present` needs no value.
struct TextMatch {
    TextMatchKind kind = TextMatchKind::exact;
    std::vector<std::string> values;
    bool ignore_case = false;
    bool operator==(const TextMatch&) const = default;
};

struct Match;
using Matches = std::vector<Match>;

/// Without conditions it always matches.
struct AllOf {
    Matches conditions;
    bool operator==(const AllOf&) const = default;
};

/// Without conditions it never matches.
struct AnyOf {
    Matches conditions;
    bool operator==(const AnyOf&) const = default;
};

/// Has exactly one condition.
struct Not {
    Matches conditions;
    bool operator==(const Not&) const = default;
};

/// The host without its port, in any case.
struct HostIs {
    TextMatch text;
    bool operator==(const HostIs&) const = default;
};

/// The path without its query.
struct PathIs {
    TextMatch text;
    bool operator==(const PathIs&) const = default;
};

/// The method is one of these.
struct MethodIs {
    std::vector<std::string> names;
    bool operator==(const MethodIs&) const = default;
};

/// Any of the header fields with that name; "host" is the host as the client names it, with its
/// port.
struct HeaderIs {
    std::string name;
    TextMatch text;
    bool operator==(const HeaderIs&) const = default;
};

/// The client's address is in one of these networks.
struct SourceIn {
    std::vector<Network> networks;
    bool operator==(const SourceIn&) const = default;
};

/// How many servers of a pool can be sent new RPCs: those of the tier in use that are up, ready and
/// have a weight over 0.
struct UsableServers {
    std::string pool;
    int min_count = 0;
    int max_count = 1'000'000;
    bool operator==(const UsableServers&) const = default;
};

struct Match {
    std::variant<AllOf, AnyOf, Not, HostIs, PathIs, MethodIs, HeaderIs, SourceIn, UsableServers>
        condition;
    bool operator==(const Match&) const = default;
};

// What a route does with an RPC.

struct ToPool {
    std::string pool;
    bool operator==(const ToPool&) const = default;
};

/// Rejects the RPC at once; the answer is final.
struct Reject {
    int status = 403;
    bool operator==(const Reject&) const = default;
};

struct Redirect {
    std::string location;
    int status = 302;
    bool operator==(const Redirect&) const = default;
};

struct Route {
    std::string name;
    Match match;
    std::variant<ToPool, Reject, Redirect> action;
    bool operator==(const Route&) const = default;
};

struct Listener {
    std::string name;
    std::vector<std::string> addresses;  ///< "host:port", as the operator has them; "*" is any host
    int max_connections = 0;             ///< 0: no limit
    std::vector<Route> routes;           ///< the first that matches is taken
    std::string default_pool;            ///< empty: what matches no route is rejected
    bool operator==(const Listener&) const = default;
};

// Pools.

/// A server's state as the operator sets it.
enum class State { ready, draining, disabled, maintenance };
enum class Tier { active, backup };

struct Server {
    std::string name;
    std::string address;  ///< "10.0.0.1:80", "[::1]:80"
    int weight = 1;       ///< 0 to 256, as listed; with 0 it gets no new RPCs
    Tier tier = Tier::active;
    State state = State::ready;
    int max_connections = 0;    ///< RPCs at once; 0: no limit
    int max_queued = 0;         ///< RPCs in its own queue; 0: no limit
    Duration slow_start{};      ///< time over which its weight rises once it is up; zero: at once
    std::string health_source;  ///< full name of the server whose health it shares; empty: its own
    std::string cookie_value;   ///< its name in the cookies of sticky RPCs
    bool health_checked = false;  ///< by the pool's health rule
    bool operator==(const Server&) const = default;
};

/// What keeps RPCs that belong together on one server while that may be used. A preference: a
/// draining server is left when the grace ends, one that is down or in maintenance at once.
struct Stickiness {
    enum class By { none, source, path, header, query, cookie, request_hash } by = By::none;
    std::string name;             ///< of the header, query parameter or cookie
    int path_depth = 0;           ///< directories of the path that count; 0: all
    int path_length = 0;          ///< characters of the path that count; 0: all
    bool include_query = false;   ///< the query counts as a part of the path
    bool stay_when_down = false;  ///< a sticky RPC goes to its server even if that is down
    bool operator==(const Stickiness&) const = default;
};

/// When a failed RPC may be retried. What may have been executed is retried only where it is
/// idempotent, whatever stands here.
struct RetryRule {
    int max_retries = 0;  ///< retries of one RPC
    enum class Condition {
        no_connection,
        not_executed,
        any_failure
    } condition = Condition::no_connection;
    enum class Target { same, other_on_last_retry, other } target = Target::other_on_last_retry;
    bool operator==(const RetryRule&) const = default;
};

struct HealthRule {
    Duration interval{20'000};  ///< interval of health checks
    Duration
        transition_interval{};  ///< after a result that contradicts the state; zero: as `interval`
    Duration down_interval{};   ///< zero: as `interval`
    Duration timeout{};         ///< timeout of a health check; zero: as `interval`
    int rise = 2;               ///< successes in a row before a server counts as up
    int fall = 3;               ///< failures in a row before it counts as down
    enum class Kind { connect, http } kind = Kind::connect;
    std::string http_method = "OPTIONS";
    std::string http_path = "/";
    std::string http_host;           ///< empty: the server's address
    int min_status = 200;            ///< the lowest HTTP status that is a success
    int max_status = 399;            ///< the highest
    int max_consecutive_errors = 0;  ///< RPCs in a row that failed before a server counts as down;
                                     ///< 0: RPCs don't count
    bool operator==(const HealthRule&) const = default;
};

struct Pool {
    std::string name;
    std::vector<Server> servers;
    bool all_backups = false;        ///< backups are used together, or only the first usable one
    int max_connections = 0;         ///< RPCs at once; 0: no limit
    Duration queue_timeout{50'000};  ///< the longest time in a queue
    Duration connect_timeout{50'000};
    Duration response_timeout{300'000};
    RetryRule retry_rule;
    Stickiness stickiness;
    HealthRule health;
    bool operator==(const Pool&) const = default;
};

/// The planner that serves the plan, and the channel to its proxies; proto/operators.proto says
/// what each figure means.
struct Service {
    std::string name = "planner-0";
    std::string listen = "127.0.0.1:3000";
    int proxies = 64;
    int lines_per_second = 1'600;
    int lines_per_message = 3;
    int max_pending_lines = 1'600;
    Duration report_interval{5'000};
    Duration max_message_delay{4'500};
    Duration drain_grace{20'000};
    int memory_mb = 64;
    int sockets = 1'024;
    bool operator==(const Service&) const = default;
};

/// How the planner's events and orders are recorded; without a path they are not.
struct Recording {
    std::string path;
    int segment_mb = 8;
    int total_mb = 512;
    int kib_per_second = 1'024;
    int processor_percent = 5;
    Duration max_age = std::chrono::hours(72);
    bool operator==(const Recording&) const = default;
};

struct Plan {
    std::vector<Listener> listeners;
    std::vector<Pool> pools;
    Service service;
    Recording recording;
    bool operator==(const Plan&) const = default;

    /// Null if there is no such pool.
    [[nodiscard]] const Pool* pool(const std::string& name) const {
        const auto found = std::find_if(pools.begin(), pools.end(), [&name](const Pool& candidate) {
            return candidate.name == name;
        });
        return found == pools.end() ? nullptr : &*found;
    }
};

/// An RPC, as far as it is known before it is forwarded.
struct Rpc {
    std::string method = "GET";
    std::string host;
    std::string path = "/";
    std::string query;
    std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
    std::map<std::string, std::string> cookies;
    Address source;

    /// RFC 9110, section 9.2.2.
    [[nodiscard]] bool idempotent() const {
        return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
               method == "DELETE" || method == "TRACE";
    }
};

}  // namespace micaroad::routing
