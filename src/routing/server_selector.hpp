/// Determines which servers of a pool RPCs may be sent to and in what proportions, by states,
/// tiers, weights, slow start, limits and stickiness.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

/// Which RPCs a server may be sent.
enum class ServerAvailability {
    usable,       ///< new RPCs
    sticky_only,  ///< only RPCs that are sticky to it: its weight is 0, or it drains within the
                  ///< grace
    full,         ///< as usable, but it has reached its limit of running RPCs
    unavailable,  ///< no RPCs
};

/// Why a server has its availability.
enum class AvailabilityReason {
    ready,
    disabled,
    maintenance,
    draining,  ///< within the grace
    drained,   ///< the grace is over
    down,
    unknown_health,  ///< the server that it takes its health from can't be found
    zero_weight,
    full,
};

struct ServerStatus {
    ServerAvailability availability = ServerAvailability::unavailable;
    AvailabilityReason reason = AvailabilityReason::unknown_health;
};

struct TrafficShare {
    std::string server;  ///< name without the pool
    double share = 0;    ///< fraction of the pool's new RPCs, 0 to 1
};

/// How a pool's new RPCs are divided among its servers.
struct TrafficSplit {
    Tier tier = Tier::active;          ///< the tier in use
    std::vector<TrafficShare> shares;  ///< their sum is 1; empty: no server can be sent new RPCs
    bool all_full = false;             ///< all servers in use have reached their limits
    std::string explanation;           ///< one sentence for operators
};

/// Selects servers by a plan and a view of the servers' state. Immutable after construction; any
/// thread may call it.
///
/// A server may take its health from another server (`health_source`), which may take it from a
/// third, and so on. Readers of a plan reject cycles; should a chain be longer than the number of
/// servers, the server at its start counts as unavailable.
class ServerSelector {
 public:
    /// Keeps references to the plan, which must outlive the selector and not change.
    explicit ServerSelector(const Plan& plan);

    [[nodiscard]] ServerStatus status(const Pool& pool, const Server& server,
                                      const View& view) const;

    /// The shares of the tier in use. That is the active tier while any active server is usable or
    /// full, since full servers don't make a tier unusable. Otherwise it is the backup tier, with
    /// all its servers or only the first usable one, by the pool's `all_backups`.
    [[nodiscard]] TrafficSplit split(const Pool& pool, const View& view) const;

    /// The number of servers of the tier in use that are usable or full; at most one if backups are
    /// used one at a time. 0 for an unknown pool.
    [[nodiscard]] int usable_count(const std::string& pool, const View& view) const;

    /// The server that an RPC should stay with, chosen by the value of its cookie or by hashing its
    /// key over `split`. Empty if there is none.
    [[nodiscard]] std::string sticky_server(const Pool& pool, const Rpc& rpc, const View& view,
                                            const TrafficSplit& split) const;

 private:
    struct Candidate {
        const Server* server;
        bool full;
    };

    [[nodiscard]] std::vector<Candidate> candidates(const Pool& pool, Tier tier,
                                                    const View& view) const;
    [[nodiscard]] std::string server_by_cookie(const Pool& pool, const std::string& cookie_value,
                                               const View& view) const;

    std::map<std::string, const Server*> servers_;  // by full name
    std::map<std::string, const Pool*> pools_;      // by name
};

}  // namespace micaroad::routing
