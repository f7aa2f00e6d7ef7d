/// Admission control: which fraction of its RPCs each method admits while the fleet is overloaded.
#pragma once

#include <map>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/update_scheduler.hpp"
#include "decision/weight_optimizer.hpp"

namespace micaroad::decision {

/// Estimates demand, and sheds load while the fleet as a whole is late.
///
/// Guards against a fleet that is late as a whole; the original design leaves this open, and
/// docs/design.md says what was chosen. Once the median latency heads past the latency objective,
/// it admits less than the fleet sustains, so that queues drain; while latencies are low it admits
/// more from look to look. The least critical methods are shed first. It could harm where load is
/// not the reason of the latency; hence a floor under the admitted fraction.
///
/// It starts with all RPCs admitted:
///
///                   expected latency > objective
///   all admitted  -------------------------------->  shedding: each look cuts, grows or keeps
///                 <--------------------------------            the admitted fraction
///                  what is admitted meets the demand
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
    /// Sends the demand estimate to the weight optimizer and has it move by one step.
    void on(const EvidenceWindowClosed&);
    /// Looks at the latencies, if it is time, and sends the admitted fractions to the scheduler.
    void on(const Tick&);

    Mailbox<event::ProxyJoined, event::ProxyLeft, event::DemandReport, ZonedLoadReport,
            EvidenceWindowClosed, Tick>
        mailbox;

 private:
    struct LatencySample {
        double seconds = 0;
        double attempts = 0;  ///< how many attempts it stands for
    };
    /// Who sent attempts to whom.
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
    [[nodiscard]] double demand_ratio();
    [[nodiscard]] bool is_look_due() const;
    void sample_failures();
    [[nodiscard]] double take_median_latency();
    [[nodiscard]] double extrapolate(double latency);
    void cut(double expected_latency);
    void grow(double latency);
    void share_out();

    DecisionContext& context_;
    WeightOptimizer& optimizer_;
    UpdateScheduler& scheduler_;

    const double latency_objective_;  // seconds

    // Demand. The requests and the two below them fade alike, by kEvidenceRetention a window.
    RealVector requests_;            // by method
    double announced_requests_ = 0;  // integral of announced_rate_ over time
    double window_seconds_ = 0;      // in which both were counted
    int windows_closed_ = 0;
    std::map<ProxyId, double> announced_rates_;  // RPCs per second, of proxies that are joined
    double announced_rate_ = 0;                  // their sum
    TimePoint announced_until_;                  // announced_requests_ counts up to here

    // Admission. Both fractions are parts of the demand as it was while all RPCs were admitted:
    // rejected RPCs come again, so a part of what comes in would grow with the rejections.
    RealVector admitted_by_method_;  // fractions of what comes in
    double admitted_fraction_ = 1;
    double sustainable_fraction_ = 1;    // what the fleet bears once its queues are short again
    double requests_per_announced_ = 1;  // demand_ratio() when all RPCs were last admitted
    bool all_admitted_ = true;
    TimePoint next_cut_;

    // Latencies since the last look.
    std::vector<LatencySample> latency_samples_;
    std::map<ZonePair, Outcomes> outcomes_;
    double attempts_ = 0;
    double last_latency_;  // median at the last look, seconds
    TimePoint last_look_;
};

}  // namespace micaroad::decision
