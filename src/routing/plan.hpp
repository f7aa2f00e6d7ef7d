/// The operator's configuration of listeners, routes, pools and servers as plain values. It is read
/// from the operator's file (src/operators/) or translated from HAProxy's configuration
/// (src/haproxy/). The reader of the file validates the values; src/routing/router.hpp applies
/// them.
///
/// All names are those that the operator chose. A server's full name is "pool/server".
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

/// A condition on a text, which holds if any of the values matches. `present` needs no value.
struct TextMatch {
    TextMatchKind kind = TextMatchKind::exact;
    std::vector<std::string> values;
    bool ignore_case = false;
    bool operator==(const TextMatch&) const = default;
};

struct Match;
using Matches = std::vector<Match>;

/// Matches if all conditions match; an empty list always matches.
struct AllOf {
    Matches conditions;
    bool operator==(const AllOf&) const = default;
};

/// Matches if any condition matches; an empty list never matches.
struct AnyOf {
    Matches conditions;
    bool operator==(const AnyOf&) const = default;
};

/// Matches if its condition, of which there is exactly one, does not.
struct Not {
    Matches conditions;
    bool operator==(const Not&) const = default;
};

/// Compares the host without its port, ignoring case.
struct HostIs {
    TextMatch text;
    bool operator==(const HostIs&) const = default;
};

/// Compares the path without its query.
struct PathIs {
    TextMatch text;
    bool operator==(const PathIs&) const = default;
};

/// Matches if the method is one of these.
struct MethodIs {
    std::vector<std::string> names;
    bool operator==(const MethodIs&) const = default;
};

/// Compares each header field of that name; one match is enough. "host" stands for the host as the
/// client sent it, with its port.
struct HeaderIs {
    std::string name;
    TextMatch text;
    bool operator==(const HeaderIs&) const = default;
};

/// Matches if the client's address is in one of these networks.
struct SourceIn {
    std::vector<Network> networks;
    bool operator==(const SourceIn&) const = default;
};

/// Matches if the number of usable servers of a pool is within both bounds, inclusive. Usable are
/// the servers of the tier in use that are up, ready and have a weight over 0.
struct UsableServers {
    std::string pool;
    int min_count = 0;
    int max_count = 1'000'000;
    bool operator==(const UsableServers&) const = default;
};

struct Match {
    std::variant<AllOf, AnyOf, Not, HostIs, PathIs, MethodIs, HeaderIs, SourceIn, UsableServers> is;
    bool operator==(const Match&) const = default;
};

// Actions of a route.

struct ToPool {
    std::string pool;
    bool operator==(const ToPool&) const = default;
};

/// Rejects the RPC at once. The rejection is final.
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
    std::vector<std::string> addresses;  ///< "host:port" as configured; "*" is any host
    int max_connections = 0;             ///< 0: no limit
    std::vector<Route> routes;           ///< the first that matches applies
    std::string default_pool;            ///< empty: RPCs that match no route are rejected
    bool operator==(const Listener&) const = default;
};

// Pools.

/// A server's administrative state, set by the operator.
enum class State { ready, draining, disabled, maintenance };
enum class Tier { active, backup };

struct Server {
    std::string name;
    std::string address;  ///< "10.0.0.1:80", "[::1]:80"
    int weight = 1;       ///< 0 to 256; a server with weight 0 gets no new RPCs
    Tier tier = Tier::active;
    State state = State::ready;
    int max_connections = 0;  ///< RPCs at once; 0: no limit
    int max_queued = 0;       ///< RPCs in the server's own queue; 0: no limit
    Duration slow_start{};    ///< time over which its weight rises after it comes up; zero: none
    /// Full name of the server whose health applies to this one; empty: its own.
    std::string health_source;
    std::string cookie_value;     ///< value of the stickiness cookie that selects this server
    bool health_checked = false;  ///< whether it is checked by the pool's health rule
    bool operator==(const Server&) const = default;
};

/// How RPCs with the same key are kept on one server while that server may be used. Stickiness is a
/// preference: RPCs leave a draining server when the grace ends, and a server that is down or in
/// maintenance at once.
struct Stickiness {
    enum class By { none, source, path, header, query, cookie, request_hash } by = By::none;
    std::string name;             ///< name of the header, query parameter or cookie
    int path_depth = 0;           ///< leading directories of the path in the key; 0: all
    int path_length = 0;          ///< leading characters of the path in the key; 0: all
    bool include_query = false;   ///< the query is a part of the path in the key
    bool stay_when_down = false;  ///< sticky RPCs go to their server even if it is down
    bool operator==(const Stickiness&) const = default;
};

/// When and where a failed RPC is retried. Whatever this rule allows, an RPC that may have been
/// executed is retried only if it is idempotent.
struct RetryRule {
    int max_retries = 0;  ///< maximum number of retries of one RPC
    enum class Condition {
        no_connection,  ///< no connection was made
        not_executed,   ///< also if the server said that it did not execute the RPC
        any_failure     ///< also after any other failure, if the RPC is idempotent
    } condition = Condition::no_connection;
    enum class Target { same, other_on_last_retry, other } target = Target::other_on_last_retry;
    bool operator==(const RetryRule&) const = default;
};

struct HealthRule {
    Duration interval{20'000};  ///< between two health checks of a server
    /// Interval after a result that contradicts the server's state; zero: `interval`.
    Duration transition_interval{};
    Duration down_interval{};  ///< interval while the server is down; zero: `interval`
    Duration timeout{};        ///< timeout of a health check; zero: `interval`
    int rise = 2;              ///< consecutive successes before a server counts as up
    int fall = 3;              ///< consecutive failures before a server counts as down
    enum class Kind { connect, http } kind = Kind::connect;
    std::string http_method = "OPTIONS";
    std::string http_path = "/";
    std::string http_host;  ///< empty: the server's address
    int min_status = 200;   ///< lowest HTTP status that counts as a success
    int max_status = 399;   ///< highest HTTP status that counts as a success
    /// Consecutive failed RPCs before a server counts as down; 0: failed RPCs don't count.
    int max_consecutive_errors = 0;
    bool operator==(const HealthRule&) const = default;
};

struct Pool {
    std::string name;
    std::vector<Server> servers;
    bool all_backups = false;        ///< use all backups together, not only the first usable one
    int max_connections = 0;         ///< RPCs at once; 0: no limit
    Duration queue_timeout{50'000};  ///< maximum time in a queue
    Duration connect_timeout{50'000};
    Duration response_timeout{300'000};
    RetryRule retry_rule;
    Stickiness stickiness;
    HealthRule health;
    bool operator==(const Pool&) const = default;
};

/// The planner that serves the plan, and the channel to its proxies. proto/operators.proto
/// documents each field.
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

/// How the planner's events and orders are recorded. An empty path disables recording.
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

    /// Returns null if there is no such pool.
    [[nodiscard]] const Pool* pool(const std::string& name) const {
        const auto found = std::find_if(pools.begin(), pools.end(), [&name](const Pool& candidate) {
            return candidate.name == name;
        });
        return found == pools.end() ? nullptr : &*found;
    }
};

/// The properties of an RPC that are known before it is forwarded.
struct Rpc {
    std::string method = "GET";
    std::string host;
    std::string path = "/";
    std::string query;
    std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
    std::map<std::string, std::string> cookies;
    Address source;

    /// Whether the method is idempotent by RFC 9110, section 9.2.2.
    [[nodiscard]] bool idempotent() const {
        return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
               method == "DELETE" || method == "TRACE";
    }
};

}  // namespace micaroad::routing
