#include "haproxy/acl.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace micaroad::haproxy {
namespace {

using routing::AllOf;
using routing::AnyOf;
using routing::Match;
using routing::Matches;
using routing::MethodIs;
using routing::Not;

Match loopback_sources() {
    routing::SourceIn loopback;
    for (const char* const text : {"127.0.0.0/8", "::1"}) {
        if (const auto network = routing::parse_network(text)) {
            loopback.networks.push_back(*network);
        }
    }
    return Match{loopback};
}

/// Returns the match of an ACL that HAProxy predefines; absent: there is none of that name.
std::optional<Match> predefined_acl(const std::string& name) {
    static const std::map<std::string, std::vector<std::string>> kMethods{
        {"METH_CONNECT", {"CONNECT"}}, {"METH_DELETE", {"DELETE"}},   {"METH_GET", {"GET", "HEAD"}},
        {"METH_HEAD", {"HEAD"}},       {"METH_OPTIONS", {"OPTIONS"}}, {"METH_POST", {"POST"}},
        {"METH_PUT", {"PUT"}},         {"METH_TRACE", {"TRACE"}}};
    if (name == "TRUE" || name == "HTTP") {
        return Match{AllOf{}};
    }
    if (name == "FALSE") {
        return Match{AnyOf{}};
    }
    if (name == "LOCALHOST") {
        return loopback_sources();
    }
    if (name == "HTTP_URL_SLASH") {
        return Match{routing::PathIs{{routing::TextMatchKind::prefix, {"/"}, false}}};
    }
    if (const auto method = kMethods.find(name); method != kMethods.end()) {
        return Match{MethodIs{method->second}};
    }
    return std::nullopt;
}

Match all_of(const Matches& matches) {
    return matches.size() == 1 ? matches.front() : Match{AllOf{matches}};
}

Match any_of(const Matches& matches) {
    return matches.size() == 1 ? matches.front() : Match{AnyOf{matches}};
}

}  // namespace

/// A term of a condition, such as `!name` or `! { path /x }`.
struct Acls::Term {
    bool negated = false;
    std::string word;          // a name or "{"
    std::size_t position = 0;  // of its word; after translation, of its last word

    Term(const std::vector<Word>& words, std::size_t from)
        : word(words[from].text), position(from) {
        while (word.starts_with('!')) {
            negated = !negated;
            word.erase(0, 1);
        }
        if (word.empty() && position + 1 < words.size()) {
            ++position;
            word = words[position].text;
        }
    }
};

Acls::Acls(const std::vector<const Statement*>& declarations, Scope scope, Findings& findings)
    : scope_(std::move(scope)), findings_(findings) {
    for (const Statement* statement : declarations) {
        declare(*statement);
    }
}

void Acls::declare(const Statement& statement) {
    const std::string& name = statement.word(1);
    Acl& acl = acls_[name];
    if (acl.lines.empty()) {
        acl.first_line = statement.line.number;
    }
    acl.lines.push_back(statement.number);
    const TranslatedCondition condition =
        name.empty() ? refuse_condition("its name is missing")
                     : translate_expression(statement.line.words, 2, statement.size(), scope_);
    if (condition) {
        findings_.add_verdict(statement.number, condition->verdict, condition->note);
        acl.alternatives.push_back(condition->match);
    } else {
        const std::string& reason = condition.error().reason;
        findings_.add_verdict(statement.number, Verdict::refused, reason);
        if (acl.refusal.empty()) {
            acl.refusal = fmt::format("ACL {} of line {}: {}", name, statement.line.number, reason);
        }
    }
    findings_.set_unused_message(statement.number, "no condition in this section uses it");
}

TranslatedCondition Acls::translate_condition(const Statement& statement, std::size_t from) {
    if (from >= statement.size()) {
        return TranslatedMatch{Match{AllOf{}}};
    }
    const std::string& keyword = statement.word(from);
    if (keyword != "if" && keyword != "unless") {
        return refuse_condition(
            fmt::format("'{}' is not understood; expected 'if' or 'unless'", keyword));
    }
    if (from + 1 >= statement.size()) {
        return refuse_condition("a condition is missing");
    }
    TranslatedCondition result = translate_terms(statement, from + 1);
    if (result && keyword == "unless") {
        result->match = Match{Not{{result->match}}};
    }
    return result;
}

TranslatedCondition Acls::translate_terms(const Statement& statement, std::size_t from) {
    const std::vector<Word>& words = statement.line.words;
    Matches alternatives;
    Matches terms;  // of the alternative being read
    TranslatedMatch result;
    for (std::size_t position = from; position < words.size(); ++position) {
        const std::string& word = words[position].text;
        if (word == "or" || word == "||") {
            if (terms.empty()) {
                return refuse_condition("a term is missing before 'or'");
            }
            alternatives.push_back(all_of(terms));
            terms.clear();
            continue;
        }
        Term term(words, position);
        const TranslatedCondition translated = translate_term(statement, term);
        if (!translated) {
            return translated;
        }
        position = term.position;
        result.verdict = std::max(result.verdict, translated->verdict);
        if (!translated->note.empty()) {
            result.note = translated->note;
        }
        terms.push_back(term.negated ? Match{Not{{translated->match}}} : translated->match);
    }
    if (terms.empty()) {
        return refuse_condition("a term is missing at the end");
    }
    alternatives.push_back(all_of(terms));
    result.match = any_of(alternatives);
    return result;
}

TranslatedCondition Acls::translate_term(const Statement& statement, Term& term) {
    if (term.word != "{") {
        return translate_name(statement, term.word);
    }
    const std::vector<Word>& words = statement.line.words;
    const std::size_t first = term.position + 1;
    std::size_t end = first;
    while (end < words.size() && words[end].text != "}") {
        ++end;
    }
    if (end == words.size()) {
        return refuse_condition("a } is missing");
    }
    term.position = end;
    return translate_expression(words, first, end, scope_);
}

TranslatedCondition Acls::translate_name(const Statement& statement, const std::string& name) {
    const auto found = acls_.find(name);
    if (found == acls_.end()) {
        if (const auto match = predefined_acl(name)) {
            return TranslatedMatch{*match};
        }
        return refuse_condition(fmt::format("there is no ACL {}", name));
    }
    const Acl& acl = found->second;
    if (acl.lines.front() > statement.number) {
        return refuse_condition(fmt::format(
            "ACL {} is declared only on line {}; HAProxy rejects a use before the declaration",
            name, acl.first_line));
    }
    for (const std::size_t line : acl.lines) {
        findings_.mark_used(line);
    }
    if (!acl.refusal.empty()) {
        return refuse_condition(acl.refusal);
    }
    return TranslatedMatch{any_of(acl.alternatives)};
}

}  // namespace micaroad::haproxy
