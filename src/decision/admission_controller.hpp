/// Admission control: computes the fraction of its RPCs that each method admits while the fleet is
/// overloaded.
#pragma once

#include <map>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/update_scheduler.hpp"
#include "decision/weight_optimizer.hpp"

namespace micaroad::decision {

/// Estimates demand, and sheds load while the fleet as a whole is overloaded.
///
/// The controller evaluates latencies periodically. If the extrapolated median latency exceeds the
/// latency objective, it admits fewer RPCs than the fleet sustains, so that queues drain; while
/// latencies are low, it admits more at each evaluation. The least critical methods are shed first.
/// Shedding does harm if high latencies have another cause than load; the admitted fraction
/// therefore has a minimum. The original design leaves admission open; docs/design.md describes the
/// chosen approach.
///
/// Initially all RPCs are admitted:
///
///                   expected latency > objective
///   all admitted  -------------------------------->  shedding: each evaluation reduces, raises
///                 <--------------------------------            or keeps the admitted fraction
///                  admitted RPCs meet the demand
///
/// Not thread-safe.
class AdmissionController {
 public:
    /// All arguments must outlive the controller.
    AdmissionController(DecisionContext& context, WeightOptimizer& optimizer,
                        UpdateScheduler& scheduler);

    void on(const event::ProxyJoined& message);
    void on(const event::ProxyLeft& message);
    void on(const event::DemandReport& message);
    void on(const ZonedLoadReport& message);
    /// Sends the demand estimate to the weight optimizer and requests one optimizer step.
    void on(const EvidenceWindowClosed&);
    /// Evaluates the latencies if an evaluation is due, and sends the admitted fractions to the
    /// scheduler.
    void on(const Tick&);

    Mailbox<event::ProxyJoined, event::ProxyLeft, event::DemandReport, ZonedLoadReport,
            EvidenceWindowClosed, Tick>
        mailbox;

 private:
    /// What a proxy announced when it joined.
    struct Announcement {
        ZoneId zone;
        double rpcs_per_second = 0;
    };
    struct LatencySample {
        double seconds = 0;
        double attempts = 0;  ///< number of attempts with this latency
    };
    /// The zone of the proxies that sent attempts, and the zone of the servers that got them.
    struct ZonePair {
        ZoneId proxies;
        ZoneId servers;
        auto operator<=>(const ZonePair&) const = default;
    };
    struct Outcomes {
        double successes = 0;
        double failures = 0;
    };

    void update_announced_requests();
    [[nodiscard]] std::map<ZoneId, double> announced_zone_fractions() const;
    [[nodiscard]] double demand_ratio();
    [[nodiscard]] bool is_evaluation_due() const;
    void sample_failures();
    [[nodiscard]] double take_median_latency();
    [[nodiscard]] double extrapolate(double latency);
    void reduce_admission(double expected_latency);
    void raise_admission(double latency);
    void distribute_admission();

    DecisionContext& context_;
    WeightOptimizer& optimizer_;
    UpdateScheduler& scheduler_;

    const double latency_objective_;  // seconds

    // Demand. The first three are multiplied by kEvidenceRetention after each evidence window.
    RealVector requests_;            // by method
    double announced_requests_ = 0;  // integral of announced_rate_ over time
    double window_seconds_ = 0;      // time over which both were counted
    int windows_closed_ = 0;
    std::map<ProxyId, Announcement> announcements_;  // of the joined proxies
    double announced_rate_ = 0;                      // their sum, RPCs per second
    TimePoint announced_until_;                      // announced_requests_ is integrated up to here

    // Admission. Both fractions refer to the demand at the time when all RPCs were last admitted.
    // Clients retry rejected RPCs, so a fraction of the current demand would grow with rejections.
    RealVector admitted_by_method_;  // fractions of the current demand
    double admitted_fraction_ = 1;
    double sustainable_fraction_ = 1;    // what the fleet sustains while its queues are short
    double requests_per_announced_ = 1;  // demand_ratio() when all RPCs were last admitted
    bool all_admitted_ = true;
    TimePoint next_reduction_;

    // Latencies since the last evaluation.
    std::vector<LatencySample> latency_samples_;
    std::map<ZonePair, Outcomes> outcomes_;
    double attempts_ = 0;
    double last_latency_;  // median at the last evaluation, seconds
    TimePoint last_evaluation_;
};

}  // namespace micaroad::decision
