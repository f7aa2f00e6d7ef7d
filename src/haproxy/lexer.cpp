#include "haproxy/lexer.hpp"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace micaroad::haproxy {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

// Characters that a backslash escapes outside quotes and within weak quotes.
constexpr std::string_view kEscapable = " #\\\"'";

bool is_blank(char character) {
    return character == ' ' || character == '\t' || character == '\v' || character == '\f';
}

bool is_name_start(char character) {
    const bool is_lower = character >= 'a' && character <= 'z';
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_lower || is_upper || character == '_' || character == '.';
}

bool is_name_character(char character) {
    return is_name_start(character) || (character >= '0' && character <= '9');
}

std::optional<int> hex_digit(char character) {
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return std::nullopt;
}

// Returns the control character for the letter of an escape sequence.
std::optional<char> control_character(char letter) {
    switch (letter) {
        case 'n':
            return '\n';
        case 'r':
            return '\r';
        case 't':
            return '\t';
        default:
            return std::nullopt;
    }
}

// Splits one line (with its continuation lines) into words. The state of quoting:
//
//   bare --"--> weak --"--> bare        bare --'--> strong --'--> bare
//
// Each step reads at `position_` and moves it past what was read. After an error, the line keeps
// the words that were complete by then.
class WordSplitter {
 public:
    using Lookup = std::function<std::string(std::string_view name)>;

    WordSplitter(std::string_view text, Lookup lookup, Line& line)
        : text_(text), lookup_(std::move(lookup)), line_(line) {}

    // Returns false if the line ends in a backslash and continues on the next one. An error is
    // stored in the line, which then counts as complete.
    [[nodiscard]] bool split() {
        Step step = Step::proceed;
        while (step == Step::proceed && position_ < text_.size()) {
            step = read_next();
        }
        if (step == Step::continued) {
            return false;
        }
        if (step == Step::failed) {
            return true;
        }
        if (quote_ != Quote::none) {
            fail(column_ > 0 ? static_cast<std::size_t>(column_ - 1) : 0, "unterminated quote");
            return true;
        }
        end_word();
        return true;
    }

 private:
    enum class Quote { none, weak, strong };
    enum class Step { proceed, end_of_line, continued, failed };

    struct Variable {
        std::string value;
        bool splits = false;  // "[*]": the value is split into words at blanks
    };

    [[nodiscard]] char peek(std::size_t offset = 0) const {
        const std::size_t index = position_ + offset;
        return index < text_.size() ? text_[index] : '\0';
    }

    Step read_next() {
        const char character = text_[position_];
        if (character == '\0') {
            return fail(position_, "a NUL byte");
        }
        if (character == '\n') {  // added by Lexer::finish()
            return Step::end_of_line;
        }
        if (quote_ == Quote::strong) {
            return read_in_strong_quotes(character);
        }
        if (character == '\\') {
            return read_escape();
        }
        if (character == '"') {
            begin_word(position_);
            quote_ = quote_ == Quote::weak ? Quote::none : Quote::weak;
            ++position_;
            return Step::proceed;
        }
        if (quote_ == Quote::none) {
            return read_bare(character);
        }
        if (character == '$') {
            return read_variable();
        }
        word_ += character;
        ++position_;
        return Step::proceed;
    }

    Step read_in_strong_quotes(char character) {
        if (character == '\'') {
            quote_ = Quote::none;
        } else {
            word_ += character;
        }
        ++position_;
        return Step::proceed;
    }

    Step read_bare(char character) {
        if (character == '#') {
            return Step::end_of_line;
        }
        if (is_blank(character) || character == '\r') {
            end_word();
        } else {
            begin_word(position_);
            if (character == '\'') {
                quote_ = Quote::strong;
            } else {
                word_ += character;
            }
        }
        ++position_;
        return Step::proceed;
    }

    Step read_escape() {
        if (position_ + 1 == text_.size()) {
            return Step::continued;
        }
        const char next = text_[position_ + 1];
        begin_word(position_);
        if (next == '\n') {
            return fail(position_, "a backslash at the end of the file");
        }
        if (next == 'x') {
            return read_hex_escape();
        }
        const bool is_escapable = kEscapable.find(next) != std::string_view::npos ||
                                  (quote_ == Quote::weak && next == '$');
        if (const auto control = control_character(next)) {
            word_ += *control;
            position_ += 2;
        } else if (is_escapable) {
            word_ += next;
            position_ += 2;
        } else {
            word_ += '\\';  // the backslash is literal
            ++position_;
        }
        return Step::proceed;
    }

