/// Reads the operator's file for a subcommand.
#pragma once

#include <optional>
#include <ostream>
#include <string>

#include "operators/file.hpp"

namespace micaroad::command {

/// Reads an operator's file and prints its faults and notices to `err`. Absent if it has faults.
[[nodiscard]] std::optional<operators::ReadResult> read_operator_file(const std::string& path,
                                                                      std::ostream& err);

}  // namespace micaroad::command
