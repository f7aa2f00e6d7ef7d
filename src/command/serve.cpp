#include "command/serve.hpp"

#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <random>
#include <thread>

#include "background/worker.hpp"
#include "command/command.hpp"
#include "command/version.hpp"
#include "daemon/clock.hpp"
#include "operators/file.hpp"
#include "record/recorder.hpp"
#include "record/settings_conversion.hpp"
#include "routing/endpoint_registry.hpp"

namespace micaroad::command {
namespace {

// The list at the start has no version yet that the keeper's could be older than.
StartConfiguration start_of(const routing::Plan& plan, TimePoint now) {
    const routing::EndpointRegistry registry(plan);
    DeploymentSettings base;
    base.admission_kind = AdmissionKind::fraction,
    base.default_retry_policy = RetryPolicy::once_if_not_executed;
    StartConfiguration start;
    start.name = plan.service.name, start.listen = plan.service.listen;
    start.seed = std::random_device{}();
    start.sockets = static_cast<std::size_t>(plan.service.sockets),
    start.memory_mb = static_cast<std::size_t>(plan.service.memory_mb);
    start.settings = registry.settings(base), start.names = registry.names();
    start.bounds.proxies = start.settings.proxy_count;
    start.bounds.longest_window = std::max(120 * start.settings.report_interval, Duration{10'000});
    routing::View view;
    view.now = now;
    start.known.list = registry.list(view), start.known.addresses = registry.addresses();
    return start;
}

}  // namespace

struct Served::Kept {
    std::unique_ptr<record::Directory> directory;
    background::Worker worker;
    background::JobId job{};
    std::unique_ptr<record::Recorder> recorder;

    static constexpr int kPriority = 1;
    Kept(const routing::Recording& wish, const StartConfiguration& start, const Clock& clock)
        : directory(record::open_directory(wish.path)),
          worker({1'024.0 * wish.kib_per_second, wish.processor_percent / 100.0}, clock) {
        record::RetentionPolicy retention;
        retention.segment_bytes = static_cast<std::uint64_t>(wish.segment_mb) << 20;
        retention.total_bytes = static_cast<std::uint64_t>(wish.all_mb) << 20;
        retention.max_age = wish.keep;
        recorder = std::make_unique<record::Recorder>(
            *directory, retention,
            record::make_header(start.settings, start.names, start.seed, start.name, kVersion,
                                clock()),
            [this] { worker.wake(job); });
        job = worker.add(kPriority, [this] { return recorder->work(); });
    }
};

Served::Served(const routing::Plan& plan, Clock clock, Log& log)
    : Served(plan, start_of(plan, clock()), clock, log) {}

Served::Served(const routing::Plan& plan, StartConfiguration start, Clock clock, Log& log)
    : log_(log),
      kept_(plan.recording.path.empty() ? nullptr
                                        : std::make_unique<Kept>(plan.recording, start, clock)),
      program_(start, clock, log, kept_ ? kept_->recorder.get() : nullptr),
      health_(
          plan, clock,
          [this](event::EndpointListUpdate list, std::map<ServerId, std::string> addresses) {
              tell(std::move(list), std::move(addresses));
          },
          log) {}

void Served::tell(event::EndpointListUpdate list, std::map<ServerId, std::string> addresses) {
    program_.handle({++version_, std::move(list), std::move(addresses), {}});
}

Served::~Served() = default;

int Served::run() {
    if (kept_ && !kept_->worker.start()) {
        log_.error("no thread to record with: nothing is recorded");
    }
    if (!health_.start()) {
        log_.error("no thread to probe servers: the list stands as the file has it");
    }
    const int code = program_.run();
    health_.stop();
    if (kept_) {
        kept_->worker.stop();
        kept_->recorder->close();
        const auto counts = kept_->recorder->counts();
        log_.info("recording: {} turns, {} lost, {} bytes in {} segments, {} failures",
                  counts.turns, counts.lost, counts.bytes, counts.segments, counts.failures);
    }
    return code;
}

int serve(const std::string& file) {
    signal(SIGPIPE, SIG_IGN);
    sigset_t heard;
    sigemptyset(&heard);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&heard, signal);
    }
    pthread_sigmask(SIG_BLOCK, &heard, nullptr);
    const operators::Reading reading = operators::read_file(file);
    for (const auto& fault : reading.faults) {
        fmt::print(stderr, "{}\n", fault.text());
    }
    if (!reading.faults.empty()) {
        return kUnusable;
    }
    Log log(STDERR_FILENO);
    for (const auto& notice : reading.notices) {
        log.warn("{}: {}", file, notice);
    }
    Served served(reading.plan, clock_from_now(), log);
    std::thread ear([&] {
        int signal = 0;
        while (sigwait(&heard, &signal) == 0 && signal == SIGHUP) {
            const operators::Reading again = operators::read_file(file);
            for (const auto& fault : again.faults) {
                log.error("reload: {}", fault.text());
            }
            if (!again.faults.empty()) {
                log.error("reload: nothing is changed");
            } else if (!served.replace(again.plan)) {
                log.error(
                    "reload: nothing is changed: its pools are others, which a start takes in");
            } else {
                log.info("reload: {} is served", file);
            }
        }
        served.stop();
    });
    const int code = served.run();
    if (code != 0) {
        pthread_kill(ear.native_handle(), SIGTERM);
    }
    ear.join();
    return code;
}

}  // namespace micaroad::command
