#include "haproxy/tree.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <compare>
#include <optional>
#include <set>
#include <utility>

namespace micaroad::haproxy {
namespace {

// Maximum length of a section's name.
constexpr std::size_t kMaxNameBytes = 128;

// Keywords that start a section.
const std::set<std::string> kSections{"global",      "defaults", "frontend",    "backend",
                                      "listen",      "peers",    "resolvers",   "userlist",
                                      "program",     "cache",    "ring",        "mailers",
                                      "http-errors", "fcgi-app", "log-forward", "crt-store"};
// Sections whose header needs a name.
const std::set<std::string> kNamedSections{
    "frontend", "backend", "listen",  "peers",       "resolvers", "userlist",   "program",
    "cache",    "ring",    "mailers", "http-errors", "fcgi-app",  "log-forward"};

bool is_valid_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameBytes &&
           std::all_of(name.begin(), name.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_' ||
                      character == '.' || character == ':';
           });
}

// An HAProxy release. Builds and pre-releases count as the release itself.
struct Version {
    int major_number = 0;
    int minor_number = 0;

    static Version of(std::string_view text) {
        Version version;
        const char* const begin = text.data();
        const char* const end = begin + text.size();
        const auto parsed = std::from_chars(begin, end, version.major_number);
        if (parsed.ptr != end && *parsed.ptr == '.') {
            std::from_chars(parsed.ptr + 1, end, version.minor_number);
        }
        return version;
    }
    [[nodiscard]] auto operator<=>(const Version&) const = default;
};

// Returns whether kVersion is this version or a later one.
bool version_is_at_least(std::string_view text) {
    return Version::of(kVersion) >= Version::of(text);
}

// A recursive descent parser for conditions: terms joined by && and ||, with ! and parentheses. The
// first error stops the parser; from then on, values are absent.
class ConditionParser {
 public:
    ConditionParser(std::string_view text, const Environment& environment)
        : text_(text), environment_(environment) {}

    ConditionResult parse() {
        const auto value = disjunction();
        skip_blanks();
        if (error_.empty() && position_ != text_.size()) {
            error_ = fmt::format("'{}' is not understood", text_.substr(position_));
        }
        if (!error_.empty()) {
            return tl::make_unexpected(ConditionError{error_});
        }
        return value.value_or(false);
    }

 private:
    static constexpr int kMaxNesting = 100;

    using Value = std::optional<bool>;

    void skip_blanks() {
        while (position_ < text_.size() && text_[position_] == ' ') {
            ++position_;
        }
    }

    // Skips the token if it comes next, and returns whether it did.
    bool consume(std::string_view token) {
        skip_blanks();
        if (!text_.substr(position_).starts_with(token)) {
            return false;
        }
        position_ += token.size();
        return true;
    }

    Value disjunction() {
        Value value = conjunction();
        while (error_.empty() && consume("||")) {
            const Value next = conjunction();
            value = value && next ? Value(*value || *next) : std::nullopt;
        }
        return value;
    }

    Value conjunction() {
        Value value = term();
        while (error_.empty() && consume("&&")) {
            const Value next = term();
            value = value && next ? Value(*value && *next) : std::nullopt;
        }
        return value;
    }

    Value term() {
        ++depth_;
        if (depth_ > kMaxNesting) {
            return fail("it is nested too deep");
        }
        const Value value = term_at_depth();
        --depth_;
        return value;
    }

    Value term_at_depth() {
        if (consume("!")) {
            const Value value = term();
            return value ? Value(!*value) : std::nullopt;
        }
        if (consume("(")) {
            const Value value = disjunction();
            if (error_.empty() && !consume(")")) {
                return fail("a ) is missing");
            }
            return value;
        }
        const std::string word = read_word();
        if (!consume("(")) {
            return number(word);
        }
        const std::size_t close = text_.find(')', position_);
        if (close == std::string_view::npos) {
            return fail("a ) is missing");
        }
        const auto arguments = split_arguments(text_.substr(position_, close - position_));
        position_ = close + 1;
        return call(word, arguments);
    }

    std::string read_word() {
        skip_blanks();
        const std::size_t start = position_;
        while (position_ < text_.size() && is_word_character(text_[position_])) {
            ++position_;
        }
        return std::string(text_.substr(start, position_ - start));
    }

    static bool is_word_character(char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_';
    }

