#include "command/planner_service.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "background/worker.hpp"
#include "command/version.hpp"
#include "record/recorder.hpp"
#include "record/settings_conversion.hpp"
#include "routing/endpoint_registry.hpp"

namespace micaroad::command {
namespace {

constexpr int kReportIntervalsInWindow = 120;
constexpr Duration kMinLongestWindow = std::chrono::seconds(1);
constexpr double kBytesPerKib = 1'024.0;
constexpr double kPercent = 100.0;
constexpr int kBytesPerMibShift = 20;

DeploymentSettings base_settings() {
    DeploymentSettings settings;
    settings.admission_kind = AdmissionKind::fraction;
    settings.default_retry_policy = RetryPolicy::once_if_not_executed;
    return settings;
}

// The initial endpoint list has no version, so that the first list from health checks is newer.
StartConfiguration make_start_configuration(const routing::Plan& plan, TimePoint now) {
    const routing::EndpointRegistry registry(plan);
    StartConfiguration start;
    start.name = plan.service.name;
    start.listen = plan.service.listen;
    start.seed = std::random_device{}();
    start.sockets = static_cast<std::size_t>(plan.service.sockets);
    start.memory_mb = static_cast<std::size_t>(plan.service.memory_mb);
    start.settings = registry.settings(base_settings());
    start.names = registry.names();
    start.bounds.proxies = start.settings.proxy_count;
    start.bounds.max_window =
        std::max(kReportIntervalsInWindow * start.settings.report_interval, kMinLongestWindow);
    routing::View view;
    view.now = now;
    start.initial_list.list = registry.list(view);
    start.initial_list.addresses = registry.addresses();
    return start;
}

record::RetentionPolicy retention_of(const routing::Recording& settings) {
    record::RetentionPolicy retention;
    retention.segment_bytes = static_cast<std::uint64_t>(settings.segment_mb) << kBytesPerMibShift;
    retention.total_bytes = static_cast<std::uint64_t>(settings.total_mb) << kBytesPerMibShift;
    retention.max_age = settings.max_age;
    return retention;
}

}  // namespace

// Records events and orders on a separate thread, within the limits that the plan sets.
class PlannerService::RecordingService {
 public:
    RecordingService(const routing::Recording& settings, const StartConfiguration& start,
                     const Clock& clock)
        : directory_(record::open_directory(settings.path)),
          worker_({kBytesPerKib * settings.kib_per_second, settings.processor_percent / kPercent},
                  clock) {
        const auto head = record::make_header(start.settings, start.names, start.seed, start.name,
                                              kVersion, clock());
        recorder_ = std::make_unique<record::Recorder>(*directory_, retention_of(settings), head,
                                                       [this] { worker_.wake(job_); });
        job_ = worker_.add(kPriority, [this] { return recorder_->work(); });
    }

    [[nodiscard]] record::Recorder& recorder() { return *recorder_; }

    void start(Log& log) {
        if (!worker_.start()) {
            log.error("recording: not started reason=\"no thread\"");
        }
    }

    void stop(Log& log) {
        worker_.stop();
        recorder_->close();
        const auto counts = recorder_->counts();
        log.info("recording: closed turns={} lost={} bytes={} segments={} failures={}",
                 counts.turns, counts.lost, counts.bytes, counts.segments, counts.failures);
    }

 private:
    static constexpr int kPriority = 1;

    std::unique_ptr<record::Directory> directory_;
    background::Worker worker_;
    background::JobId job_{};
    std::unique_ptr<record::Recorder> recorder_;
};

PlannerService::PlannerService(const routing::Plan& plan, const Clock& clock, Log& log)
    : PlannerService(plan, make_start_configuration(plan, clock()), clock, log) {}

PlannerService::PlannerService(const routing::Plan& plan, const StartConfiguration& start,
                               const Clock& clock, Log& log)
    : log_(log),
      recording_(plan.recording.path.empty()
                     ? nullptr
                     : std::make_unique<RecordingService>(plan.recording, start, clock)),
      planner_(start, clock, log, recording_ ? &recording_->recorder() : nullptr),
      health_(
          plan, clock,
          [this](event::EndpointListUpdate list, std::map<ServerId, std::string> addresses) {
              update_endpoints(std::move(list), std::move(addresses));
          },
          log) {}

PlannerService::~PlannerService() = default;

void PlannerService::update_endpoints(event::EndpointListUpdate list,
                                      std::map<ServerId, std::string> addresses) {
    ++list_version_;
    planner_.handle({list_version_, std::move(list), std::move(addresses), {}});
}

int PlannerService::run() {
    if (recording_) {
        recording_->start(log_);
    }
    if (!health_.start()) {
        log_.error(
            "health_check: not started reason=\"no thread\" endpoint_states=\"as in the file\"");
    }
    const int code = planner_.run();
    health_.stop();
    if (recording_) {
        recording_->stop(log_);
    }
    return code;
}

}  // namespace micaroad::command
