// What an operator has laid down about routes, pools and servers, whatever file it was read from:
// the operator's own (src/operators/) or another program's (src/haproxy/). Plain values without
// behaviour; src/routing/router.hpp decides by them.
//
// SymbolTable are the operator's. A server's full name is "pool/server". Times are Spans (tenths of
// a millisecond).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "micaroad/types.hpp"
#include "routing/network.hpp"

namespace micaroad::routing {

// ---- What an RPC must look like
// -----------------------------------------------------------------------------

enum class TextWay { exact, prefix, suffix, contains, present };

// One text against some values, any of which will do. `present` needs no value.
struct TextMatch {
    TextWay way = TextWay::exact;
    std::vector<std::string> values;
    bool any_case = false;
    bool operator==(const TextMatch&) const = default;
};

struct Match;
using Matches = std::vector<Match>;

struct AllOf {
    Matches of;
    bool operator==(const AllOf&) const = default;
};  // of none: always
struct AnyOf {
    Matches of;
    bool operator==(const AnyOf&) const = default;
};  // of none: never
struct Not {
    Matches of;
    bool operator==(const Not&) const = default;
};  // of exactly one
struct HostIs {
    TextMatch text;
    bool operator==(const HostIs&) const = default;
};  // without port, any case
struct PathIs {
    TextMatch text;
    bool operator==(const PathIs&) const = default;
};  // without query
struct MethodIs {
    std::vector<std::string> names;
    bool operator==(const MethodIs&) const = default;
};
// Any of the fields of that name; "host" is the host as the client names it, with its port.
struct HeaderIs {
    std::string name;
    TextMatch text;
    bool operator==(const HeaderIs&) const = default;
};
struct SourceIn {
    std::vector<Network> networks;
    bool operator==(const SourceIn&) const = default;
};
// How many servers of a pool can be sent new RPCs: those of the tier in use that are up, ready and
// weigh over 0.
struct UsableServers {
    std::string pool;
    int least = 0, most = 1'000'000;
    bool operator==(const UsableServers&) const = default;
};

struct Match {
    std::variant<AllOf, AnyOf, Not, HostIs, PathIs, MethodIs, HeaderIs, SourceIn, UsableServers> is;
    bool operator==(const Match&) const = default;
};

// ---- What is done with it
// -----------------------------------------------------------------------------------

struct ToPool {
    std::string pool;
    bool operator==(const ToPool&) const = default;
};
struct TurnAway {
    int status = 403;
    bool operator==(const TurnAway&) const = default;
};  // at once, a final answer
struct Redirect {
    std::string location;
    int status = 302;
    bool operator==(const Redirect&) const = default;
};

struct Route {
    std::string name;
    Match when;
    std::variant<ToPool, TurnAway, Redirect> then;
    bool operator==(const Route&) const = default;
};

struct Listener {
    std::string name;
    std::vector<std::string> addresses;  // "host:port", as the operator has them; "*" is any host
    int connections_most = 0;            // 0: no limit
    std::vector<Route> routes;           // the first that matches holds
    std::string default_pool;            // empty: what no route takes is turned away
    bool operator==(const Listener&) const = default;
};

// ---- Pools
// --------------------------------------------------------------------------------------------------

enum class State { ready, draining, disabled, maintenance };
enum class Tier { active, backup };

struct Server {
    std::string name, address;  // "10.0.0.1:80", "[::1]:80"
    int weight = 1;             // 0..256, as listed; 0 sends nothing new
    Tier tier = Tier::active;
    State state = State::ready;
    int connections_most = 0;  // at once; 0: no limit
    int queue_most = 0;        // RPCs that wait for it alone; 0: no limit
    Duration slow_start{};     // after it comes up its ceiling rises over this time; zero: at once
    std::string health_of;     // "pool/server" whose health is taken for its own; empty: its own
    std::string mark;          // what a stuck RPC's cookie says of it
    bool checked = false;      // by the pool's health rule
    bool operator==(const Server&) const = default;
};

// What keeps RPCs that belong together on one server while it may be used. A preference: whoever
// drains is left when the grace ends, whoever is down or in maintenance at once.
struct Stickiness {
    enum class By { none, source, path, header, query, cookie, request_hash } by = By::none;
    std::string name;     // of the header, query parameter or cookie
    int path_depth = 0;   // directories of the path that count; 0: all
    int path_length = 0;  // characters of the path that count; 0: all
    bool with_query = false;
    bool keeps_down = false;  // a stuck RPC goes to its server although that is down
    bool operator==(const Stickiness&) const = default;
};

// When an RPC that failed may be tried again. What may have run is tried again only where it is
// idempotent.
struct FurtherTries {
    int most = 0;
    enum class Proof { never_ran, pushed_back, any_failure } proof = Proof::never_ran;
    enum class Where { same, other_at_last, other } where = Where::other_at_last;
    bool operator==(const FurtherTries&) const = default;
};

struct HealthRule {
    Duration every{20'000}, every_in_doubt{}, every_while_down{}, patience{};  // zero: as `every`
    int rise = 2, fall = 3;
    enum class Kind { connect, http } kind = Kind::connect;
    std::string http_method = "OPTIONS", http_path = "/", http_host;
    int status_least = 200, status_most = 399;
    int errors_most =
        0;  // RPCs in a row that failed at a server before it counts as down; 0: RPCs don't count
    bool operator==(const HealthRule&) const = default;
};

struct Pool {
    std::string name;
    std::vector<Server> servers;
    bool all_backups = false;  // or the first that can be used
    int connections_most = 0;
    Duration queue_patience{50'000};
    Duration connect_within{50'000}, answer_within{300'000};
    FurtherTries further;
    Stickiness stickiness;
    HealthRule health;
    bool operator==(const Pool&) const = default;
};

// The planner that serves the plan, and the channel to its proxies; proto/operators.proto tells
// what each figure means.
struct Service {
    std::string name = "planner-0", listen = "127.0.0.1:3000";
    int proxies = 64, lines_per_second = 1'600, lines_per_message = 3, lines_waiting_most = 1'600;
    Duration report_every{5'000}, message_longest{4'500}, drain_grace{20'000};
    int memory_mb = 64, sockets = 1'024;
    bool operator==(const Service&) const = default;
};

// What is kept of the planner's events and orders; no path: nothing.
struct Recording {
    std::string path;
    int segment_mb = 8, all_mb = 512, kib_per_second = 1'024, processor_percent = 5;
    Duration keep = std::chrono::hours(72);
    bool operator==(const Recording&) const = default;
};

struct Plan {
    std::vector<Listener> listeners;
    std::vector<Pool> pools;
    Service service;
    Recording recording;
    bool operator==(const Plan&) const = default;

    const Pool* pool(const std::string& name) const {
        for (const Pool& pool : pools) {
            if (pool.name == name) {
                return &pool;
            }
        }
        return nullptr;
    }
};

// ---- An RPC, as far as it can be told before it is sent
// ------------------------------------------------------

struct Rpc {
    std::string method = "GET", host, path = "/", query;
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::map<std::string, std::string> cookies;
    Address source;
    bool idempotent() const {
        return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
               method == "DELETE" || method == "TRACE";  // RFC 9110, 9.2.2
    }
};

}  // namespace micaroad::routing
