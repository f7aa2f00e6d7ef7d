/// The start configuration of a planner: the file named by LB_CONFIG, and the environment variables
/// that take precedence over it.
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

/// An invalid configuration. what() says which key or variable is invalid, and why.
class ConfigurationError : public std::runtime_error {
 public:
    /// `setting` is the invalid key or variable, or empty if the file as a whole is invalid.
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
    std::size_t sockets = 0;  ///< maximum number that the process may open
    std::size_t memory_mb = 0;
    DeploymentSettings settings;
    SymbolTable names;
    protocol::Bounds bounds;
    protocol::EndpointListMessage initial_list;  ///< complete; key `known`
    /// The JSON texts of the keys that only a restart changes, by key.
    std::map<std::string, std::string> restart_key_texts;
};

/// Returns the value of an environment variable, or null if it is not set, as std::getenv does.
using Environment = std::function<const char*(const char*)>;

/// Parses the text of a start file. The variables LB_NAME, LB_LISTEN and LB_DISCOVERY take
/// precedence over its keys. Throws ConfigurationError.
[[nodiscard]] StartConfiguration parse_start_configuration(const std::string& text,
                                                           const Environment& environment);

/// Reads and parses the start file named by the variable LB_CONFIG. Throws ConfigurationError.
[[nodiscard]] StartConfiguration load_start_configuration(const Environment& environment);

/// Parses the text of a start file for a reload. The discovery address is that of the file, even if
/// LB_DISCOVERY was set at the start, as the environment of a running process can't be changed from
/// outside. Throws ConfigurationError, also for a file of another deployment.
[[nodiscard]] ReloadedConfiguration parse_reloaded_configuration(const std::string& text,
                                                                 const StartConfiguration& start);

/// Reads the file named by LB_CONFIG and calls parse_reloaded_configuration(). Throws
/// ConfigurationError.
[[nodiscard]] ReloadedConfiguration reload_configuration(const Environment& environment,
                                                         const StartConfiguration& start);

}  // namespace micaroad
