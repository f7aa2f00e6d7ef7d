// The daemon from an operator's file alone: its pools are the planner's methods, its servers the
// list, kept by the pools' health rules. SIGHUP reads the file again; SIGTERM and SIGINT end it.
#pragma once

#include <memory>
#include <string>

#include "daemon/planner_process.hpp"
#include "net/health_prober.hpp"
#include "routing/plan.hpp"

namespace micaroad::command {

class Served {
 public:
    // Throws ConfigurationError where the plan's service can't be used.
    Served(const routing::Plan& plan, Clock clock, Log& log);
    ~Served();

    int run();  // until stop(); the exit code
    void stop() { program_.stop(); }
    // False: its pools differ from those served, and nothing is changed.
    bool replace(const routing::Plan& plan) { return health_.replace(plan); }
    net::Address address() const { return program_.address(); }
    Stage stage() const { return program_.stage(); }

 private:
    Served(const routing::Plan& plan, StartConfiguration start, Clock clock, Log& log);
    void tell(event::EndpointListUpdate list, std::map<ServerId, std::string> addresses);

    struct Kept;  // what records, where the plan asks for it
    Log& log_;
    std::int64_t version_ = 0;
    std::unique_ptr<Kept> kept_;
    PlannerProcess program_;
    net::HealthProber health_;
};

// Blocks the signals, serves, and heeds them. The exit code.
int serve(const std::string& file);

}  // namespace micaroad::command
