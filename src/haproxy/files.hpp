/// \file
/// Reads configuration files into one tree, in HAProxy's order: files in the order given, and in
/// place of a directory its files that end in .cfg, sorted by name.
#pragma once

#include <string>
#include <vector>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// Maximum size of a file.
constexpr std::size_t kMaxFileBytes = 64u << 20;

/// Reads files and directories. The faults for files that can't be read or exceed kMaxFileBytes
/// come before the faults within the files.
[[nodiscard]] Tree read_files(const std::vector<std::string>& names,
                              const Environment& environment);

}  // namespace micaroad::haproxy
