// The simulator's wire: one JSON line in, one JSON line out, for many planners. Translates and
// decides nothing.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "micaroad/planner.hpp"

namespace micaroad::simhost {

// A line that can't be read; the text says what is wrong with it.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Host {
 public:
    // The reply to one batch. Throws WireError.
    std::string answer(const std::string& line);

 private:
    struct Instance {
        std::optional<Planner> planner;
        std::string failure;  // what it threw; it stays out until the next launch
    };
    void take(const nlohmann::json& event);

    std::map<std::string, Instance> instances_;
    std::vector<std::string> spoken_to_;  // in this batch, in order of first event
};

}  // namespace micaroad::simhost
