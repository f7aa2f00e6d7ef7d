// What a deployment tells at the start: its settings object, decoded once, for every program that
// hosts the module.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad {

// A Duration counts tenths of a millisecond; the settings and the simulator's wire count
// microseconds.
inline constexpr std::int64_t kMicrosPerUnit = 100;
inline Duration duration_of_micros(std::int64_t micros) {
    return Duration{micros / kMicrosPerUnit};
}

// Throws nlohmann::json::exception where a value has another type than its key demands.
DeploymentSettings parse_deployment_settings(const nlohmann::json& profile);

// The names behind the numbers of MethodId, ZoneId and KindId: a wire that speaks names needs them.
struct SymbolTable {
    std::vector<std::string> methods, zones, kinds;
    const std::string& method(MethodId id) const {
        return methods.at(static_cast<std::size_t>(id.value));
    }
    const std::string& zone(ZoneId id) const {
        return zones.at(static_cast<std::size_t>(id.value));
    }
};
SymbolTable parse_symbol_table(const nlohmann::json& profile);

}  // namespace micaroad
