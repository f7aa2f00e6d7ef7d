// The command line but for the daemon: import, check, explain. It is built as a library that the
// program loads when such a command is given, so that the daemon holds none of it
// (docs/haproxy-import.md has the figures).
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace micaroad::command {

// Exit codes, alike for every command.
constexpr int kDone = 0;
constexpr int kFindings = 1;     // done, but under --strict something was changed or refused
constexpr int kUnusable = 2;     // the input can't be used; nothing was written
constexpr int kWrongUsage = 64;  // of the command line (EX_USAGE of sysexits.h)

// `words` without the program's name. Results go to `out`, all else to `err`.
int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

// Writes beside `path` and renames, so that nobody ever reads half a file. False: `why` says it,
// and `path` is as it was.
bool write_atomically(const std::string& path, const std::string& text, std::string& why);

}  // namespace micaroad::command
