#include "haproxy/tree.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace micaroad::haproxy {
namespace {

const std::set<std::string> kSections{"global",      "defaults", "frontend",    "backend",
                                      "listen",      "peers",    "resolvers",   "userlist",
                                      "program",     "cache",    "ring",        "mailers",
                                      "http-errors", "fcgi-app", "log-forward", "crt-store"};
// Those whose header needs a name.
const std::set<std::string> kNamed{"frontend",    "backend",  "listen",     "peers", "resolvers",
                                   "userlist",    "program",  "cache",      "ring",  "mailers",
                                   "http-errors", "fcgi-app", "log-forward"};

bool sound_name(const std::string& name) {
    return !name.empty() && name.size() <= 128 &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
           });
}

// Conditions: terms joined by && and ||, with ! and parentheses.
class Condition {
 public:
    Condition(const std::string& text, const Environment& environment)
        : text_(text), environment_(environment) {}

    std::optional<bool> value(std::string& why) {
        const auto value = any();
        skip();
        if (why_.empty() && at_ != text_.size()) {
            why_ = fmt::format("'{}' is not understood", text_.substr(at_));
        }
        why = why_;
        return why_.empty() ? value : std::nullopt;
    }

 private:
    void skip() {
        while (at_ < text_.size() && text_[at_] == ' ') {
            ++at_;
        }
    }
    bool take(std::string_view word) {
        skip();
        if (text_.compare(at_, word.size(), word) != 0) {
            return false;
        }
        at_ += word.size();
        return true;
    }
    std::optional<bool> any() {
        auto value = all();
        while (why_.empty() && take("||")) {
            const auto next = all();
            value = value && next ? std::optional(*value || *next) : std::nullopt;
        }
        return value;
    }
    std::optional<bool> all() {
        auto value = one();
        while (why_.empty() && take("&&")) {
            const auto next = one();
            value = value && next ? std::optional(*value && *next) : std::nullopt;
        }
        return value;
    }
    std::optional<bool> one() {
        if (++depth_ > 100) {
            return unknown("it is nested too deep");
        }
        const auto value = one_of();
        --depth_;
        return value;
    }
    std::optional<bool> one_of() {
        if (take("!")) {
            const auto value = one();
            return value ? std::optional(!*value) : std::nullopt;
        }
        if (take("(")) {
            const auto value = any();
            if (why_.empty() && !take(")")) {
                return unknown("a ) is missing");
            }
            return value;
        }
        skip();
        const std::size_t from = at_;
        while (at_ < text_.size() &&
               (std::isalnum(static_cast<unsigned char>(text_[at_])) || text_[at_] == '_')) {
            ++at_;
        }
        const std::string word = text_.substr(from, at_ - from);
        if (!take("(")) {
            int number = 0;
            const auto [end, wrong] =
                std::from_chars(word.data(), word.data() + word.size(), number);
            if (word.empty()) {
                return at_ == text_.size() ? std::optional(false) : unknown("a term is missing");
            }
            if (wrong != std::errc{} || end != word.data() + word.size()) {
                return unknown(fmt::format("'{}' is not known", word));
            }
            return number != 0;
        }
        const std::size_t close = text_.find(')', at_);
        if (close == std::string::npos) {
            return unknown("a ) is missing");
        }
        std::vector<std::string> arguments{""};
        for (; at_ < close; ++at_) {
            text_[at_] == ',' ? arguments.emplace_back() : arguments.back() += text_[at_];
        }
        ++at_;
        return call(word, arguments);
    }
    std::optional<bool> call(const std::string& word, const std::vector<std::string>& with) {
        const auto second = [&with] { return with.size() > 1 ? with[1] : std::string(); };
        if (word == "defined") {
            return environment_.contains(with[0]);
        }
        if (word == "streq") {
            return with[0] == second();
        }
        if (word == "strneq") {
            return with[0] != second();
        }
        if (word == "strstr") {
            return with[0].find(second()) != std::string::npos;
        }
        if (word == "version_atleast") {
            return at_least(with[0]);
        }
        if (word == "version_before") {
            return !at_least(with[0]);
        }
        return unknown(fmt::format("{}() asks for what only the original knows", word));
    }
    // Against the version whose manual is followed; builds and pre-releases count as the version
    // itself.
    static bool at_least(const std::string& version) {
        const auto parts = [](const std::string& text) {
            int major = 0, minor = 0;
            const char* end = text.data() + text.size();
            const auto first = std::from_chars(text.data(), end, major);
            if (first.ptr != end && *first.ptr == '.') {
                std::from_chars(first.ptr + 1, end, minor);
            }
            return std::pair(major, minor);
        };
        return parts(kVersion) >= parts(version);
    }
    std::optional<bool> unknown(std::string why) {
        if (why_.empty()) {
            why_ = std::move(why);
        }
        return std::nullopt;
    }

