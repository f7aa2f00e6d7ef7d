// The module's events, orders and settings to records and back, without loss: doubles keep their
// bits.
#pragma once

#include "micaroad/planner.hpp"
#include "proto/record.pb.h"
#include "settings/deployment_settings.hpp"

namespace micaroad::record {

constexpr std::uint32_t kSchema = 1;

records::Event record_of(const Event& event);
records::Order record_of(const Order& order);
records::Terms record_of(const DeploymentSettings& settings);
records::Head head_of(const DeploymentSettings& settings, const SymbolTable& names,
                      std::uint64_t seed, const std::string& planner, const std::string& build,
                      TimePoint at);

// Absent: a kind that this build does not know.
std::optional<Event> event_of(const records::Event& event);
DeploymentSettings settings_of(const records::Terms& settings);

// An order in words, for a person.
std::string text_of(const records::Order& order);

}  // namespace micaroad::record
