/// Exit codes of the program, the same for all subcommands.
#pragma once

namespace micaroad::command {

/// Success without findings.
constexpr int kSuccess = 0;
/// Success with findings: `import --strict` changed or refused something, or the replay of a
/// recording differs from it.
constexpr int kFindings = 1;
/// The input is invalid; nothing was written.
constexpr int kInvalidInput = 2;
/// The command line is invalid (EX_USAGE of sysexits.h).
constexpr int kUsageError = 64;

}  // namespace micaroad::command