    const std::string& text_;
    const Environment& environment_;
    std::size_t at_ = 0;
    int depth_ = 0;
    std::string why_;
};

}  // namespace

std::string Trouble::text() const {
    return fmt::format("{}:{}:{}: {}", file, line, std::max(column, 1), says);
}

std::optional<bool> condition_of(const std::string& text, const Environment& environment,
                                 std::string& why) {
    return Condition(text, environment).value(why);
}

void TreeBuilder::add(const std::string& file, std::string_view text) {
    Lexer lexer(file, environment_, [this](Line&& line) { take(std::move(line)); });
    lexer.feed(text);
    lexer.finish();
    // A file ends what it has begun.
    for (const Line& open : opened_) {
        tree_.troubles.push_back({file, open.number, 1, ".if without its .endif"});
    }
    opened_.clear(), branches_.clear();
}

Tree TreeBuilder::finish() {
    return std::move(tree_);
}

bool TreeBuilder::macro(const Line& line, std::size_t number) {
    const std::string& word = line.word(0);
    auto& findings = tree_.findings;
    const auto trouble = [&](const char* says) {
        tree_.troubles.push_back({line.file, line.number, 1, says});
        findings.say(number, Verdict::refused, says);
    };
    std::string text, why;
    for (std::size_t i = 1; i < line.words.size(); ++i) {
        text += (i > 1 ? " " : "") + line.words[i].text;
    }
    const bool outer = branches_.empty() || branches_.back() == Branch::taken;
    const auto judge = [&] {
        const auto value = condition_of(text, environment_, why);
        if (!value) {
            findings.say(
                number, Verdict::refused,
                fmt::format("the condition can't be told here: {}; keep the branch that is meant",
                            why));
            return Branch::unknown;
        }
        findings.say(number, Verdict::translated,
                     *value ? "holds: its lines count" : "does not hold: its lines don't count");
        return *value ? Branch::taken : Branch::not_yet;
    };
    if (word == ".if") {
        opened_.push_back(line);
        if (outer) {
            return branches_.push_back(judge()), true;
        }
        branches_.push_back(Branch::over);
        findings.say(number, Verdict::no_effect, "in a branch that is not taken");
    } else if (word == ".elif" || word == ".else") {
        if (branches_.empty()) {
            return trouble("no .if is open"), true;
        }
        Branch& branch = branches_.back();
        if (branch == Branch::unknown) {
            findings.say(number, Verdict::refused, "of a condition that can't be told here");
        } else if (branch != Branch::not_yet) {
            branch = Branch::over;
            findings.say(number, Verdict::no_effect, "in a branch that is not taken");
        } else if (word == ".else") {
            branch = Branch::taken;
            findings.say(number, Verdict::translated, "its lines count");
        } else {
            branch = judge();
        }
    } else if (word == ".endif") {
        if (branches_.empty()) {
            return trouble("no .if is open"), true;
        }
        branches_.pop_back(), opened_.pop_back();
        findings.say(number, Verdict::translated, "");
    } else if (word == ".diag" || word == ".notice" || word == ".warning" || word == ".alert") {
        if (word == ".alert" && outer) {
            return trouble("the file itself stops here (.alert)"), true;
        }
        findings.say(number, Verdict::no_effect, "a message to whoever starts the original");
    } else {
        return false;
    }
    return true;
}

