/// Exit codes of the program, alike for every subcommand.
#pragma once

namespace micaroad::command {

/// Done, without anything to report.
constexpr int kDone = 0;
/// Done, but there are findings: under --strict something was changed or refused; a recording
/// differs from its replay.
constexpr int kFindings = 1;
/// The input can't be used; nothing was written.
constexpr int kUnusable = 2;
/// The command line can't be used (EX_USAGE of sysexits.h).
constexpr int kWrongUsage = 64;

}  // namespace micaroad::command
