/// The configuration that a planner starts with: the file that LB_CONFIG names, and the environment
/// variables that take precedence over it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "planner/ports.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/message.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad {

/// A configuration that can't be used. what() names the key or variable, and why.
class ConfigurationError : public std::runtime_error {
 public:
    /// `setting` is the key or variable at fault, or empty where it is the whole file.
    ConfigurationError(std::string setting, const std::string& message)
        : std::runtime_error(message), setting_(std::move(setting)) {}
    [[nodiscard]] const std::string& setting() const { return setting_; }

 private:
    std::string setting_;
};

struct StartConfiguration {
    std::string name;       ///< of the planner
    std::string listen;     ///< address and port
    std::string discovery;  ///< address and port
    std::uint64_t seed = 0;
    std::size_t sockets = 0;  ///< that the process may open
    std::size_t memory_mb = 0;
    DeploymentSettings settings;
    SymbolTable names;
    protocol::Bounds bounds;
    protocol::EndpointListMessage initial_list;  ///< the list to begin with, a complete one
    /// The JSON text of the keys that a reload does not change, by key.
    std::map<std::string, std::string> restart_key_texts;
};

/// The value of an environment variable, or null. As std::getenv.
using Environment = std::function<const char*(const char*)>;

/// Reads the text of a start file; the variables LB_NAME, LB_LISTEN and LB_DISCOVERY take
/// precedence over its keys. Throws ConfigurationError.
[[nodiscard]] StartConfiguration parse_start_configuration(const std::string& text,
                                                           const Environment& environment);

/// Reads the start file that the variable LB_CONFIG names. Throws ConfigurationError.
[[nodiscard]] StartConfiguration load_start_configuration(const Environment& environment);

/// Reads the text of a start file while the program serves. The file's discovery address counts,
/// whatever LB_DISCOVERY held at the start, as the environment of a process can't be changed from
/// outside. Throws ConfigurationError, also for a file of another deployment.
[[nodiscard]] ReloadedConfiguration parse_reloaded_configuration(const std::string& text,
                                                                 const StartConfiguration& start);

/// The same for the file that LB_CONFIG names. Throws ConfigurationError.
[[nodiscard]] ReloadedConfiguration reload_configuration(const Environment& environment,
                                                         const StartConfiguration& start);

}  // namespace micaroad
