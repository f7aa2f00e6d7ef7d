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

const std::map<std::string, TextMatchKind> kWaysBySuffix{{"", TextMatchKind::exact},
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

/// The flags of an expression and the values behind them.
struct Pattern {
    bool any_case = false;
    bool found = false;                // -m found: whether there is a sample at all
    std::optional<TextMatchKind> way;  // as -m asks for
    std::string refused;               // why a flag has no translation; empty: none
    std::vector<std::string> values;
};

void read_match_method(const std::string& method, Pattern& pattern) {
    const auto known = kWaysBySuffix.find("_" + method);
    if (method == "found") {
        pattern.found = true;
    } else if (known != kWaysBySuffix.end()) {
        pattern.way = known->second;
    } else if (method != "ip" && method != "int" && method != "bool") {
        pattern.refused = fmt::format("matching by -m {} has no equal here", method);
    }
}

/// Reads the flag at `position` and returns how many words it has; 0: the word is a value.
std::size_t read_flag(const std::vector<Word>& words, std::size_t position, std::size_t to,
                      Pattern& pattern) {
    const std::string& flag = words[position].text;
    const bool has_argument = position + 1 < to;
    if (flag == "-i") {
        pattern.any_case = true;
        return 1;
    }
    if (flag == "-n" || flag == "-M") {
        return 1;
    }
    if (flag == "-u" && has_argument) {
        return 2;
    }
    if (flag == "-f") {
        pattern.refused = "values from a file are not read: put them in the line";
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

Or<std::int64_t> read_server_count(const std::string& text) {
    return number_of(text, 0, kMaxServers);
}

/// "1:4", "1:" or ":4".
TranslatedCondition translate_count_range(const std::string& text, std::size_t colon,
                                          UsableServers usable) {
    if (colon > 0) {
        const auto least = read_server_count(text.substr(0, colon));
        if (!least) {
            return refuse_condition(least.wrong);
        }
        usable.min_count = static_cast<int>(*least);
    }
    if (colon + 1 < text.size()) {
        const auto most = read_server_count(text.substr(colon + 1));
        if (!most) {
            return refuse_condition(most.wrong);
        }
        usable.max_count = static_cast<int>(*most);
    }
    return TranslatedMatch{Match{usable}};
}

TranslatedMatch compare_count(const std::string& comparison, int count, UsableServers usable) {
    if (comparison == "lt" && count == 0) {
        return {Match{AnyOf{}}, Verdict::translated, "never holds"};
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

/// "lt 2", "ge 1", "3" or "1:4": one range of whole numbers.
TranslatedCondition translate_server_count(const std::vector<std::string>& values,
                                           const std::string& pool) {
    static const std::set<std::string> kComparisons{"eq", "ge", "gt", "le", "lt"};
    if (values.empty()) {
        return refuse_condition("a number is missing");
    }
    const bool has_comparison = kComparisons.contains(values[0]);
    const std::size_t expected_size = has_comparison ? 2 : 1;
    if (values.size() != expected_size) {
        return refuse_condition("one number or range is read here");
    }
    const std::string& text = values.back();
    const auto colon = text.find(':');
    if (colon != std::string::npos && !has_comparison) {
        return translate_count_range(text, colon, UsableServers{pool});
    }
    const auto count = read_server_count(text);
    if (!count) {
        return refuse_condition(count.wrong);
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
Match directory_of(std::string value) {
    while (value.starts_with('/')) {
        value.erase(0, 1);
    }
    while (value.ends_with('/')) {
        value.pop_back();
    }
    return {AnyOf{{Match{PathIs{{TextMatchKind::contains, {"/" + value + "/"}, false}}},
                   Match{PathIs{{TextMatchKind::suffix, {"/" + value}, false}}}}}};
}

TranslatedCondition translate_directories(const Pattern& pattern, bool any_case) {
    if (any_case) {
        return refuse_condition("directories are matched in their case alone");
    }
    AnyOf any;
    for (const std::string& value : pattern.values) {
        any.conditions.push_back(directory_of(value));
    }
    return TranslatedMatch{Match{any}};
}

/// How the fetch `name` compares texts, by its suffix behind `stem` or by -m; absent: it is another
/// fetch.
std::optional<TextMatchKind> text_way(const std::string& name, const std::string& stem,
                                      const Pattern& pattern) {
    if (!name.starts_with(stem)) {
        return std::nullopt;
    }
    const auto suffix = kWaysBySuffix.find(name.substr(stem.size()));
    if (suffix == kWaysBySuffix.end()) {
        return std::nullopt;
    }
    return pattern.way ? pattern.way : suffix->second;
}

std::optional<TextMatchKind> header_text_way(const std::string& name, const Pattern& pattern) {
    for (const char* const stem : {"req.hdr", "req.fhdr", "hdr"}) {
        if (const auto way = text_way(name, stem, pattern)) {
            return way;
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

/// The name in "name" or "name,occurrence"; only the first and the last occurrence pass.
tl::expected<std::string, ConditionRefusal> read_header_name(const std::string& argument) {
    std::string name = argument;
    if (const auto comma = name.find(','); comma != std::string::npos) {
        const std::string occurrence = name.substr(comma + 1);
        if (occurrence != "1" && occurrence != "-1") {
            return tl::unexpected(
                ConditionRefusal{"one occurrence of a header can't be told apart"});
        }
        name.resize(comma);
    }
    if (!is_header_name(name)) {
        return tl::unexpected(ConditionRefusal{fmt::format("'{}' is no header's name", name)});
    }
    return name;
}

TranslatedMatch match_host(TextMatchKind way, const Pattern& pattern, bool any_case) {
    std::vector<std::string> hosts;
    hosts.reserve(pattern.values.size());
    for (const std::string& value : pattern.values) {
        hosts.push_back(to_lower(value));
    }
    const Match match{HostIs{{way, hosts, false}}};
    if (any_case) {
        return TranslatedMatch{match};
    }
    return {match, Verdict::changed, "hosts are compared in any case"};
}

/// Compares the values of the header field `name`, which is in lower case.
TranslatedCondition translate_header_text(const std::string& name, const Fetch& fetch,
                                          const Pattern& pattern) {
    const std::optional<TextMatchKind> way = header_text_way(fetch.name, pattern);
    if (!way) {
        return refuse_condition(fmt::format("{} has no equal here", fetch.name));
    }
    if (pattern.values.empty()) {
        return refuse_condition("a value is missing");
    }
    bool any_case = pattern.any_case;
    bool without_port = false;
    for (const std::string& converter : fetch.converters) {
        if (converter == "lower") {
            any_case = true;
        } else if (name == "host" && (converter == "host_only" || converter == "field(1,:)")) {
            without_port = true;
        } else {
            return refuse_condition(fmt::format("the converter {} has no equal here", converter));
        }
    }
    if (without_port) {
        return match_host(*way, pattern, any_case);
    }
    return TranslatedMatch{Match{HeaderIs{name, {*way, pattern.values, any_case}}}};
}

TranslatedCondition translate_header(const Fetch& fetch, const Pattern& pattern) {
    const bool counts = fetch.name.ends_with("_cnt");
    const std::vector<std::string> over_zero{"gt", "0"};
    const std::vector<std::string> at_least_one{"ge", "1"};
    if (counts && pattern.values != over_zero && pattern.values != at_least_one) {
        return refuse_condition("headers are counted for 'gt 0' alone");
    }
    const auto given_name = read_header_name(fetch.argument);
    if (!given_name) {
        return tl::unexpected(given_name.error());
    }
    const std::string name = to_lower(*given_name);
    if (counts || pattern.found) {
        return TranslatedMatch{Match{HeaderIs{name, {TextMatchKind::present, {}, false}}}};
    }
    return translate_header_text(name, fetch, pattern);
}

TranslatedCondition translate_source(const Pattern& pattern) {
    SourceIn source;
    for (const std::string& value : pattern.values) {
        const auto network = routing::parse_network(value);
        if (!network) {
            return refuse_condition(fmt::format("'{}' is no network", value));
        }
        source.networks.push_back(*network);
    }
    return TranslatedMatch{Match{source}};
}

/// The fetches that need values and take no argument.
TranslatedCondition translate_values(const std::string& name, const Pattern& pattern,
                                     bool any_case) {
    if (pattern.values.empty()) {
        return refuse_condition("a value is missing");
    }
    if (name == "method") {
        return TranslatedMatch{Match{MethodIs{pattern.values}}};
    }
    if (name == "src") {
        return translate_source(pattern);
    }
    if (name == "path_dir" && !pattern.way) {
        return translate_directories(pattern, any_case);
    }
    if (const auto way = text_way(name, "path", pattern)) {
        return TranslatedMatch{Match{PathIs{{*way, pattern.values, any_case}}}};
    }
    return refuse_condition(fmt::format("{} has no equal here", name));
}

bool reads_header(const std::string& name) {
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
    if (!pattern.refused.empty()) {
        return refuse_condition(pattern.refused);
    }
    if (reads_header(fetch.name)) {
        return translate_header(fetch, pattern);
    }
    for (const std::string& converter : fetch.converters) {
        if (converter != "lower") {
            return refuse_condition(fmt::format("the converter {} has no equal here", converter));
        }
    }
    const bool any_case = pattern.any_case || !fetch.converters.empty();
    if (fetch.name == "always_true") {
        return TranslatedMatch{Match{AllOf{}}};
    }
    if (fetch.name == "always_false") {
        return TranslatedMatch{Match{AnyOf{}}};
    }
    if (fetch.name == "nbsrv") {
        return translate_nbsrv(fetch, pattern, scope);
    }
    return translate_values(fetch.name, pattern, any_case);
}

}  // namespace micaroad::haproxy
