/// The command line: the subcommands import, check, explain, replay and serve. The daemon that runs
/// from a start file is not part of it. It is built as a library that the program loads only if a
/// subcommand is given, which keeps its memory out of the daemon (docs/haproxy-import.md has the
/// figures).
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "command/exit_code.hpp"

namespace micaroad::command {

/// Runs a command line, given as `words` without the program's name. Results go to `out`, all other
/// output to `err`. Returns the exit code.
int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

}  // namespace micaroad::command
