/// \file
/// ACLs of a section and the conditions made of them (configuration manual 2.8, section 7), as
/// routing::Match. An ACL declared several times holds where any of its lines does.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/acl_expression.hpp"
#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// All ACLs that one section declares. Not thread-safe; `findings` outlives it.
class Acls {
 public:
    /// Translates the `acl` lines and records their verdicts. A line that no condition uses counts
    /// as one without effect.
    Acls(const std::vector<const Statement*>& declarations, Scope scope, Findings& findings);

    /// Translates `if a !b or { path /x }`: the words from `from` on, the first of which is "if" or
    /// "unless". Without words it always matches. An ACL may be used only on lines behind its first
    /// declaration.
    [[nodiscard]] TranslatedCondition translate_condition(const Statement& statement,
                                                          std::size_t from);

 private:
    struct Acl {
        int first_line = 0;  // in its file
        std::vector<routing::Match> alternatives;
        std::string refused;             // why one of its lines has no translation; empty: all have
        std::vector<std::size_t> lines;  // numbers in the findings, ascending
    };
    struct Term;
    void declare(const Statement& statement);
    TranslatedCondition any_of_terms(const Statement& statement, std::size_t from);
    TranslatedCondition translate_term(const Statement& statement, Term& term);
    TranslatedCondition translate_name(const Statement& statement, const std::string& name);

    Scope scope_;
    Findings& findings_;
    std::map<std::string, Acl> acls_;  // by name
};

}  // namespace micaroad::haproxy
