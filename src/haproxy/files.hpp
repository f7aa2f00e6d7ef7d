// Which files a command line's names mean, in the original's order: files as given, of a directory
// those that end in .cfg, by name; then read into one tree.
#pragma once

#include <string>
#include <vector>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

constexpr std::size_t kLongestFile = 64u << 20;  // bytes

// Troubles of files that can't be read come with those of their text.
Tree read_files(const std::vector<std::string>& names, const Environment& environment);

}  // namespace micaroad::haproxy
