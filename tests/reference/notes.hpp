/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
///
/// The messages that the components of the planner put into each other's mailboxes, and the loop
/// that delivers them. balance.cpp handles the messages, and so makes all decisions.
#pragma once

#include <cmath>
#include <deque>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "reference/planner.hpp"

namespace micaroad::reference {

struct EndpointListed {
    ListedEndpoint entry;
    bool in_first_list = false;  // the list is the first that the planner got
};
struct EndpointUnlisted {};      // a complete list lacks the server
struct EvidenceWindowClosed {};  // the evidence of a step is complete
struct OptimizerStep {};         // asks for a step of the weights
struct Tick {};                  // time has passed
struct RenewSubscription {};
struct EndpointStatus {  // what a tracker knows about its server
    ListedEndpoint entry;
    bool open = false;
    std::optional<TimePoint> last_success;
    double attempts = 0, failures = 0, success_latency_sum = 0, window_seconds = 0;
    bool steady = false;  // ready since the first list, without a known start: nobody had a reason
                          // to withdraw it
    bool is_new = false;  // first listed after the first list, with its start, and ready since
    bool gone() const { return !open && entry.phase == EndpointPhase::gone; }
};
struct ZonedLoadReport {
    event::EndpointLoadReport report;
    ZoneId server_zone;
};
struct UnboundProxy {  // joined, but not bound
    ZoneId zone;
    int join_number;  // its place among all joins
    TimePoint joined_at;
};
struct BoundProxy {
    ZoneId zone;
    double rpcs_per_second = 0;
    std::size_t subset = 0;
    bool partial = false;            // bound to a table of its own with a few servers of the subset
    bool displaced = false;          // its last move was one to a subset with servers
    std::vector<TimePoint> times{};  // of its bindings, since it joined
};
// A pending change: rank (0: urgent, 1: learnt, 2: cleanup), sort key, server, and pool (negative:
// the server is withdrawn or reinstated).
using Change = std::tuple<int, double, ServerId, int>;
struct DesiredWeights {
    EndpointStatus status;
    RealVector shares;  // by pool
    bool warming_up;
};
struct OwnershipTransfer {
    TableId slice;
    ServerId server;
    double weight;
};
struct PoolBinding {
    TableId table;
    std::vector<MethodId> methods;
    std::optional<ZoneId> zone;
};
struct DemandEstimate {
    RealVector rates;              // admitted RPCs, by method
    double total_to_own_load = 1,  // load of all proxies by that reported of this planner's
        announced_rate = 0;        // RPCs a second that all proxies announced
    std::map<ZoneId, double> zone_fractions{};  // of what this planner's proxies announced
};
struct WarmUpState {
    bool any_warming_up;
};
// What the servers of each pool certainly handle while all are cold, by the pool's traffic.
struct PoolCapacities {
    std::vector<double> fractions;  // infinite: no limit
};
struct AdmissionFractions {
    RealVector by_method;
};

using Message =
    std::variant<EndpointListed, EndpointUnlisted, EvidenceWindowClosed, OptimizerStep, Tick,
                 RenewSubscription, EndpointStatus, DesiredWeights, OwnershipTransfer, PoolBinding,
                 DemandEstimate, AdmissionFractions, PoolCapacities, WarmUpState, ZonedLoadReport,
                 event::EndpointLoadReport, event::ProxyJoined, event::ProxyLeft,
                 event::DemandReport, event::SliceAssigned, event::SliceOwnerReported,
                 event::Acknowledgement>;

struct Component {
    std::deque<Message> mailbox;
};

// Delivers its messages to a component, in sequence; it drops those that it has no handler for.
template <class AnyComponent>
void deliver(AnyComponent& component) {
    for (; !component.mailbox.empty(); component.mailbox.pop_front()) {
        std::visit(
            [&component](const auto& message) {
                if constexpr (requires { component.on(message); }) {
                    component.on(message);
                }
            },
            component.mailbox.front());
    }
}

// Delivers messages until all mailboxes are empty.
template <class... Components>
void deliver_all(Components&... components) {
    while ((!components.mailbox.empty() || ...)) {
        (deliver(components), ...);
    }
}

// Whether the numbers of an event are valid.
inline bool is_valid_count(double all, double part) {
    return std::isfinite(all + part) && all > 0 && part >= 0;
}
template <class Other>
bool is_valid(const Other&, const DeploymentSettings&) {
    return true;
}
inline bool is_valid(const event::EndpointLoadReport& report, const DeploymentSettings&) {
    return is_valid_count(report.attempts, report.failures) && report.mean_latency >= Duration{} &&
           report.window > Duration{};
}
inline bool is_valid(const event::DemandReport& report, const DeploymentSettings& settings) {
    const bool is_known_method =
        report.method.value >= 0 && report.method.value < std::ssize(settings.methods);
    return is_known_method && is_valid_count(report.requests, report.unanswered);
}

}  // namespace micaroad::reference
