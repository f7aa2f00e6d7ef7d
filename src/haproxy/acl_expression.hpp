/// \file
/// Translates one expression of an ACL, such as `path_beg -i /img /css` (configuration manual 2.8,
/// section 7), to a routing::Match.
#pragma once

#include <set>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "haproxy/findings.hpp"
#include "haproxy/lexer.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// A translated condition with its verdict and a note for the operator.
struct TranslatedMatch {
    TranslatedMatch() = default;
    explicit TranslatedMatch(routing::Match condition) : match(std::move(condition)) {}
    TranslatedMatch(routing::Match condition, Verdict condition_verdict, std::string remark)
        : match(std::move(condition)), verdict(condition_verdict), note(std::move(remark)) {}

    routing::Match match;
    Verdict verdict = Verdict::translated;
    std::string note;  // empty: none
};

/// Why a condition can't be translated.
struct ConditionRefusal {
    std::string reason;
};

using TranslatedCondition = tl::expected<TranslatedMatch, ConditionRefusal>;

[[nodiscard]] inline TranslatedCondition refuse_condition(std::string reason) {
    return tl::unexpected(ConditionRefusal{std::move(reason)});
}

/// The pools that an expression may name.
struct Scope {
    std::set<std::string> pools;
    std::string own_pool;  // the pool that nbsrv without an argument counts; empty: none
};

/// Translates the expression in words [from, to).
[[nodiscard]] TranslatedCondition translate_expression(const std::vector<Word>& words,
                                                       std::size_t from, std::size_t to,
                                                       const Scope& scope);

}  // namespace micaroad::haproxy
