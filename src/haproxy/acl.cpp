#include "haproxy/acl.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "haproxy/units.hpp"
#include "routing/match.hpp"

namespace micaroad::haproxy {
namespace {

using namespace routing;

Translated refused(std::string says) {
    return {std::nullopt, Verdict::refused, std::move(says)};
}

const std::map<std::string, TextWay> kEndings{{"", TextWay::exact},
                                              {"_str", TextWay::exact},
                                              {"_beg", TextWay::prefix},
                                              {"_end", TextWay::suffix},
                                              {"_sub", TextWay::contains}};

// What the manual lists as always defined.
std::optional<Match> predefined(const std::string& name) {
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
        return Match{SourceIn{{*network_of("127.0.0.0/8"), *network_of("::1")}}};
    }
    if (name == "HTTP_URL_SLASH") {
        return Match{PathIs{{TextWay::prefix, {"/"}, false}}};
    }
    if (const auto at = kMethods.find(name); at != kMethods.end()) {
        return Match{MethodIs{at->second}};
    }
    return std::nullopt;
}

// `path_beg,lower`: the fetch with its argument, and its converters.
struct Fetch {
    std::string name, argument;
    std::vector<std::string> converters;
    bool closed = true;
};
Fetch fetch_of(const std::string& word) {
    Fetch fetch;
    std::vector<std::string> parts{""};
    int depth = 0;
    for (const char c : word) {
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        c == ',' && depth == 0 ? (void)parts.emplace_back() : (void)(parts.back() += c);
    }
    fetch.closed = depth == 0;
    fetch.converters.assign(parts.begin() + 1, parts.end());
    const auto open = parts[0].find('(');
    fetch.name = parts[0].substr(0, open);
    if (open != std::string::npos && parts[0].ends_with(')')) {
        fetch.argument = parts[0].substr(open + 1, parts[0].size() - open - 2);
    }
    return fetch;
}

struct Flags {
    bool any_case = false, found = false;
    std::optional<TextWay> way;
    std::string refused;
    std::vector<std::string> values;
};
Flags flags_of(const std::vector<Word>& words, std::size_t from, std::size_t to) {
    Flags flags;
    std::size_t at = from;
    for (; at < to && words[at].text.starts_with('-') && words[at].text.size() > 1; ++at) {
        const std::string& word = words[at].text;
        if (word == "--") {
            ++at;
            break;
        }
        if (word == "-i") {
            flags.any_case = true;
        } else if (word == "-n" || word == "-M") {
        } else if (word == "-u" && at + 1 < to) {
            ++at;
        } else if (word == "-f") {
            flags.refused = "values from a file are not read: put them in the line";
            ++at;
        } else if (word == "-m" && at + 1 < to) {
            const std::string& way = words[++at].text;
            const auto known = kEndings.find("_" + way);
            if (way == "found") {
                flags.found = true;
            } else if (known != kEndings.end()) {
                flags.way = known->second;
            } else if (way != "ip" && way != "int" && way != "bool") {
                flags.refused = fmt::format("matching by -m {} has no equal here", way);
            }
        } else {
            break;  // a value with a dash
        }
    }
    for (; at < to; ++at) {
        flags.values.push_back(words[at].text);
    }
    return flags;
}

// "lt 2", "ge 1", "3", "1:4": one range of whole numbers.
Translated range_of(const std::vector<std::string>& values, const std::string& pool) {
    UsableServers usable{pool};
    const auto number = [](const std::string& text) { return number_of(text, 0, 1'000'000); };
    static const std::set<std::string> kSigns{"eq", "ge", "gt", "le", "lt"};
    if (values.empty()) {
        return refused("a number is missing");
    }
    const bool sign = kSigns.contains(values[0]);
    if (values.size() != (sign ? 2 : 1)) {
        return refused("one number or range is read here");
    }
    const std::string& text = values.back();
    const auto colon = text.find(':');
    if (colon != std::string::npos && !sign) {
        const auto low = colon == 0 ? Or<std::int64_t>{0, ""} : number(text.substr(0, colon));
        const auto high = colon + 1 == text.size() ? Or<std::int64_t>{1'000'000, ""}
                                                   : number(text.substr(colon + 1));
        if (!low || !high) {
            return refused(low ? high.wrong : low.wrong);
        }
        usable.least = static_cast<int>(*low), usable.most = static_cast<int>(*high);
        return {Match{usable}, Verdict::translated, ""};
    }
    const auto value = number(text);
    if (!value) {
        return refused(value.wrong);
    }
    const int n = static_cast<int>(*value);
    const std::string& how = sign ? values[0] : "eq";
    if (how == "eq" || how == "ge") {
        usable.least = n;
    }
    if (how == "eq" || how == "le") {
        usable.most = n;
    }
    if (how == "gt") {
        usable.least = n + 1;
    }
    if (how == "lt") {
        usable.most = n - 1;
    }
    if (how == "lt" && n == 0) {
        return {Match{AnyOf{}}, Verdict::translated, "never holds"};
    }
    return {Match{usable}, Verdict::translated, ""};
}

// `/img/` lies in a path as a whole directory.
Match directory_of(std::string value) {
    while (value.starts_with('/')) {
        value.erase(0, 1);
    }
    while (value.ends_with('/')) {
        value.pop_back();
    }
    return {AnyOf{{Match{PathIs{{TextWay::contains, {"/" + value + "/"}, false}}},
                   Match{PathIs{{TextWay::suffix, {"/" + value}, false}}}}}};
}

// The way that the fetch's ending or -m asks for; absent: another.
std::optional<TextWay> way_of(const std::string& name, const std::string& stem,
                              const Flags& flags) {
    if (!name.starts_with(stem)) {
        return std::nullopt;
    }
    const auto ending = kEndings.find(name.substr(stem.size()));
    if (ending == kEndings.end()) {
        return std::nullopt;
    }
    return flags.way ? flags.way : ending->second;
}

Translated header_of(const Fetch& fetch, Flags flags) {
    if (fetch.name.ends_with("_cnt")) {
        if (flags.values != std::vector<std::string>{"gt", "0"} &&
            flags.values != std::vector<std::string>{"ge", "1"}) {
            return refused("headers are counted for 'gt 0' alone");
        }
        flags.found = true;
    }
    std::string name = fetch.argument;
    if (const auto comma = name.find(','); comma != std::string::npos) {
        if (name.substr(comma + 1) != "1" && name.substr(comma + 1) != "-1") {
            return refused("one occurrence of a header can't be told apart");
        }
        name.resize(comma);
    }
    const bool sound = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
    if (!sound) {
        return refused(fmt::format("'{}' is no header's name", name));
    }
    if (flags.found) {
        return {Match{HeaderIs{lower(name), {TextWay::present, {}, false}}}, Verdict::translated,
                ""};
    }
    std::optional<TextWay> way;
    for (const char* stem : {"req.hdr", "req.fhdr", "hdr"}) {
        if (!way) {
            way = way_of(fetch.name, stem, flags);
        }
    }
    if (!way) {
        return refused(fmt::format("{} has no equal here", fetch.name));
    }
    if (flags.values.empty()) {
        return refused("a value is missing");
    }
    bool host_alone = false;
    for (const std::string& converter : fetch.converters) {
        if (converter == "lower") {
            flags.any_case = true;
        } else if (lower(name) == "host" &&
                   (converter == "host_only" || converter == "field(1,:)")) {
            host_alone = true;
        } else {
            return refused(fmt::format("the converter {} has no equal here", converter));
        }
    }
    if (host_alone) {
        std::vector<std::string> values;
        for (const std::string& value : flags.values) {
            values.push_back(lower(value));
        }
        return {Match{HostIs{{*way, values, false}}},
                flags.any_case ? Verdict::translated : Verdict::changed,
                flags.any_case ? "" : "hosts are compared in any case"};
    }
    return {Match{HeaderIs{lower(name), {*way, flags.values, flags.any_case}}}, Verdict::translated,
            ""};
}

}  // namespace