    Value number(const std::string& word) {
        if (word.empty()) {
            return position_ == text_.size() ? Value(false) : fail("a term is missing");
        }
        int value = 0;
        const char* const end = word.data() + word.size();
        const auto parsed = std::from_chars(word.data(), end, value);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            return fail(fmt::format("'{}' is not known", word));
        }
        return value != 0;
    }

    // Returns at least one argument, which may be empty.
    static std::vector<std::string> split_arguments(std::string_view text) {
        std::vector<std::string> arguments{""};
        for (const char character : text) {
            if (character == ',') {
                arguments.emplace_back();
            } else {
                arguments.back() += character;
            }
        }
        return arguments;
    }

    Value call(const std::string& function, const std::vector<std::string>& arguments) {
        const std::string& first = arguments[0];
        const std::string second = arguments.size() > 1 ? arguments[1] : "";
        if (function == "defined") {
            return environment_.contains(first);
        }
        if (function == "streq") {
            return first == second;
        }
        if (function == "strneq") {
            return first != second;
        }
        if (function == "strstr") {
            return first.find(second) != std::string::npos;
        }
        if (function == "version_atleast") {
            return version_is_at_least(first);
        }
        if (function == "version_before") {
            return !version_is_at_least(first);
        }
        return fail(fmt::format("{}() depends on the HAProxy process", function));
    }

    // Keeps the first error only.
    Value fail(std::string message) {
        if (error_.empty()) {
            error_ = std::move(message);
        }
        return std::nullopt;
    }

    std::string_view text_;
    const Environment& environment_;
    std::size_t position_ = 0;
    int depth_ = 0;
    std::string error_;
};

bool is_message(const std::string& word) {
    return word == ".diag" || word == ".notice" || word == ".warning" || word == ".alert";
}

bool changes_environment(const std::string& word) {
    return word == "setenv" || word == "presetenv" || word == "unsetenv" || word == "resetenv";
}

// Returns the words after a macro's name, joined by single blanks.
std::string text_after_first_word(const Line& line) {
    std::string text;
    for (std::size_t index = 1; index < line.words.size(); ++index) {
        if (index > 1) {
            text += ' ';
        }
        text += line.words[index].text;
    }
    return text;
}

}  // namespace

std::string Fault::text() const {
    return fmt::format("{}:{}:{}: {}", file, line, std::max(column, 1), message);
}

ConditionResult evaluate_condition(std::string_view text, const Environment& environment) {
    return ConditionParser(text, environment).parse();
}

void TreeBuilder::add(const std::string& file, std::string_view text) {
    Lexer lexer(file, environment_, [this](Line&& line) { add_line(std::move(line)); });
    lexer.feed(text);
    lexer.finish();
    // An .if must be closed in the file that opens it.
    for (const Line& open : open_ifs_) {
        tree_.faults.push_back({file, open.number, 1, ".if without its .endif"});
    }
    open_ifs_.clear();
    branches_.clear();
}

Tree TreeBuilder::finish() {
    return std::move(tree_);
}

void TreeBuilder::fail(const Location& location, int column, std::string message) {
    tree_.findings.add_verdict(location.number, Verdict::refused, message);
    tree_.faults.push_back({location.file, location.line, column, std::move(message)});
}

bool TreeBuilder::in_active_branch() const {
    return branches_.empty() || branches_.back() == Branch::active;
}

TreeBuilder::Branch TreeBuilder::branch_for_condition(const Line& line, std::size_t number) {
    const auto value = evaluate_condition(text_after_first_word(line), environment_);
    if (!value) {
        tree_.findings.add_verdict(
            number, Verdict::refused,
            fmt::format(
                "the condition can't be evaluated here: {}; keep only the branch that applies",
                value.error().message));
        return Branch::unknown;
    }
    tree_.findings.add_verdict(number, Verdict::translated,
                               *value ? "the condition holds: its lines are read"
                                      : "the condition does not hold: its lines are skipped");
    return *value ? Branch::active : Branch::pending;
}

void TreeBuilder::open_branch(const Line& line, std::size_t number) {
    const bool is_active = in_active_branch();
    open_ifs_.push_back(line);
    if (is_active) {
        branches_.push_back(branch_for_condition(line, number));
        return;
    }
    branches_.push_back(Branch::done);
    tree_.findings.add_verdict(number, Verdict::no_effect, "in a branch that is not taken");
}

void TreeBuilder::switch_branch(const Line& line, std::size_t number) {
    Branch& branch = branches_.back();
    Findings& findings = tree_.findings;
    if (branch == Branch::unknown) {
        findings.add_verdict(number, Verdict::refused,
                             "belongs to a condition that can't be evaluated here");
    } else if (branch != Branch::pending) {
        branch = Branch::done;
        findings.add_verdict(number, Verdict::no_effect, "in a branch that is not taken");
    } else if (line.word(0) == ".else") {
        branch = Branch::active;
        findings.add_verdict(number, Verdict::translated, "its lines are read");
    } else {
        branch = branch_for_condition(line, number);
    }
}

