// What a deployment tells at the start: its settings object, decoded once, for every program that hosts the
// module.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad {

// Throws nlohmann::json::exception where a value has another type than its key demands.
Terms terms_of(const nlohmann::json& profile);

// The names behind the numbers of MethodId, ZoneId and KindId: a wire that speaks names needs them.
struct Names {
    std::vector<std::string> methods, zones, kinds;
};
Names names_of(const nlohmann::json& profile);

}  // namespace micaroad
