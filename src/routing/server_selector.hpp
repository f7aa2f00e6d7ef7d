/// Which servers of a pool RPCs may go to, and in what proportions: by states, tiers, weights, slow
/// start, limits and stickiness.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

/// Which RPCs a server may get.
enum class ServerAvailability {
    usable,       ///< new ones
    sticky_only,  ///< those that are sticky to it: its weight is 0, or it drains within the grace
    full,         ///< as usable, but as many RPCs run there as may
    unavailable,  ///< none
};

/// Why a server has its availability.
enum class AvailabilityReason {
    ready,
    disabled,
    maintenance,
    draining,  ///< within the grace
    drained,   ///< the grace is over
    down,
    unknown_health,  ///< the server whose health it shares can't be found
    zero_weight,
    full,
};

struct ServerStatus {
    ServerAvailability availability = ServerAvailability::unavailable;
    AvailabilityReason reason = AvailabilityReason::unknown_health;
};

struct TrafficShare {
    std::string server;  ///< without its pool
    double share = 0;    ///< of the pool's new RPCs, 0 to 1
};

/// How a pool's new RPCs are divided among its servers.
struct TrafficSplit {
    Tier tier = Tier::active;          ///< that is in use
    std::vector<TrafficShare> shares;  ///< their sum is 1; empty: new RPCs can't be sent anywhere
    bool all_full = false;             ///< the servers in use run as many RPCs as they may
    std::string explanation;           ///< one sentence for a person
};

/// Decides by a plan and a view of its servers. Pure after construction: any thread may call it.
///
/// A server may share the health of another (`health_of`), and that of a third. Readers of a plan
/// have checked that there is no cycle; the server at the end of a chain that is longer than there
/// are servers counts as unavailable.
class ServerSelector {
 public:
    /// Keeps references to the plan, which must outlive it and not change.
    explicit ServerSelector(const Plan& plan);

    [[nodiscard]] ServerStatus status(const Pool& pool, const Server& server,
                                      const View& view) const;

    /// The shares of the tier in use: the active servers while any of them is usable or full (a
    /// full server is no reason to leave the tier), else the backups, all or the first usable, as
    /// the pool has it.
    [[nodiscard]] TrafficSplit split(const Pool& pool, const View& view) const;

    /// How many servers of the tier in use are usable or full; at most one where backups are used
    /// one at a time. 0 for an unknown pool.
    [[nodiscard]] int usable_count(const std::string& pool, const View& view) const;

    /// The server that an RPC should stay with: by the cookie's mark, or by a hash of the key over
    /// `split`. Empty if there is none.
    [[nodiscard]] std::string sticky_server(const Pool& pool, const Rpc& rpc, const View& view,
                                            const TrafficSplit& split) const;

 private:
    struct Candidate {
        const Server* server;
        bool full;
    };

    [[nodiscard]] std::vector<Candidate> candidates(const Pool& pool, Tier tier,
                                                    const View& view) const;
    [[nodiscard]] std::string server_by_mark(const Pool& pool, const std::string& mark,
                                             const View& view) const;

    std::map<std::string, const Server*> servers_;  // by full name
    std::map<std::string, const Pool*> pools_;      // by name
};

}  // namespace micaroad::routing
