/// Runs the planners of a simulation and replies to the simulator's batches.
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
    /// Returns the reply to one line of the simulator: the decisions of the planners that the batch
    /// addresses, in the order in which it first names them. After an error, the host's state is
    /// unspecified.
    [[nodiscard]] tl::expected<std::string, WireError> answer(const std::string& line);

 private:
    // A planner that threw an exception ignores events until its next launch.
    //
    //     absent --launch--> running --exception--> failed
    //        ^                  |                     |
    //        +-------kill-------+---------kill--------+
    //
    // An event for an absent or failed planner is ignored. A launch replaces a planner in any
    // state.
    struct Instance {
        std::optional<Planner> planner;  // set while running
        std::string failure;             // if failed: text of the exception
    };

    void apply(const Launch& launch, Instance& instance);
    void apply(Event&& event, Instance& instance);
    [[nodiscard]] std::vector<std::string> apply_all(std::vector<Message> messages);

    std::map<std::string, Instance> instances_;
};

}  // namespace micaroad::simhost
