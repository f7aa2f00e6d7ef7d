#include "haproxy/acl_expression.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <map>
#include <optional>

#include "haproxy/units.hpp"
#include "routing/match.hpp"

namespace micaroad::haproxy {
namespace {

using routing::AllOf;
using routing::AnyOf;
using routing::HeaderIs;
using routing::HostIs;
using routing::Match;
using routing::MethodIs;
using routing::PathIs;
using routing::SourceIn;
using routing::TextMatchKind;
using routing::to_lower;
using routing::UsableServers;

constexpr std::int64_t kMaxServers = 1'000'000;

const std::map<std::string, TextMatchKind> kMatchKindsBySuffix{{"", TextMatchKind::exact},
                                                               {"_str", TextMatchKind::exact},
                                                               {"_beg", TextMatchKind::prefix},
                                                               {"_end", TextMatchKind::suffix},
                                                               {"_sub", TextMatchKind::contains}};

/// A sample fetch with its converters: `hdr(host),lower`.
struct Fetch {
    std::string name;
    std::string argument;  // between the parentheses
    std::vector<std::string> converters;
    bool closed = true;  // every parenthesis has its match
};

/// Splits at the commas outside parentheses. Returns at least one part.
std::vector<std::string> split_converters(const std::string& word, int& depth) {
    std::vector<std::string> parts{""};
    for (const char character : word) {
        if (character == '(') {
            ++depth;
        } else if (character == ')') {
            --depth;
        }
        if (character == ',' && depth == 0) {
            parts.emplace_back();
        } else {
            parts.back() += character;
        }
    }
    return parts;
}

Fetch read_fetch(const std::string& word) {
    Fetch fetch;
    int depth = 0;
    const std::vector<std::string> parts = split_converters(word, depth);
    fetch.closed = depth == 0;
    fetch.converters.assign(parts.begin() + 1, parts.end());
    const std::string& call = parts.front();
    const auto open = call.find('(');
    fetch.name = call.substr(0, open);
    if (open != std::string::npos && call.ends_with(')')) {
        fetch.argument = call.substr(open + 1, call.size() - open - 2);
    }
    return fetch;
}

/// The flags of an expression and the values after them.
struct Pattern {
    bool ignore_case = false;
    bool found = false;                       // -m found: matches if the sample exists
    std::optional<TextMatchKind> match_kind;  // set by -m; absent: the fetch's suffix decides
    std::string refusal;                      // why a flag can't be translated; empty: all can
    std::vector<std::string> values;
};

void read_match_method(const std::string& method, Pattern& pattern) {
    const auto known = kMatchKindsBySuffix.find("_" + method);
    if (method == "found") {
        pattern.found = true;
    } else if (known != kMatchKindsBySuffix.end()) {
        pattern.match_kind = known->second;
    } else if (method != "ip" && method != "int" && method != "bool") {
        pattern.refusal = fmt::format("matching by -m {} is not supported", method);
    }
}

/// Reads the flag at `position` and returns the number of its words, or 0 if the word is a value.
std::size_t read_flag(const std::vector<Word>& words, std::size_t position, std::size_t to,
                      Pattern& pattern) {
    const std::string& flag = words[position].text;
    const bool has_argument = position + 1 < to;
    if (flag == "-i") {
        pattern.ignore_case = true;
        return 1;
    }
    if (flag == "-n" || flag == "-M") {
        return 1;
    }
    if (flag == "-u" && has_argument) {
        return 2;
    }
    if (flag == "-f") {
        pattern.refusal = "values are not read from a file: list them on the line";
        return 2;
    }
    if (flag == "-m" && has_argument) {
        read_match_method(words[position + 1].text, pattern);
        return 2;
    }
    return 0;
}

Pattern read_pattern(const std::vector<Word>& words, std::size_t from, std::size_t to) {
    Pattern pattern;
    std::size_t position = from;
    while (position < to) {
        const std::string& word = words[position].text;
        if (word == "--") {
            ++position;
            break;
        }
        const std::size_t flag_size = read_flag(words, position, to, pattern);
        if (flag_size == 0) {
            break;
        }
        position += flag_size;
    }
    for (; position < to; ++position) {
        pattern.values.push_back(words[position].text);
    }
    return pattern;
}

Parsed<std::int64_t> read_server_count(const std::string& text) {
    return parse_number(text, 0, kMaxServers);
}

/// Translates a range such as "1:4", "1:" or ":4".
TranslatedCondition translate_count_range(const std::string& text, std::size_t colon,
                                          UsableServers usable) {
    if (colon > 0) {
        const auto min_count = read_server_count(text.substr(0, colon));
        if (!min_count) {
            return refuse_condition(min_count.error);
        }
        usable.min_count = static_cast<int>(*min_count);
    }
    if (colon + 1 < text.size()) {
        const auto max_count = read_server_count(text.substr(colon + 1));
        if (!max_count) {
            return refuse_condition(max_count.error);
        }
        usable.max_count = static_cast<int>(*max_count);
    }
    return TranslatedMatch{Match{usable}};
}

TranslatedMatch compare_count(const std::string& comparison, int count, UsableServers usable) {
    if (comparison == "lt" && count == 0) {
        return {Match{AnyOf{}}, Verdict::translated, "never matches"};
    }
    if (comparison == "eq" || comparison == "ge") {
        usable.min_count = count;
    }
    if (comparison == "eq" || comparison == "le") {
        usable.max_count = count;
    }
    if (comparison == "gt") {
        usable.min_count = count + 1;
    }
    if (comparison == "lt") {
        usable.max_count = count - 1;
    }
    return TranslatedMatch{Match{usable}};
}

/// Translates a number of servers such as "lt 2", "ge 1", "3" or "1:4" to one range of integers.
TranslatedCondition translate_server_count(const std::vector<std::string>& values,
                                           const std::string& pool) {
    static const std::set<std::string> kComparisons{"eq", "ge", "gt", "le", "lt"};
    if (values.empty()) {
        return refuse_condition("a number is missing");
    }
    const bool has_comparison = kComparisons.contains(values[0]);
    const std::size_t expected_size = has_comparison ? 2 : 1;
    if (values.size() != expected_size) {
        return refuse_condition("exactly one number or range is expected");
    }
    const std::string& text = values.back();
    const auto colon = text.find(':');
    if (colon != std::string::npos && !has_comparison) {
        return translate_count_range(text, colon, UsableServers{pool});
    }
    const auto count = read_server_count(text);
    if (!count) {
        return refuse_condition(count.error);
    }
    return compare_count(has_comparison ? values[0] : "eq", static_cast<int>(*count),
                         UsableServers{pool});
}

TranslatedCondition translate_nbsrv(const Fetch& fetch, const Pattern& pattern,
                                    const Scope& scope) {
    const std::string& pool = fetch.argument.empty() ? scope.own_pool : fetch.argument;
    if (!scope.pools.contains(pool)) {
        return refuse_condition(fmt::format("there is no backend {}", pool));
    }
    return translate_server_count(pattern.values, pool);
}

/// Matches paths that have `value` as a whole directory or as their end.
Match match_directory(std::string value) {
    while (value.starts_with('/')) {
        value.erase(0, 1);
    }
    while (value.ends_with('/')) {
        value.pop_back();
    }
    return {AnyOf{{Match{PathIs{{TextMatchKind::contains, {"/" + value + "/"}, false}}},
                   Match{PathIs{{TextMatchKind::suffix, {"/" + value}, false}}}}}};
}

TranslatedCondition translate_directories(const Pattern& pattern, bool ignore_case) {
    if (ignore_case) {
        return refuse_condition("path_dir can be matched only with regard to case");
    }
    AnyOf any;
    for (const std::string& value : pattern.values) {
        any.conditions.push_back(match_directory(value));
    }
    return TranslatedMatch{Match{any}};
}

/// Returns how the fetch `name` compares texts: as -m says, else by the suffix of `name` after
/// `stem`. Absent if `name` is not `stem` with a known suffix.
std::optional<TextMatchKind> text_match_kind(const std::string& name, const std::string& stem,
                                             const Pattern& pattern) {
    if (!name.starts_with(stem)) {
        return std::nullopt;
    }
    const auto suffix = kMatchKindsBySuffix.find(name.substr(stem.size()));
    if (suffix == kMatchKindsBySuffix.end()) {
        return std::nullopt;
    }
    return pattern.match_kind ? pattern.match_kind : suffix->second;
}

std::optional<TextMatchKind> header_match_kind(const std::string& name, const Pattern& pattern) {
    for (const char* const stem : {"req.hdr", "req.fhdr", "hdr"}) {
        if (const auto kind = text_match_kind(name, stem, pattern)) {
            return kind;
        }
    }
    return std::nullopt;
}

bool is_header_name(const std::string& name) {
    return !name.empty() && std::ranges::all_of(name, [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' ||
               character == '.';
    });
}

/// Returns the name from "name" or "name,occurrence". Only occurrences 1 (the first) and -1 (the
/// last) are accepted.
tl::expected<std::string, ConditionRefusal> read_header_name(const std::string& argument) {
    std::string name = argument;
    if (const auto comma = name.find(','); comma != std::string::npos) {
        const std::string occurrence = name.substr(comma + 1);
        if (occurrence != "1" && occurrence != "-1") {
            return tl::unexpected(
                ConditionRefusal{"only occurrences 1 and -1 of a header are supported"});
        }
        name.resize(comma);
    }
    if (!is_header_name(name)) {
        return tl::unexpected(ConditionRefusal{fmt::format("'{}' is not a header name", name)});
    }
    return name;
}

TranslatedMatch match_host(TextMatchKind kind, const Pattern& pattern, bool ignore_case) {
    std::vector<std::string> hosts;
    hosts.reserve(pattern.values.size());
    for (const std::string& value : pattern.values) {
        hosts.push_back(to_lower(value));
    }
    const Match match{HostIs{{kind, hosts, false}}};
    if (ignore_case) {
        return TranslatedMatch{match};
    }
    return {match, Verdict::changed, "hosts are compared without regard to case"};
}

/// Compares the values of the header field `name`, which is in lower case.
TranslatedCondition translate_header_text(const std::string& name, const Fetch& fetch,
                                          const Pattern& pattern) {
    const std::optional<TextMatchKind> kind = header_match_kind(fetch.name, pattern);
    if (!kind) {
        return refuse_condition(fmt::format("{} is not supported", fetch.name));
    }
    if (pattern.values.empty()) {
        return refuse_condition("a value is missing");
    }
    bool ignore_case = pattern.ignore_case;
    bool without_port = false;
    for (const std::string& converter : fetch.converters) {
        if (converter == "lower") {
            ignore_case = true;
        } else if (name == "host" && (converter == "host_only" || converter == "field(1,:)")) {
            without_port = true;
        } else {
            return refuse_condition(fmt::format("the converter {} is not supported", converter));
        }
    }
    if (without_port) {
        return match_host(*kind, pattern, ignore_case);
    }
    return TranslatedMatch{Match{HeaderIs{name, {*kind, pattern.values, ignore_case}}}};
}

TranslatedCondition translate_header(const Fetch& fetch, const Pattern& pattern) {
    const bool is_count = fetch.name.ends_with("_cnt");
    const std::vector<std::string> above_zero{"gt", "0"};
    const std::vector<std::string> at_least_one{"ge", "1"};
    if (is_count && pattern.values != above_zero && pattern.values != at_least_one) {
        return refuse_condition("a header count can be compared only with 'gt 0' or 'ge 1'");
    }
    const auto given_name = read_header_name(fetch.argument);
    if (!given_name) {
        return tl::unexpected(given_name.error());
    }
    const std::string name = to_lower(*given_name);
    if (is_count || pattern.found) {
        return TranslatedMatch{Match{HeaderIs{name, {TextMatchKind::present, {}, false}}}};
    }
    return translate_header_text(name, fetch, pattern);
}

TranslatedCondition translate_source(const Pattern& pattern) {
    SourceIn source;
    for (const std::string& value : pattern.values) {
        const auto network = routing::parse_network(value);
        if (!network) {
            return refuse_condition(fmt::format("'{}' is not a network", value));
        }
        source.networks.push_back(*network);
    }
    return TranslatedMatch{Match{source}};
}

/// Translates a fetch that needs values and takes no argument.
TranslatedCondition translate_values(const std::string& name, const Pattern& pattern,
                                     bool ignore_case) {
    if (pattern.values.empty()) {
        return refuse_condition("a value is missing");
    }
    if (name == "method") {
        return TranslatedMatch{Match{MethodIs{pattern.values}}};
    }
    if (name == "src") {
        return translate_source(pattern);
    }
    if (name == "path_dir" && !pattern.match_kind) {
        return translate_directories(pattern, ignore_case);
    }
    if (const auto kind = text_match_kind(name, "path", pattern)) {
        return TranslatedMatch{Match{PathIs{{*kind, pattern.values, ignore_case}}}};
    }
    return refuse_condition(fmt::format("{} is not supported", name));
}

bool is_header_fetch(const std::string& name) {
    return name.starts_with("hdr") || name.starts_with("req.hdr") || name.starts_with("req.fhdr");
}

}  // namespace

TranslatedCondition translate_expression(const std::vector<Word>& words, std::size_t from,
                                         std::size_t to, const Scope& scope) {
    if (from >= to) {
        return refuse_condition("an expression is missing");
    }
    const Fetch fetch = read_fetch(words[from].text);
    const Pattern pattern = read_pattern(words, from + 1, to);
    if (!fetch.closed) {
        return refuse_condition("a ) is missing");
    }
    if (!pattern.refusal.empty()) {
        return refuse_condition(pattern.refusal);
    }
    if (is_header_fetch(fetch.name)) {
        return translate_header(fetch, pattern);
    }
    for (const std::string& converter : fetch.converters) {
        if (converter != "lower") {
            return refuse_condition(fmt::format("the converter {} is not supported", converter));
        }
    }
    const bool ignore_case = pattern.ignore_case || !fetch.converters.empty();
    if (fetch.name == "always_true") {
        return TranslatedMatch{Match{AllOf{}}};
    }
    if (fetch.name == "always_false") {
        return TranslatedMatch{Match{AnyOf{}}};
    }
    if (fetch.name == "nbsrv") {
        return translate_nbsrv(fetch, pattern, scope);
    }
    return translate_values(fetch.name, pattern, ignore_case);
}

}  // namespace micaroad::haproxy
