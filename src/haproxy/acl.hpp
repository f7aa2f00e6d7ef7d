// ACLs and the conditions made of them, as routing::Match. An ACL declared several times holds
// where any of its lines does.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

struct Translated {
    std::optional<routing::Match> match;  // absent: refused
    Verdict verdict = Verdict::translated;
    std::string says;
};

// The pools that conditions may name, and the one that nbsrv means without a name; empty: none.
struct Scope {
    std::set<std::string> pools;
    std::string own;
};

// One expression: `path_beg -i /img /css`, words [from, to).
Translated expression_of(const std::vector<Word>& words, std::size_t from, std::size_t to,
                         const Scope& scope);

// All that a section declares, and what its conditions make of them.
class Acls {
 public:
    Acls(const std::vector<const Statement*>& declarations, Scope scope, Findings& findings);

    // `if a !b or { path /x }`: words from the "if" or "unless" on; none: always. A use is a line
    // that comes after a declaration.
    Translated condition(const Statement& statement, std::size_t from);

 private:
    struct Named {
        int first_line = 0;
        std::string first_file;
        std::vector<routing::Match> of;
        std::string refused;  // why, by one of its lines
        std::vector<std::size_t> lines;
    };
    Translated term(const Statement& statement, const std::string& name);

    Scope scope_;
    Findings& findings_;
    std::map<std::string, Named> named_;
    std::map<std::string, std::size_t> order_;  // the findings' number of the first declaration
};

}  // namespace micaroad::haproxy
