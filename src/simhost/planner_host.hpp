/// Runs the planners of a simulation and answers the simulator's batches.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "micaroad/planner.hpp"
#include "simhost/wire.hpp"

namespace micaroad::simhost {

/// The planners of one simulation, by name. For one thread at a time.
class PlannerHost {
 public:
    /// The reply to one line of the simulator: what the planners that the batch names decide, in
    /// the order in which it names them first. After an error the host's state is unspecified.
    [[nodiscard]] tl::expected<std::string, WireError> answer(const std::string& line);

 private:
    // A planner that threw stays out until its next launch.
    //
    //     absent --launch--> running --exception--> failed
    //        ^                  |                     |
    //        +-------kill-------+---------kill--------+
    //
    // An event for a planner that is absent or failed changes nothing; a launch replaces any.
    struct Instance {
        std::optional<Planner> planner;  // running
        std::string failure;             // failed: what it threw
    };

    void apply(const Launch& launch, Instance& instance);
    void apply(Event&& event, Instance& instance);
    [[nodiscard]] std::vector<std::string> apply_all(std::vector<Message> messages);

    std::map<std::string, Instance> instances_;
};

}  // namespace micaroad::simhost
