/// \file
/// Reads the parameters of HAProxy's `server`, `default-server` and `server-template` lines
/// (configuration manual 2.8, section 5.2).
#pragma once

#include <optional>
#include <string>

#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// The parameters of one server. Those of a `default-server` line are the starting values of the
/// servers that follow it. An absent optional means that the line does not set the parameter.
struct ServerParameters {
    int weight = 1;  // 0 to 256
    bool backup = false;
    bool disabled = false;
    bool check = false;
    std::optional<Duration> interval;             // between probes
    std::optional<Duration> transition_interval;  // between probes while the state changes
    std::optional<Duration> down_interval;        // between probes while the server is down
    std::optional<int> rise;                      // successful probes in a row until it is up
    std::optional<int> fall;                      // failed probes in a row until it is down
    std::optional<int> error_limit;               // failed RPCs in a row until `on_error` applies
    bool observes = false;                        // whether failed RPCs count against the server
    std::string on_error;
    Duration slow_start{};  // in whole seconds
    int max_conn = 0;       // 0: no limit
    int min_conn = 0;
    int max_queue = 0;
    std::string track;  // "server" or "backend/server" whose health this server shares
    std::string cookie;
    /// HAProxy itself rejects a value of the line, so the line creates no server.
    bool left_out = false;
};

/// Reads the parameters from word number `from` to the end of the line into `parameters`, on top of
/// the values there, and records the line's verdict in `findings`. A parameter with a bad value
/// sets `left_out`; reading continues after it.
void read_server_parameters(const Statement& statement, std::size_t from,
                            ServerParameters& parameters, Findings& findings);

}  // namespace micaroad::haproxy
