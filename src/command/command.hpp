/// The command line but for the daemon of a start file: import, check, explain, replay and serve.
/// It is built as a library that the program loads when such a subcommand is given, so that the
/// daemon holds none of it (docs/haproxy-import.md has the figures).
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "command/exit_code.hpp"

namespace micaroad::command {

/// Runs a command line, `words` without the program's name. Results go to `out`, all else to `err`.
/// Returns the exit code.
int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

}  // namespace micaroad::command
