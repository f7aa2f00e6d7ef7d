// What a planner is told at its start: the file that LB_CONFIG names, and the variables that go
// before it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "planner/ports.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/message.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad {

// The text names the key or variable that is missing or can't be used.
struct ConfigurationError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct StartConfiguration {
    std::string name, listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 0, memory_mb = 0;
    DeploymentSettings settings;
    SymbolTable names;
    protocol::Bounds bounds;
    protocol::EndpointListMessage known;
    std::map<std::string, std::string>
        rest;  // keys that a new reading does not change, as they were told
};

using Environment = std::function<const char*(const char*)>;

StartConfiguration parse_start_configuration(
    const std::string& text, const Environment& environment);  // throws ConfigurationError
StartConfiguration load_start_configuration(
    const Environment& environment);  // throws ConfigurationError

// The same file while the program serves. Its address of discovery counts, whatever LB_DISCOVERY
// held at the start: a process can't be told a new variable.
ReloadedConfiguration parse_reloaded_configuration(
    const std::string& text, const StartConfiguration& start);  // throws ConfigurationError
ReloadedConfiguration reload_configuration(
    const Environment& environment, const StartConfiguration& start);  // throws ConfigurationError

}  // namespace micaroad
