/// \file
/// Reads configuration files into one tree, in HAProxy's order: files as given, of a directory
/// those that end in .cfg, by name.
#pragma once

#include <string>
#include <vector>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

constexpr std::size_t kMaxFileBytes = 64u << 20;  // bytes

/// Files that can't be read or are longer than kMaxFileBytes are among the tree's faults, before
/// those of the texts.
[[nodiscard]] Tree read_files(const std::vector<std::string>& names,
                              const Environment& environment);

}  // namespace micaroad::haproxy
