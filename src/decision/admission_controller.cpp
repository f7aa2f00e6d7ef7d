#include "decision/admission_controller.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "decision/numeric.hpp"

namespace micaroad::decision {
namespace {

// The original design leaves admission open; all values here are specific to this planner.

/// Time between two evaluations of the latencies, unless the report interval is longer. The queues
/// of an overloaded fleet grow too long within a few seconds.
constexpr Duration kEvaluationInterval = std::chrono::seconds(1);
/// Minimum number of attempts for an evaluation, so that the median is meaningful.
constexpr double kMinAttempts = 20;
/// Latency that a failed attempt counts as, in seconds: longer than that of any answer.
constexpr double kFailureLatency = 3600;
/// Minimum number of failures between two zones, without any success, that counts as a network
/// partition. If half of all attempts fail, that many in a row occur by chance in one evaluation of
/// 256.
constexpr double kPartitionFailures = 8;

/// The latency objective as a fraction of the shortest soft deadline. If latencies are
/// exponentially distributed with a mean of 0.7 times the deadline, a quarter of them exceed the
/// deadline.
constexpr double kObjectivePerDeadline = 0.7;
/// A latency below this fraction of the objective raises the admitted fraction.
constexpr double kLowLatencyFraction = 0.75;
/// Maximum ratio of the extrapolated latency to the measured one, whose samples are about two
/// evaluations old.
constexpr double kMaxExtrapolationFactor = 1.5;

/// Factor by which a reduction lowers the sustainable fraction.
constexpr double kReductionFactor = 0.85;
/// Minimum ratio of the admitted to the sustainable fraction after a reduction. Queues drain while
/// less is admitted than is sustainable.
constexpr double kMinDrainFactor = 0.5;
/// Minimum admitted fraction, as high latencies may have another cause than load.
constexpr double kMinAdmittedFraction = 0.15;
/// Minimum sustainable fraction: multiplied by kMinDrainFactor, it gives kMinAdmittedFraction.
constexpr double kMinSustainableFraction = 2 * kMinAdmittedFraction;
/// Relative growth of the sustainable fraction per second at a latency of 0. It falls linearly to 0
/// at the latency objective.
constexpr double kGrowthPerSecond = 0.2;
/// Maximum factor by which the admitted fraction grows from one evaluation to the next.
constexpr double kMaxGrowthFactor = 1.5;
/// Time for which RPCs admitted before a reduction may still be reported after it, in latency
/// objectives.
constexpr double kObjectivesInFlight = 3;

/// Minimum announced rate that a proxy counts with, RPCs per second.
constexpr double kMinAnnouncedRate = 1e-3;
/// Maximum ratio of the current announced rate to its average over the evidence windows: evidence
/// is not scaled up by more, as that would be unreliable.
constexpr double kMaxEvidenceScale = 4;
/// Number of closed windows after which the demand ratio is reliable. Before that, reports do not
/// yet cover all RPCs that proxies received.
constexpr int kMinDemandWindows = 2;
/// Minimum divisor; prevents divisions by zero.
constexpr double kMinDivisor = 1e-9;

}  // namespace

AdmissionController::AdmissionController(DecisionContext& context, WeightOptimizer& optimizer,
                                         UpdateScheduler& scheduler)
    : context_(context),
      optimizer_(optimizer),
      scheduler_(scheduler),
      latency_objective_(kObjectivePerDeadline * shortest_soft_deadline(context.settings)),
      requests_(context.settings.methods.size()),
      admitted_by_method_(1.0, context.settings.methods.size()),
      last_latency_(kFailureLatency) {}

void AdmissionController::on(const event::ProxyJoined& message) {
    on(event::ProxyLeft{message.proxy});
    const double rate = std::max(message.rpcs_per_second, kMinAnnouncedRate);
    announcements_[message.proxy] = {message.zone, rate};
    announced_rate_ += rate;
}

void AdmissionController::on(const event::ProxyLeft& message) {
    update_announced_requests();
    const auto found = announcements_.find(message.proxy);
    if (found == announcements_.end()) {
        return;
    }
    announced_rate_ -= found->second.rpcs_per_second;
    announcements_.erase(found);
}

void AdmissionController::on(const event::DemandReport& message) {
    requests_[message.method.value] += message.requests;
}

void AdmissionController::on(const ZonedLoadReport& message) {
    const event::EndpointLoadReport& report = message.report;
    const double successes = report.attempts - report.failures;
    Outcomes& outcomes = outcomes_[{report.proxy_zone, message.server_zone}];
    outcomes.successes += successes;
    outcomes.failures += report.failures;
    attempts_ += report.attempts;
    latency_samples_.push_back({seconds(report.mean_latency), successes});
}

void AdmissionController::on(const EvidenceWindowClosed&) {
    update_announced_requests();
    ++windows_closed_;
    window_seconds_ += seconds(context_.step);

    // Assumes that proxies of other planners, or without a planner, announce as much on average as
    // those that have joined here.
    const double joined = std::max(1.0, static_cast<double>(announcements_.size()));
    const double all_announced =
        announced_rate_ * std::max(1.0, context_.settings.proxy_count / joined);
    const double average_announced =
        std::max(announced_requests_ / window_seconds_, announced_rate_ / kMaxEvidenceScale);
    optimizer_.mailbox.post(DemandEstimate{requests_ * admitted_by_method_,
                                           std::max(1.0, all_announced / average_announced),
                                           all_announced, announced_zone_fractions()});
    // The trackers have already posted the evidence of this window to the optimizer.
    optimizer_.mailbox.post(OptimizerStep{});

    announced_requests_ *= kEvidenceRetention;
    window_seconds_ *= kEvidenceRetention;
    requests_ *= kEvidenceRetention;
}

std::map<ZoneId, double> AdmissionController::announced_zone_fractions() const {
    std::map<ZoneId, double> fractions;
    double sum = 0;
    for (const auto& [proxy, announcement] : announcements_) {
        fractions[announcement.zone] += announcement.rpcs_per_second;
        sum += announcement.rpcs_per_second;
    }
    for (auto& [zone, fraction] : fractions) {
        fraction /= sum;
    }
    return fractions;
}

void AdmissionController::on(const Tick&) {
    if (!is_evaluation_due()) {
        return;
    }
    sample_failures();
    const double latency = take_median_latency();
    const double expected_latency = extrapolate(latency);
    if (all_admitted_) {
        const double min_ratio = windows_closed_ < kMinDemandWindows ? 1.0 : 0.0;
        requests_per_announced_ = std::max(demand_ratio(), min_ratio);
    }
    if (expected_latency > latency_objective_ && context_.now >= next_reduction_) {
        reduce_admission(expected_latency);
    } else if (latency < kLowLatencyFraction * latency_objective_) {
        raise_admission(latency);
    }
    last_evaluation_ = context_.now;
    distribute_admission();
}

/// Updates the integral of the announced rate to the current time; must be called before that rate
/// changes.
void AdmissionController::update_announced_requests() {
    announced_requests_ += announced_rate_ * seconds(context_.now - announced_until_);
    announced_until_ = context_.now;
}

/// Ratio of the RPCs that proxies received to those that they announced for the same time.
double AdmissionController::demand_ratio() {
    update_announced_requests();
    return requests_.sum() / std::max(announced_requests_, kMinDivisor);
}

bool AdmissionController::is_evaluation_due() const {
    const Duration interval = std::max(kEvaluationInterval, context_.settings.report_interval);
    return context_.now >= last_evaluation_ + interval && attempts_ >= kMinAttempts;
}

/// Adds the failures to the samples. Leaves out failures between two zones without any success if
/// other pairs of zones had successes: they indicate a network partition, which shedding load does
/// not fix.
void AdmissionController::sample_failures() {
    const bool any_success = std::any_of(outcomes_.begin(), outcomes_.end(), [](const auto& entry) {
        return entry.second.successes > 0;
    });
    for (const auto& [zones, outcomes] : outcomes_) {
        const bool partition =
            any_success && outcomes.successes <= 0 && outcomes.failures >= kPartitionFailures;
        if (!partition) {
            latency_samples_.push_back({kFailureLatency, outcomes.failures});
        }
    }
    outcomes_.clear();
    attempts_ = 0;
}

/// Returns the median latency over attempts, in seconds, and clears the samples.
double AdmissionController::take_median_latency() {
    std::vector<WeightedValue> weighted;
    weighted.reserve(latency_samples_.size());
    for (const LatencySample& sample : std::exchange(latency_samples_, {})) {
        weighted.push_back({sample.seconds, sample.attempts});
    }
    return weighted_median(std::move(weighted));
}

/// Extrapolates the latency by two evaluation intervals along the trend since the last evaluation:
/// the samples are about two intervals old, and queues may have grown since.
double AdmissionController::extrapolate(double latency) {
    const double previous = std::exchange(last_latency_, latency);
    return std::clamp(3 * latency - 2 * previous, latency, kMaxExtrapolationFactor * latency);
}

/// Lowers the sustainable fraction, and admits less than that: the higher the expected latency, the
/// less is admitted.
void AdmissionController::reduce_admission(double expected_latency) {
    sustainable_fraction_ =
        std::max(sustainable_fraction_ * kReductionFactor, kMinSustainableFraction);
    const double drain = std::max(latency_objective_ / expected_latency, kMinDrainFactor);
    admitted_fraction_ = std::max(sustainable_fraction_ * drain, kMinAdmittedFraction);
    all_admitted_ = false;

    // The next reduction waits until reports can show the effect of this one: twice the delay of
    // messages and reports, plus the time of the RPCs in flight.
    const Duration in_flight{static_cast<Duration::rep>(kObjectivesInFlight * latency_objective_ /
                                                        seconds(Duration{1}))};
    next_reduction_ =
        context_.now +
        2 * (context_.settings.max_message_delay + context_.settings.report_interval) + in_flight;
}

/// Raises the sustainable fraction in proportion to the margin between the latency and the
/// objective, and the admitted fraction towards it.
void AdmissionController::raise_admission(double latency) {
    sustainable_fraction_ *= 1 + kGrowthPerSecond * (1 - latency / latency_objective_) *
                                     seconds(context_.now - last_evaluation_);
    admitted_fraction_ = std::min(sustainable_fraction_, admitted_fraction_ * kMaxGrowthFactor);
}

/// Distributes the admitted fraction over the methods, shedding the least critical ones first, and
/// sends the fractions by method.
void AdmissionController::distribute_admission() {
    if (context_.settings.admission_kind != AdmissionKind::fraction) {
        return;  // Admission by rate is not implemented: proxies admit all RPCs.
    }
    all_admitted_ |= admitted_fraction_ * requests_per_announced_ >= demand_ratio();
    if (all_admitted_) {
        admitted_fraction_ = 1;
        sustainable_fraction_ = 1;
        requests_per_announced_ = demand_ratio();
    }
    const double admitted =
        admitted_fraction_ * requests_per_announced_ / std::max(demand_ratio(), kMinDivisor);
    double to_shed = (1 - admitted) * requests_.sum();

    std::multimap<double, std::size_t> methods_by_criticality;
    for (std::size_t method = 0; method < requests_.size(); ++method) {
        methods_by_criticality.emplace(context_.settings.methods[method].criticality, method);
    }
    for (const auto& [criticality, method] : methods_by_criticality) {
        const double requests = requests_[method];
        const double shed = std::min(to_shed, requests);
        admitted_by_method_[method] = requests > 0 ? 1 - shed / requests : 1;
        to_shed -= shed;
    }
    scheduler_.mailbox.post(AdmissionFractions{admitted_by_method_});
}

}  // namespace micaroad::decision
