/// The readers of the operator's file, one for each message that stands at its top, and what they
/// share. Each adds what it reads to the plan, and a fault for each value that can't be used; a
/// message that lacks a required field is left out.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "operators/file.hpp"
#include "operators/located_message.hpp"
#include "proto/operators.pb.h"

namespace micaroad::operators {

/// Servers that take their state from another one's health. Since that one may stand anywhere in
/// the file, the chains are checked once all servers are known.
class HealthChains {
 public:
    /// Makes a server known by its full name, pool/server.
    void add_server(const std::string& full_name) { servers_.insert(full_name); }
    /// The server at `location` follows `followed`, a full name.
    void add_follower(const std::string& full_name, const std::string& followed,
                      const LocatedMessage& location);
    /// Adds a fault for each follower whose chain leads nowhere or back to itself.
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

/// What the readers of one file share.
struct FileState {
    ReadResult& result;
    std::set<std::string> pool_names;      ///< of all pools of the file, read or not yet
    std::set<std::string> pools_read;      ///< their names
    std::set<std::string> listeners_read;  ///< their names
    HealthChains health_chains;
};

void read_listener(const Listener& message, const LocatedMessage& location, FileState& state);
void read_pool(const Pool& message, const LocatedMessage& location, FileState& state);
void read_planner(const Planner& message, const LocatedMessage& location,
                  routing::Service& service);
void read_recording(const Recording& message, const LocatedMessage& location,
                    routing::Recording& recording);

// Within a listener or a pool.

[[nodiscard]] routing::Match read_match(const Match& message, const LocatedMessage& location,
                                        const FileState& state);
void read_health_rule(const HealthRule& message, const LocatedMessage& location,
                      routing::HealthRule& rule);
/// Checks that a field names a pool of the file, and returns the name.
[[nodiscard]] std::string check_pool_name(const LocatedMessage& location, const char* field,
                                          const std::string& name, const FileState& state);

}  // namespace micaroad::operators