Translated expression_of(const std::vector<Word>& words, std::size_t from, std::size_t to,
                         const Scope& scope) {
    if (from >= to) {
        return refused("an expression is missing");
    }
    const Fetch fetch = fetch_of(words[from].text);
    const Flags flags = flags_of(words, from + 1, to);
    if (!fetch.closed) {
        return refused("a ) is missing");
    }
    if (!flags.refused.empty()) {
        return refused(flags.refused);
    }
    const std::string& name = fetch.name;
    if (name.starts_with("hdr") || name.starts_with("req.hdr") || name.starts_with("req.fhdr")) {
        return header_of(fetch, flags);
    }
    bool any_case = flags.any_case;
    for (const std::string& converter : fetch.converters) {
        if (converter != "lower") {
            return refused(fmt::format("the converter {} has no equal here", converter));
        }
        any_case = true;
    }
    if (name == "always_true") {
        return {Match{AllOf{}}, Verdict::translated, ""};
    }
    if (name == "always_false") {
        return {Match{AnyOf{}}, Verdict::translated, ""};
    }
    if (name == "nbsrv") {
        const std::string& pool = fetch.argument.empty() ? scope.own : fetch.argument;
        if (!scope.pools.contains(pool)) {
            return refused(fmt::format("there is no backend {}", pool));
        }
        return range_of(flags.values, pool);
    }
    if (flags.values.empty()) {
        return refused("a value is missing");
    }
    if (name == "method") {
        return {Match{MethodIs{flags.values}}, Verdict::translated, ""};
    }
    if (name == "src") {
        SourceIn source;
        for (const std::string& value : flags.values) {
            const auto network = network_of(value);
            if (!network) {
                return refused(fmt::format("'{}' is no network", value));
            }
            source.networks.push_back(*network);
        }
        return {Match{source}, Verdict::translated, ""};
    }
    if (name == "path_dir" && !flags.way) {
        AnyOf any;
        for (const std::string& value : flags.values) {
            any.of.push_back(directory_of(any_case ? lower(value) : value));
        }
        if (any_case) {
            return refused("directories are matched in their case alone");
        }
        return {Match{any}, Verdict::translated, ""};
    }
    if (const auto way = way_of(name, "path", flags)) {
        return {Match{PathIs{{*way, flags.values, any_case}}}, Verdict::translated, ""};
    }
    return refused(fmt::format("{} has no equal here", name));
}