    Step read_hex_escape() {
        const auto high = hex_digit(peek(2));
        const auto low = hex_digit(peek(3));
        if (!high || !low) {
            return fail(position_, "\\x without two hexadecimal digits");
        }
        const int code = *high * 16 + *low;
        if (code == 0) {
            return fail(position_, "a NUL byte");
        }
        word_ += static_cast<char>(code);
        position_ += 4;
        return Step::proceed;
    }

    // Expands $NAME, ${NAME}, ${NAME-default}, ${NAME[*]} or ${NAME[*]-default}.
    Step read_variable() {
        const std::size_t start = position_;
        ++position_;
        const bool in_braces = peek() == '{';
        if (in_braces) {
            ++position_;
        }
        const std::string_view name = read_name();
        if (name.empty()) {
            return fail(start, "$ without a variable's name");
        }
        Variable variable{lookup_(name)};
        if (in_braces && !read_rest_of_braces(variable)) {
            return fail(start, "${ without its }");
        }
        append(variable, start);
        return Step::proceed;
    }

    std::string_view read_name() {
        const std::size_t start = position_;
        if (is_name_start(peek())) {
            while (is_name_character(peek())) {
                ++position_;
            }
        }
        return text_.substr(start, position_ - start);
    }

    // Reads from the end of the name to the closing brace. Returns false if the brace is missing.
    bool read_rest_of_braces(Variable& variable) {
        if (text_.substr(position_).starts_with("[*]")) {
            variable.splits = true;
            position_ += 3;
        }
        if (peek() == '-') {
            const std::size_t close = text_.find('}', position_);
            if (close == std::string_view::npos) {
                return false;
            }
            if (variable.value.empty()) {
                variable.value = text_.substr(position_ + 1, close - position_ - 1);
            }
            position_ = close;
        }
        if (peek() != '}') {
            return false;
        }
        ++position_;
        return true;
    }

    void append(const Variable& variable, std::size_t start) {
        if (!variable.splits) {
            word_ += variable.value;
            return;
        }
        for (const char character : variable.value) {
            if (is_blank(character)) {
                end_word();
            } else {
                begin_word(start);
                word_ += character;
            }
        }
    }

    void begin_word(std::size_t offset) {
        if (in_word_) {
            return;
        }
        in_word_ = true;
        column_ = static_cast<int>(offset) + 1;
    }

    void end_word() {
        if (!in_word_) {
            return;
        }
        in_word_ = false;
        line_.words.push_back({std::exchange(word_, ""), column_});
    }

    Step fail(std::size_t offset, std::string message) {
        line_.error = std::move(message);
        line_.error_column = static_cast<int>(offset) + 1;
        return Step::failed;
    }

    std::string_view text_;
    Lookup lookup_;
    Line& line_;
    std::size_t position_ = 0;
    Quote quote_ = Quote::none;
    bool in_word_ = false;
    std::string word_;
    int column_ = 0;  // start of the current or last word, from 1; 0 if there is none
};

}  // namespace

Lexer::Lexer(std::string file, const Environment& environment, LineHandler on_line)
    : file_(std::move(file)), environment_(environment), on_line_(std::move(on_line)) {}

void Lexer::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view part = bytes.substr(0, end);
        if (pending_.size() + part.size() > kMaxLineBytes) {
            too_long_ = true;
        } else {
            pending_ += part;
        }
        has_input_ = true;
        if (end == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

void Lexer::finish() {
    if (!has_input_) {
        return;
    }
    // The line end keeps a backslash at the end of the file from continuing the line.
    pending_ += '\n';
    end_line();
    has_input_ = false;
}

void Lexer::end_line() {
    ++lines_ended_;
    if (first_line_ == 0) {
        first_line_ = lines_ended_;
    }
    if (first_line_ == 1 && pending_.starts_with(kByteOrderMark)) {
        pending_.erase(0, kByteOrderMark.size());
    }
    if (pending_.ends_with('\r')) {
        pending_.pop_back();
    }
    Line line{file_, first_line_, {}, "", 0};
    if (too_long_) {
        line.error = fmt::format("a line over {} bytes", kMaxLineBytes);
    } else if (!split(line)) {
        pending_.pop_back();  // the backslash; the line continues on the next one
        return;
    }
    pending_.clear();
    too_long_ = false;
    has_input_ = false;
    first_line_ = 0;
    on_line_(std::move(line));
}

std::string Lexer::variable_value(std::string_view name) const {
    if (name == ".FILE") {
        return file_;
    }
    if (name == ".LINE") {
        return std::to_string(first_line_);
    }
    const auto variable = environment_.find(std::string(name));
    return variable == environment_.end() ? "" : variable->second;
}

bool Lexer::split(Line& line) const {
    const auto lookup = [this](std::string_view name) { return variable_value(name); };
    return WordSplitter(pending_, lookup, line).split();
}

}  // namespace micaroad::haproxy
