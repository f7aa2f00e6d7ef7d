/// The daemon that is configured by an operator's file alone: the planner process, the health
/// checks of its endpoints, and its recording.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "daemon/planner_process.hpp"
#include "net/health_checker.hpp"
#include "routing/plan.hpp"

namespace micaroad::command {

/// Serves a plan. Its pools are the planner's methods and its servers the endpoint list, whose
/// states follow the pools' health rules.
class PlannerService {
 public:
    /// The log must outlive the service. Throws ConfigurationError if the plan's service is
    /// invalid.
    PlannerService(const routing::Plan& plan, const Clock& clock, Log& log);
    PlannerService(const PlannerService&) = delete;
    PlannerService& operator=(const PlannerService&) = delete;
    ~PlannerService();

    /// Serves until stop() is called. Returns the program's exit code.
    int run();
    /// Makes run() return. Any thread may call it.
    void stop() { planner_.stop(); }
    /// Replaces the plan. Returns false and changes nothing if its pools differ from those served.
    /// Any thread may call it.
    [[nodiscard]] bool replace(const routing::Plan& plan) { return health_.replace(plan); }
    /// The address on which it listens. Any thread may call it.
    [[nodiscard]] net::Address address() const { return planner_.address(); }
    /// Any thread may call it.
    [[nodiscard]] LifecycleState state() const { return planner_.state(); }

 private:
    class RecordingService;

    PlannerService(const routing::Plan& plan, const StartConfiguration& start, const Clock& clock,
                   Log& log);
    void update_endpoints(event::EndpointListUpdate list,
                          std::map<ServerId, std::string> addresses);

    Log& log_;
    std::int64_t list_version_ = 0;
    std::unique_ptr<RecordingService> recording_;  // null: the plan has no recording
    PlannerProcess planner_;
    net::HealthChecker health_;
};

}  // namespace micaroad::command
