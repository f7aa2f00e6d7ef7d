/// Messages between the components of the decision package. docs/decision-messages.md says who
/// sends what to whom, and in which order the components run.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "decision/queue_model.hpp"
#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// A list names the tracker's server.
struct EndpointListed {
    ListedEndpoint entry;
    bool in_first_list = false;  ///< in the first list that the planner got
};

/// A complete list does not name the tracker's server.
struct EndpointUnlisted {};

/// The evidence for one optimizer step is complete: trackers pass it on and fade what they keep.
struct EvidenceWindowClosed {};

/// Asks the weight optimizer to move the weights by one step.
struct OptimizerStep {};

/// Time has passed. Each component but the trackers gets one in each decide(), after the trackers
/// have run; the update scheduler handles it last of all.
struct Tick {};

/// Discovery is to be asked for lists once more.
struct RenewSubscription {};

/// What an endpoint tracker knows of its endpoint. The evidence sums keep the part
/// `kEvidenceRetention` from one optimizer step to the next.
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

/// What the weight optimizer wants of one server. Sent when its shares or its state may have
/// changed.
struct DesiredWeights {
    ServerId server;
    ZoneId zone;
    std::vector<std::pair<std::size_t, double>>
        shares;           ///< pool number, part of the pool's traffic; without shares of 0
    bool steady = false;  ///< as EndpointStatus::steady
    bool cold = false;    ///< still warming up
    bool last = false;    ///< the server is gone; no further message names it
};

/// Follows the DesiredWeights of all servers that one publication of the weight optimizer changes.
struct WeightsPublished {
    bool any_cold = false;    ///< an open server is still warming up
    bool any_server = false;  ///< the weight optimizer holds servers
};

/// A slice's weight at an owner: 0 for the former owner, 1 for the new one.
struct OwnershipTransfer {
    TableId slice;
    ServerId server;
    double weight = 0;
};

/// A pool: methods that the same servers execute. Sent once at the start, in the order of the pool
/// numbers.
struct PoolBinding {
    TableId table;  ///< of the pool
    std::vector<MethodId> methods;
    std::optional<ZoneId> zone;  ///< only proxies of this zone use the pool
};

/// The traffic of all proxies, as far as this planner can tell.
struct DemandEstimate {
    RealVector rates;          ///< admitted RPCs of this planner's proxies, by method: a faded
                               ///< count, of which only the proportions matter
    double all_over_ours = 1;  ///< load of all planners' proxies over that of this planner's
    double announced = 0;      ///< RPCs per second that all proxies are taken to have announced
};

/// The fraction of its RPCs that each method is to admit.
struct AdmissionFractions {
    RealVector by_method;  ///< by method, 0 to 1
};

}  // namespace micaroad::decision
