#include "decision/admission_controller.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "decision/numeric.hpp"

namespace micaroad::decision {
namespace {

// The original design leaves admission open; all values here are this planner's own.

/// Time between two looks at the latencies, or the report interval where that is longer. An
/// overloaded fleet jams within a few seconds.
constexpr Duration kLookInterval = std::chrono::seconds(1);
/// Attempts that a median needs.
constexpr double kLeastAttempts = 20;
/// Seconds. Stands for the latency of an attempt that failed: later than any answer.
constexpr double kFailureLatency = 3600;
/// Failures between two zones without one success that are taken for a partition. Where half of all
/// attempts fail, so many come alone by chance at one look in 256.
constexpr double kPartitionFailures = 8;

/// The latency objective as a part of the shortest soft deadline. With exponentially distributed
/// latencies, a mean at 0.7 of a deadline puts a quarter of them past it.
constexpr double kObjective = 0.7;
/// A look at a latency under this part of the objective raises the admitted fraction.
constexpr double kLowLatency = 0.75;
/// A latency is extrapolated to this multiple at most: what a look sees is about two looks old.
constexpr double kMostExtrapolation = 1.5;

/// What a cut leaves of the sustainable fraction.
constexpr double kCutFactor = 0.85;
/// What a cut leaves at least of the sustainable fraction in the admitted one: less admitted than
/// sustainable drains the queues.
constexpr double kDeepestDrain = 0.5;
/// The least admitted fraction: load may not be the reason of the latency.
constexpr double kLeastAdmitted = 0.15;
/// The least sustainable fraction: the deepest drain leaves kLeastAdmitted of it.
constexpr double kLeastSustainable = 2 * kLeastAdmitted;
/// Growth of the sustainable fraction a second, at a latency of 0; proportionally less towards the
/// objective.
constexpr double kGrowthPerSecond = 0.2;
/// Most growth of the admitted fraction from one look to the next.
constexpr double kMostGrowth = 1.5;
/// RPCs that were admitted before a cut may report up to so many objectives after it.
constexpr double kObjectivesInFlight = 3;

/// RPCs per second. What a proxy counts as if it announced less.
constexpr double kLeastAnnounced = 1e-3;
/// The announced rate that the evidence stands for is its average over the windows, but at least
/// the present one over this factor: to scale evidence up by more would be guessing.
constexpr double kMostScaling = 4;
/// Windows after which the demand ratio can be trusted: until then fewer reports have arrived than
/// RPCs came in.
constexpr int kFirstWindows = 2;
/// Keeps divisions finite.
constexpr double kTiny = 1e-9;

}  // namespace

AdmissionController::AdmissionController(DecisionContext& context, WeightOptimizer& optimizer,
                                         UpdateScheduler& scheduler)
    : context_(context),
      optimizer_(optimizer),
      scheduler_(scheduler),
      latency_objective_(kObjective * shortest_soft_deadline(context.settings)),
      requests_(context.settings.methods.size()),
      admitted_by_method_(1.0, context.settings.methods.size()),
      last_latency_(kFailureLatency) {}

void AdmissionController::on(const event::ProxyJoined& message) {
    on(event::ProxyLeft{message.proxy});
    const double rate = std::max(message.rpcs_per_second, kLeastAnnounced);
    announced_rates_[message.proxy] = rate;
    announced_rate_ += rate;
}

void AdmissionController::on(const event::ProxyLeft& message) {
    update_announced_requests();
    const auto found = announced_rates_.find(message.proxy);
    if (found == announced_rates_.end()) {
        return;
    }
    announced_rate_ -= found->second;
    announced_rates_.erase(found);
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

    // Proxies of other planners, or of none, are taken to announce as much as those here.
    const double joined = std::max(1.0, static_cast<double>(announced_rates_.size()));
    const double all_announced =
        announced_rate_ * std::max(1.0, context_.settings.proxy_count / joined);
    const double average_announced =
        std::max(announced_requests_ / window_seconds_, announced_rate_ / kMostScaling);
    optimizer_.mailbox.post(DemandEstimate{requests_ * admitted_by_method_,
                                           std::max(1.0, all_announced / average_announced),
                                           all_announced});
    // Behind the evidence of this window, which the trackers have posted by now.
    optimizer_.mailbox.post(OptimizerStep{});

    announced_requests_ *= kEvidenceRetention;
    window_seconds_ *= kEvidenceRetention;
    requests_ *= kEvidenceRetention;
}

void AdmissionController::on(const Tick&) {
    if (!is_look_due()) {
        return;
    }
    sample_failures();
    const double latency = take_median_latency();
    const double expected_latency = extrapolate(latency);
    if (all_admitted_) {
        const double least = windows_closed_ < kFirstWindows ? 1.0 : 0.0;
        requests_per_announced_ = std::max(demand_ratio(), least);
    }
    if (expected_latency > latency_objective_ && context_.now >= next_cut_) {
        cut(expected_latency);
    } else if (latency < kLowLatency * latency_objective_) {
        grow(latency);
    }
    last_look_ = context_.now;
    share_out();
}

/// Brings the integral of the announced rate up to now; to be called before that rate changes.
void AdmissionController::update_announced_requests() {
    announced_requests_ += announced_rate_ * seconds(context_.now - announced_until_);
    announced_until_ = context_.now;
}

/// RPCs that came in for each one that proxies announced in the same time.
double AdmissionController::demand_ratio() {
    update_announced_requests();
    return requests_.sum() / std::max(announced_requests_, kTiny);
}

bool AdmissionController::is_look_due() const {
    const Duration interval = std::max(kLookInterval, context_.settings.report_interval);
    return context_.now >= last_look_ + interval && attempts_ >= kLeastAttempts;
}

/// Adds the failures to the samples. Left out are failures between zones that nothing at all came
/// back from, unless nothing came back from anywhere: that is a partition of the network, which
/// less load does not mend.
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

/// The median latency by attempts, seconds; the next look starts without samples.
double AdmissionController::take_median_latency() {
    std::vector<std::pair<double, double>> weighted;
    weighted.reserve(latency_samples_.size());
    for (const LatencySample& sample : std::exchange(latency_samples_, {})) {
        weighted.emplace_back(sample.seconds, sample.attempts);
    }
    return middle(std::move(weighted));
}

/// The latency two looks on, along the trend since the last look: what a look sees is about two
/// looks old, and queues have grown on meanwhile.
double AdmissionController::extrapolate(double latency) {
    const double before = std::exchange(last_latency_, latency);
    return std::clamp(3 * latency - 2 * before, latency, kMostExtrapolation * latency);
}

/// Admits less than is sustainable, the less the later the latency is expected to be.
void AdmissionController::cut(double expected_latency) {
    sustainable_fraction_ = std::max(sustainable_fraction_ * kCutFactor, kLeastSustainable);
    const double drain = std::max(latency_objective_ / expected_latency, kDeepestDrain);
    admitted_fraction_ = std::max(sustainable_fraction_ * drain, kLeastAdmitted);
    all_admitted_ = false;

    // The next cut waits until this one can show: two ways of messages and reports, and the RPCs
    // that are in flight.
    const Duration in_flight{static_cast<Duration::rep>(kObjectivesInFlight * latency_objective_ /
                                                        seconds(Duration{1}))};
    next_cut_ = context_.now +
                2 * (context_.settings.max_message_delay + context_.settings.report_interval) +
                in_flight;
}

/// Goes back towards the sustainable fraction, which grows by what the latency leaves under the
/// objective.
void AdmissionController::grow(double latency) {
    sustainable_fraction_ *= 1 + kGrowthPerSecond * (1 - latency / latency_objective_) *
                                     seconds(context_.now - last_look_);
    admitted_fraction_ = std::min(sustainable_fraction_, admitted_fraction_ * kMostGrowth);
}

/// Sheds the methods of least criticality first, until the admitted fraction is met, and sends the
/// fractions by method.
void AdmissionController::share_out() {
    if (context_.settings.admission_kind != AdmissionKind::fraction) {
        return;  // Rates are not implemented: proxies admit all RPCs.
    }
    all_admitted_ |= admitted_fraction_ * requests_per_announced_ >= demand_ratio();
    if (all_admitted_) {
        admitted_fraction_ = 1;
        sustainable_fraction_ = 1;
        requests_per_announced_ = demand_ratio();
    }
    const double admitted =
        admitted_fraction_ * requests_per_announced_ / std::max(demand_ratio(), kTiny);
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
