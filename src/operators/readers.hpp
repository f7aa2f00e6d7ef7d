/// The readers of the operator's file, one for each top-level message, and the state that they
/// share. Each reader adds the message to the plan, and a fault for each invalid value. A message
/// that lacks a required field is left out.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "operators/file.hpp"
#include "operators/located_message.hpp"
#include "proto/operators.pb.h"

namespace micaroad::operators {

/// Checks the servers that take their health from another server. That server may come later in the
/// file, so the chains are checked when all servers are known.
class HealthChains {
 public:
    /// Adds a server by its full name, "pool/server".
    void add_server(const std::string& full_name) { servers_.insert(full_name); }
    /// Adds a server, at `location`, that takes its health from `followed`. Both names are full
    /// names.
    void add_follower(const std::string& full_name, const std::string& followed,
                      const LocatedMessage& location);
    /// Adds a fault for each follower whose chain is circular or leads to an unknown server.
    void check() const;

 private:
    struct Follower {
        std::string full_name;
        LocatedMessage location;
    };
    void check(const Follower& follower) const;

    std::set<std::string> servers_;
    std::map<std::string, std::string> followed_;  // by the follower's full name
    std::vector<Follower> followers_;
};

/// The state that the readers of one file share.
struct FileState {
    ReadResult& result;
    std::set<std::string> pool_names;      ///< all pools of the file, including unread ones
    std::set<std::string> pools_read;      ///< names of the pools read so far
    std::set<std::string> listeners_read;  ///< names of the listeners read so far
    HealthChains health_chains;
};

void read_listener(const Listener& message, const LocatedMessage& location, FileState& state);
void read_pool(const Pool& message, const LocatedMessage& location, FileState& state);
void read_planner(const Planner& message, const LocatedMessage& location,
                  routing::Service& service);
void read_recording(const Recording& message, const LocatedMessage& location,
                    routing::Recording& recording);

// Readers of messages within a listener or a pool.

[[nodiscard]] routing::Match read_match(const Match& message, const LocatedMessage& location,
                                        const FileState& state);
void read_health_rule(const HealthRule& message, const LocatedMessage& location,
                      routing::HealthRule& rule);
/// Checks that a field names a pool of the file, and returns the name.
[[nodiscard]] std::string check_pool_name(const LocatedMessage& location, const char* field,
                                          const std::string& name, const FileState& state);

}  // namespace micaroad::operators
