/// The messages between the components of the decision package. docs/decision-messages.md lists the
/// sender and receiver of each and the order in which the components run.
#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "decision/queue_model.hpp"
#include "micaroad/planner.hpp"

namespace micaroad::decision {

/// Tells an endpoint tracker that a list names its server.
struct EndpointListed {
    ListedEndpoint entry;
    bool in_first_list = false;  ///< the list is the first that the planner got
};

/// Tells an endpoint tracker that a complete list does not name its server.
struct EndpointUnlisted {};

/// The evidence for one optimizer step is complete. Endpoint trackers send theirs to the weight
/// optimizer and decay what they keep.
struct EvidenceWindowClosed {};

/// Asks the weight optimizer to move the weights by one step.
struct OptimizerStep {};

/// Time has passed. Each decide() posts one to each component except the trackers, after the
/// trackers have run; the update scheduler handles it last.
struct Tick {};

/// Asks the update scheduler to subscribe to endpoint lists again.
struct RenewSubscription {};

/// What an endpoint tracker knows about its endpoint. The evidence sums are multiplied by
/// `kEvidenceRetention` after each optimizer step.
struct EndpointStatus {
    ListedEndpoint listed;                  ///< the entry of the last list that named the endpoint
    bool open = false;                      ///< it may get traffic
    std::optional<TimePoint> last_success;  ///< time when the last report with a success arrived
    double attempts = 0;                    ///< evidence: attempts of this planner's proxies
    double failures = 0;                    ///< evidence: attempts that failed
    double success_latency_sum = 0;         ///< evidence: latencies of the successful ones, seconds
    double window_seconds = 0;              ///< evidence: time over which it was collected
    /// Ready since the first list, without a known start time: no planner had a reason to withdraw
    /// it.
    bool steady = false;
    /// Listed for the first time after the first list, with a known start time, and ready ever
    /// since: no planner put it into use before it started.
    bool is_new = false;

    bool gone() const { return !open && listed.phase == EndpointPhase::gone; }
};

/// A load report and the zone of its server.
struct ZonedLoadReport {
    event::EndpointLoadReport report;
    ZoneId server_zone;
};

/// The shares and the state of one server that the weight optimizer publishes. Sent when they may
/// have changed.
struct DesiredWeights {
    ServerId server;
    ZoneId zone;
    /// Pool index and fraction of the pool's traffic; shares of 0 are left out.
    std::vector<std::pair<std::size_t, double>> shares;
    bool steady = false;  ///< as EndpointStatus::steady
    bool is_new = false;  ///< as EndpointStatus::is_new
    bool cold = false;    ///< still warming up
    bool last = false;    ///< the server is gone; no later message names it
};

/// How much of a pool's traffic its endpoints certainly handle, if all of them are in use. Sent
/// when it changes, before WeightsPublished.
struct PoolCapacity {
    std::size_t pool = 0;
    /// Relative to the pool's traffic, so it may exceed 1; infinite if an endpoint is warm or no
    /// load is known.
    double fraction = std::numeric_limits<double>::infinity();
};

/// Sent after the DesiredWeights of all servers that the weight optimizer publishes at one time.
struct WeightsPublished {
    bool any_cold = false;    ///< an open server is still warming up
    bool any_server = false;  ///< the weight optimizer has at least one server
};

/// The weight of an owner of a slice: 0 for the former owner, 1 for the new one.
struct OwnershipTransfer {
    TableId slice;
    ServerId server;
    double weight = 0;
};

/// A pool of methods that the same servers execute, and its table. Sent once for each pool at the
/// start, by ascending pool index.
struct PoolBinding {
    TableId table;  ///< the pool's table
    std::vector<MethodId> methods;
    std::optional<ZoneId> zone;  ///< only proxies of this zone use the pool
};

/// The traffic of all proxies, as estimated by this planner.
struct DemandEstimate {
    /// Admitted RPCs of this planner's proxies, by method: a decaying count, of which only the
    /// proportions matter.
    RealVector rates;
    /// Load from the proxies of all planners, divided by that from this planner's proxies.
    double total_to_own_load = 1;
    /// RPCs per second that all proxies are assumed to have announced.
    double announced_rate = 0;
    /// The fraction of that which the proxies of a zone announced; zones without proxies are left
    /// out.
    std::map<ZoneId, double> zone_fractions;
};

/// The fraction of its RPCs that each method admits.
struct AdmissionFractions {
    RealVector by_method;  ///< 0 to 1
};

}  // namespace micaroad::decision