void TreeBuilder::set_environment(const Statement& statement) {
    const std::string& word = statement.word(0);
    const auto say = [&](Verdict verdict, const char* says) {
        tree_.findings.say(statement.number, verdict, says);
    };
    if (word == "setenv") {
        environment_[statement.word(1)] = statement.word(2);
    } else if (word == "presetenv") {
        environment_.emplace(statement.word(1), statement.word(2));
    } else if (word == "unsetenv") {
        for (std::size_t i = 1; i < statement.size(); ++i) {
            environment_.erase(statement.word(i));
        }
    } else {
        std::set<std::string> kept;
        for (std::size_t i = 1; i < statement.size(); ++i) {
            kept.insert(statement.word(i));
        }
        std::erase_if(environment_, [&kept](const auto& at) { return !kept.contains(at.first); });
    }
    say(Verdict::translated, "heeded in the quotes of the lines that follow");
}

void TreeBuilder::take(Line&& line) {
    if (line.words.empty() && line.trouble.empty()) {
        return;
    }
    if (tree_.troubles.size() >= kMostTroubles) {
        return;
    }
    const std::size_t number = tree_.findings.line(line, line.word(0));
    const auto say = [&](Verdict verdict, const std::string& says) {
        tree_.findings.say(number, verdict, says);
    };
    const auto trouble = [this, &say, file = line.file, at = line.number](int column,
                                                                          std::string says) {
        say(Verdict::refused, says);
        tree_.troubles.push_back({file, at, column, std::move(says)});
    };
    if (!line.trouble.empty()) {
        return trouble(line.trouble_column, line.trouble);
    }
    if (line.word(0).starts_with('.') && macro(line, number)) {
        return;
    }
    if (!branches_.empty() && branches_.back() != Branch::taken) {
        if (std::find(branches_.begin(), branches_.end(), Branch::unknown) != branches_.end()) {
            return say(Verdict::refused, "behind a condition that can't be told here");
        }
        return say(Verdict::no_effect, "in a branch that is not taken");
    }
    if (line.words.size() > kMostWords) {
        return trouble(
            line.words[kMostWords].column,
            fmt::format("over {} words in a line, which the original refuses", kMostWords));
    }
    const std::string kind = line.word(0);
    Statement statement{std::move(line), number, false};
    if (kSections.contains(kind)) {
        Section section{kind, statement.word(1), "", statement, {}};
        std::size_t at = 2;
        if (kind == "defaults" && section.name == "from") {
            section.name.clear(), at = 1;
        }
        if (statement.word(at) == "from") {
            section.from = statement.word(at + 1), at += 2;
        }
        const auto column = [&](std::size_t i) {
            return i < statement.size() ? statement.line.words[i].column : 1;
        };
        if (kNamed.contains(kind) && section.name.empty()) {
            trouble(1, fmt::format("{} without a name", kind));
        } else if (!section.name.empty() && kind != "global" && !sound_name(section.name)) {
            trouble(column(1), fmt::format("'{}' is no name: letters, digits and -_.:, 128 at most",
                                           section.name));
        } else if ((kind == "frontend" || kind == "listen" || kind == "backend") &&
                   at < statement.size()) {
            trouble(column(at),
                    fmt::format("'{}' is not known behind {}", statement.word(at), kind));
        }
        tree_.sections.push_back(std::move(section));
        return;
    }
    if (tree_.sections.empty()) {
        return trouble(1, fmt::format("'{}' before any section", kind));
    }
    Section& section = tree_.sections.back();
    if (section.kind == "global" &&
        (kind == "setenv" || kind == "presetenv" || kind == "unsetenv" || kind == "resetenv")) {
        return set_environment(statement);
    }
    if ((kind == "no" || kind == "default") && statement.size() > 1) {
        statement.no = kind == "no";
        statement.line.words.erase(statement.line.words.begin());
    }
    section.statements.push_back(std::move(statement));
}

}  // namespace micaroad::haproxy
