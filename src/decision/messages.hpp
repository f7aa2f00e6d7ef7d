/// Messages between the components of the decision package. docs/decision-messages.md says who
/// sends what to whom, and in which order the components run.
#pragma once

#include <cstddef>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/queue_model.hpp"
#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// A list names the server.
struct EndpointListed {
    ListedEndpoint entry;
    bool in_first_list = false;  ///< in the first list that the planner got
};

/// A complete list does not name the server.
struct EndpointUnlisted {};

/// The evidence for one optimizer step is complete.
struct EvidenceWindowClosed {};

/// Moves the weights by one step.
struct OptimizerStep {};

/// All messages of this decision have been delivered; act on what waits.
struct Tick {};

/// Asks discovery for lists once more.
struct RenewSubscription {};

/// What an endpoint tracker knows of its endpoint. The evidence sums keep the part `kMemory` from
/// one optimizer step to the next.
struct EndpointStatus {
    ListedEndpoint listed;                  ///< the entry of the last list that named the endpoint
    bool open = false;                      ///< may get traffic
    std::optional<TimePoint> last_success;  ///< arrival of the last report with a success
    double attempts = 0;                    ///< evidence: attempts of this planner's proxies
    double failures = 0;                    ///< evidence: of these, failed
    double success_latency_sum = 0;         ///< evidence: latencies of the others, seconds
    double window_seconds = 0;              ///< evidence: time in which it was collected
    bool steady = false;  ///< ready since the first list and no start known: nobody had a reason to
                          ///< withdraw it

    bool gone() const { return !open && listed.phase == EndpointPhase::gone; }
};

/// A load report with the zone of the server that it is about.
struct ZonedLoadReport {
    event::EndpointLoadReport report;
    ZoneId server_zone;
};

/// A server whose published figures have changed.
struct DesiredWeights {
    ServerId server;
    ZoneId zone;
    std::vector<std::pair<std::size_t, double>> shares;  ///< by pool; shares of 0 are left out
    bool steady = false;                                 ///< as EndpointStatus::steady
    bool cold = false;                                   ///< still warming up
    bool last = false;  ///< the server is gone; no further message names it
};

/// Follows the DesiredWeights of all servers whose figures have changed.
struct WeightsPublished {
    bool any_cold = false;
    bool any_server = false;
};

/// A slice's weight at an owner: 0 for the former owner, 1 for the new one.
struct OwnershipTransfer {
    TableId slice;
    ServerId server;
    double weight = 0;
};

/// Methods that are open to the same servers share a pool; its table; the zone of its proxies if it
/// has one.
struct PoolBinding {
    TableId table;
    std::vector<MethodId> methods;
    std::optional<ZoneId> zone;
};

/// The traffic of all proxies, as far as this planner can tell.
struct DemandEstimate {
    RealVector rates;          ///< admitted RPCs of this planner's proxies, by method
    double all_over_ours = 1;  ///< load of all planners' proxies over that of this planner's
    double announced = 0;      ///< RPCs per second that all proxies announced as they joined
};

/// The fraction of its RPCs that each method is to admit.
struct AdmissionFractions {
    RealVector amounts;
};

}  // namespace micaroad::decision
