/// The daemon from an operator's file alone: the planner process, the health checks of its
/// endpoints, and its recording.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "daemon/planner_process.hpp"
#include "net/health_checker.hpp"
#include "routing/plan.hpp"

namespace micaroad::command {

/// Serves a plan: its pools are the planner's methods, its servers the endpoint list, whose states
/// follow the pools' health rules.
class PlannerService {
 public:
    /// The log must outlive the service. Throws ConfigurationError where the plan's service can't
    /// be used.
    PlannerService(const routing::Plan& plan, const Clock& clock, Log& log);
    PlannerService(const PlannerService&) = delete;
    PlannerService& operator=(const PlannerService&) = delete;
    ~PlannerService();

    /// Serves until stop() is called. Returns the program's exit code.
    int run();
    /// Any thread.
    void stop() { planner_.stop(); }
    /// Any thread. Returns false, with nothing changed, if its pools differ from those served.
    [[nodiscard]] bool replace(const routing::Plan& plan) { return health_.replace(plan); }
    /// Any thread. Where it listens.
    [[nodiscard]] net::Address address() const { return planner_.address(); }
    /// Any thread.
    [[nodiscard]] LifecycleState state() const { return planner_.state(); }

 private:
    class RecordingService;

    PlannerService(const routing::Plan& plan, const StartConfiguration& start, const Clock& clock,
                   Log& log);
    void update_endpoints(event::EndpointListUpdate list,
                          std::map<ServerId, std::string> addresses);

    Log& log_;
    std::int64_t list_version_ = 0;
    std::unique_ptr<RecordingService> recording_;  // empty: the plan asks for none
    PlannerProcess planner_;
    net::HealthChecker health_;
};

}  // namespace micaroad::command
