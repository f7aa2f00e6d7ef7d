// Keywords whose verdict does not depend on their values. docs/haproxy-import.md prints these
// tables.
#pragma once

#include <optional>
#include <string>

#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

struct FixedVerdict {
    Verdict verdict;
    const char* says;
};

std::optional<FixedVerdict> fixed_verdict(
    const Statement& statement);  // of frontends, backends, listens, defaults
std::optional<FixedVerdict> fixed_option(const std::string& name);  // `option NAME`
FixedVerdict global_verdict(const Statement& statement);
FixedVerdict other_section_verdict(const std::string& kind);  // peers, resolvers, userlist, ...

}  // namespace micaroad::haproxy
