/// \file
/// Translates the ACLs of a section and the conditions that refer to them (configuration manual
/// 2.8, section 7) to routing::Match. An ACL that is declared several times matches if any of its
/// lines matches.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/acl_expression.hpp"
#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// All ACLs that one section declares. Not thread-safe; `findings` must outlive it.
class Acls {
 public:
    /// Translates the `acl` lines and records their verdicts. A line that no condition uses gets
    /// the verdict no_effect, unless it is refused.
    Acls(const std::vector<const Statement*>& declarations, Scope scope, Findings& findings);

    /// Translates a condition such as `if a !b or { path /x }`. It begins at word `from`, which has
    /// to be "if" or "unless", and ends with the line. If the line ends before that word, the
    /// result matches every RPC. An ACL may be used only on lines after its first declaration.
    [[nodiscard]] TranslatedCondition translate_condition(const Statement& statement,
                                                          std::size_t from);

 private:
    struct Acl {
        int first_line = 0;  // line number of its first declaration
        std::vector<routing::Match> alternatives;
        std::string refusal;             // why one of its lines is refused; empty: none is
        std::vector<std::size_t> lines;  // finding numbers, ascending
    };
    struct Term;
    void declare(const Statement& statement);
    TranslatedCondition translate_terms(const Statement& statement, std::size_t from);
    TranslatedCondition translate_term(const Statement& statement, Term& term);
    TranslatedCondition translate_name(const Statement& statement, const std::string& name);

    Scope scope_;
    Findings& findings_;
    std::map<std::string, Acl> acls_;  // by name
};

}  // namespace micaroad::haproxy