Acls::Acls(const std::vector<const Statement*>& declarations, Scope scope, Findings& findings)
    : scope_(std::move(scope)), findings_(findings) {
    for (const Statement* statement : declarations) {
        const std::string& name = statement->word(1);
        order_.try_emplace(name, statement->number);
        Named& named = named_[name];
        if (named.first_line == 0) {
            named.first_line = statement->line.number, named.first_file = statement->line.file;
        }
        named.lines.push_back(statement->number);
        Translated what = name.empty()
                              ? refused("its name is missing")
                              : expression_of(statement->line.words, 2, statement->size(), scope_);
        findings_.say(statement->number, what.verdict, what.says);
        findings_.set_aside(statement->number, "no rule here goes by it");
        if (what.match) {
            named.of.push_back(std::move(*what.match));
        } else if (named.refused.empty()) {
            named.refused =
                fmt::format("ACL {} of line {}: {}", name, statement->line.number, what.says);
        }
    }
}

Translated Acls::term(const Statement& statement, const std::string& name) {
    const auto at = named_.find(name);
    if (at == named_.end()) {
        if (const auto match = predefined(name)) {
            return {match, Verdict::translated, ""};
        }
        return refused(fmt::format("there is no ACL {}", name));
    }
    if (order_.at(name) > statement.number) {
        return refused(fmt::format("ACL {} is declared only on line {}, which the original refuses",
                                   name, at->second.first_line));
    }
    for (const std::size_t line : at->second.lines) {
        findings_.use(line);
    }
    if (!at->second.refused.empty()) {
        return refused(at->second.refused);
    }
    if (at->second.of.size() == 1) {
        return {at->second.of.front(), Verdict::translated, ""};
    }
    return {Match{AnyOf{at->second.of}}, Verdict::translated, ""};
}

Translated Acls::condition(const Statement& statement, std::size_t from) {
    const std::string& lead = statement.word(from);
    if (from >= statement.size()) {
        return {Match{AllOf{}}, Verdict::translated, ""};
    }
    if (lead != "if" && lead != "unless") {
        return refused(fmt::format("'{}' is not understood: if or unless", lead));
    }
    if (from + 1 >= statement.size()) {
        return refused("a condition is missing");
    }
    Matches any, all;
    Verdict verdict = Verdict::translated;
    std::string says;
    const auto& words = statement.line.words;
    bool expects = true;
    const auto close = [&] {
        any.push_back(all.size() == 1 ? all.front() : Match{AllOf{all}});
        all.clear();
    };
    for (std::size_t at = from + 1; at < words.size(); ++at) {
        std::string word = words[at].text;
        if (word == "or" || word == "||") {
            if (expects) {
                return refused("a term is missing before 'or'");
            }
            close(), expects = true;
            continue;
        }
        bool negated = false;
        while (word.starts_with('!')) {
            negated = !negated, word.erase(0, 1);
        }
        if (word.empty() && at + 1 < words.size()) {
            word = words[++at].text;  // "! { ... }"
        }
        Translated what;
        if (word == "{") {
            const auto end = std::find_if(words.begin() + static_cast<std::ptrdiff_t>(at),
                                          words.end(), [](const Word& w) { return w.text == "}"; });
            if (end == words.end()) {
                return refused("a } is missing");
            }
            const auto to = static_cast<std::size_t>(end - words.begin());
            what = expression_of(words, at + 1, to, scope_), at = to;
        } else {
            what = term(statement, word);
        }
        if (!what.match) {
            return what;
        }
        verdict = std::max(verdict, what.verdict);
        if (!what.says.empty()) {
            says = what.says;
        }
        all.push_back(negated ? Match{Not{{*what.match}}} : *what.match);
        expects = false;
    }
    if (expects) {
        return refused("a term is missing at the end");
    }
    close();
    Match match = any.size() == 1 ? any.front() : Match{AnyOf{any}};
    if (lead == "unless") {
        match = Match{Not{{match}}};
    }
    return {match, verdict, says};
}

}  // namespace micaroad::haproxy
