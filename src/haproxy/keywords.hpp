/// @file
/// Keywords whose verdict does not depend on their values. docs/haproxy-import.md prints these
/// tables.
#pragma once

#include <optional>
#include <string>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// A verdict with its explanation, which lives as long as the program.
struct FixedVerdict {
    Verdict verdict;
    const char* message;
};

/// Of a statement in a frontend, backend, listen or defaults section. Absent: its keyword is
/// unknown or has to be looked into.
[[nodiscard]] std::optional<FixedVerdict> fixed_verdict(const Statement& statement);

/// Of `option NAME` in such a section; absent as above.
[[nodiscard]] std::optional<FixedVerdict> fixed_option(const std::string& name);

/// Of `timeout NAME` in such a section; absent as above.
[[nodiscard]] std::optional<FixedVerdict> fixed_timeout(const std::string& name);

/// Of a statement in the global section.
[[nodiscard]] FixedVerdict global_verdict(const Statement& statement);

/// Of all lines of a section of another kind: peers, resolvers, userlist and so on.
[[nodiscard]] FixedVerdict other_section_verdict(const std::string& kind);

}  // namespace micaroad::haproxy
