#include "command/operator_file.hpp"

#include <fmt/ostream.h>

namespace micaroad::command {

std::optional<operators::Reading> read_operator_file(const std::string& path, std::ostream& err) {
    operators::Reading reading = operators::read_file(path);
    for (const operators::Fault& fault : reading.faults) {
        fmt::print(err, "{}\n", fault.text());
    }
    for (const std::string& notice : reading.notices) {
        fmt::print(err, "{}: {}\n", path, notice);
    }
    if (!reading.faults.empty()) {
        return std::nullopt;
    }
    return reading;
}

}  // namespace micaroad::command