bool TreeBuilder::handle_macro(const Line& line, std::size_t number) {
    const std::string& word = line.word(0);
    const Location location{line.file, line.number, number};
    if (word == ".if") {
        open_branch(line, number);
        return true;
    }
    if (word == ".elif" || word == ".else" || word == ".endif") {
        if (branches_.empty()) {
            fail(location, 1, "no .if is open");
        } else if (word == ".endif") {
            branches_.pop_back();
            open_ifs_.pop_back();
            tree_.findings.add_verdict(number, Verdict::translated, "");
        } else {
            switch_branch(line, number);
        }
        return true;
    }
    if (!is_message(word)) {
        return false;
    }
    if (word == ".alert" && in_active_branch()) {
        fail(location, 1, ".alert ends the configuration here");
    } else {
        tree_.findings.add_verdict(number, Verdict::no_effect,
                                   "a message that HAProxy prints when it starts");
    }
    return true;
}

void TreeBuilder::set_environment(const Statement& statement) {
    const std::string& word = statement.word(0);
    if (word == "setenv") {
        environment_[statement.word(1)] = statement.word(2);
    } else if (word == "presetenv") {
        environment_.emplace(statement.word(1), statement.word(2));
    } else if (word == "unsetenv") {
        for (std::size_t index = 1; index < statement.size(); ++index) {
            environment_.erase(statement.word(index));
        }
    } else {
        std::set<std::string> kept;
        for (std::size_t index = 1; index < statement.size(); ++index) {
            kept.insert(statement.word(index));
        }
        std::erase_if(environment_,
                      [&kept](const auto& variable) { return !kept.contains(variable.first); });
    }
    tree_.findings.add_verdict(statement.number, Verdict::translated,
                               "expanded in quoted words of the following lines");
}

void TreeBuilder::add_line(Line&& line) {
    if (line.words.empty() && line.error.empty()) {
        return;
    }
    if (tree_.faults.size() >= kMaxFaults) {
        return;
    }
    const std::size_t number = tree_.findings.add_line(line, line.word(0));
    const Location location{line.file, line.number, number};
    if (!line.error.empty()) {
        fail(location, line.error_column, line.error);
        return;
    }
    if (line.word(0).starts_with('.') && handle_macro(line, number)) {
        return;
    }
    if (!in_active_branch()) {
        skip_line(number);
        return;
    }
    if (line.words.size() > kMaxLineWords) {
        fail(location, line.words[kMaxLineWords].column,
             fmt::format("over {} words in a line, which HAProxy refuses", kMaxLineWords));
        return;
    }
    Statement statement{std::move(line), number, false};
    if (kSections.contains(statement.word(0))) {
        begin_section(statement);
    } else {
        add_statement(std::move(statement));
    }
}

void TreeBuilder::skip_line(std::size_t number) {
    if (std::find(branches_.begin(), branches_.end(), Branch::unknown) != branches_.end()) {
        tree_.findings.add_verdict(number, Verdict::refused,
                                   "depends on a condition that can't be evaluated here");
    } else {
        tree_.findings.add_verdict(number, Verdict::no_effect, "in a branch that is not taken");
    }
}

void TreeBuilder::begin_section(const Statement& statement) {
    const std::string& kind = statement.word(0);
    Section section{kind, statement.word(1), "", statement, {}};
    std::size_t next = 2;  // the first unread word
    if (kind == "defaults" && section.name == "from") {
        section.name.clear();
        next = 1;
    }
    if (statement.word(next) == "from") {
        section.from = statement.word(next + 1);
        next += 2;
    }
    check_header(section, next);
    tree_.sections.push_back(std::move(section));
}

void TreeBuilder::check_header(const Section& section, std::size_t next) {
    const Statement& header = section.header;
    const std::string& kind = section.kind;
    const Location location{header.line.file, header.line.number, header.number};
    const auto column = [&header](std::size_t index) {
        return index < header.size() ? header.line.words[index].column : 1;
    };
    const bool takes_no_more_words = kind == "frontend" || kind == "listen" || kind == "backend";
    if (kNamedSections.contains(kind) && section.name.empty()) {
        fail(location, 1, fmt::format("{} without a name", kind));
    } else if (!section.name.empty() && kind != "global" && !is_valid_name(section.name)) {
        fail(location, column(1),
             fmt::format("'{}' is not a valid name: letters, digits and -_.:, 128 at most",
                         section.name));
    } else if (takes_no_more_words && next < header.size()) {
        fail(location, column(next),
             fmt::format("'{}' is not known after {}", header.word(next), kind));
    }
}

void TreeBuilder::add_statement(Statement statement) {
    const std::string kind = statement.word(0);
    if (tree_.sections.empty()) {
        const Location location{statement.line.file, statement.line.number, statement.number};
        fail(location, 1, fmt::format("'{}' before any section", kind));
        return;
    }
    Section& section = tree_.sections.back();
    if (section.kind == "global" && changes_environment(kind)) {
        set_environment(statement);
        return;
    }
    if ((kind == "no" || kind == "default") && statement.size() > 1) {
        statement.no = kind == "no";
        statement.line.words.erase(statement.line.words.begin());
    }
    section.statements.push_back(std::move(statement));
}

}  // namespace micaroad::haproxy
