#include "command/operator_file.hpp"

#include <fmt/ostream.h>

namespace micaroad::command {

std::optional<operators::ReadResult> read_operator_file(const std::string& path,
                                                        std::ostream& err) {
    operators::ReadResult result = operators::read_file(path);
    for (const operators::Fault& fault : result.faults) {
        fmt::print(err, "{}\n", fault.text());
    }
    for (const std::string& notice : result.notices) {
        fmt::print(err, "{}: {}\n", path, notice);
    }
    if (!result.faults.empty()) {
        return std::nullopt;
    }
    return result;
}

}  // namespace micaroad::command
