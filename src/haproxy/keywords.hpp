/// @file
/// Keywords whose verdict does not depend on their arguments. docs/haproxy-import.md lists them.
#pragma once

#include <optional>
#include <string>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// A verdict with its explanation, which has static storage duration.
struct FixedVerdict {
    Verdict verdict;
    const char* message;
};

/// Returns the verdict on a statement in a frontend, backend, listen or defaults section, or
/// nothing if its keyword is unknown or its verdict depends on the arguments.
[[nodiscard]] std::optional<FixedVerdict> fixed_verdict(const Statement& statement);

/// Returns the verdict on `option NAME` in such a section, or nothing as above.
[[nodiscard]] std::optional<FixedVerdict> fixed_option(const std::string& name);

/// Returns the verdict on `timeout NAME` in such a section, or nothing as above.
[[nodiscard]] std::optional<FixedVerdict> fixed_timeout(const std::string& name);

/// Returns the verdict on a statement in the global section.
[[nodiscard]] FixedVerdict global_verdict(const Statement& statement);

/// Returns the verdict on all lines of a section of another kind, such as peers, resolvers or
/// userlist.
[[nodiscard]] FixedVerdict other_section_verdict(const std::string& kind);

}  // namespace micaroad::haproxy
