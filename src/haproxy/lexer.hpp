/// @file
/// Splits a configuration into lines of words by the quoting rules of the HAProxy configuration
/// manual (2.8, section 2.2). The input may be fed in pieces of any size; the lexer opens no files.
/// A line is passed on as soon as it is complete.
///
/// - Outside quotes and within "weak" (double) quotes, a backslash escapes the next character or
///   starts an escape sequence (\n, \r, \t, \xHH).
/// - Within 'strong' (single) quotes, no character is special.
/// - $NAME and ${NAME} are expanded from the environment within weak quotes only; "${NAME[*]}"
///   expands to one word for each word of the value.
/// - # outside quotes starts a comment.
/// - A backslash at the end of a line continues it on the next line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::haproxy {

/// Environment variables by name.
using Environment = std::map<std::string, std::string>;

/// A word with quotes, escapes and variables resolved.
struct Word {
    std::string text;
    int column = 1;  ///< of the word's first byte in the line, from 1
};

/// A line of the input, including its continuation lines.
struct Line {
    std::string file;
    int number = 0;           ///< from 1; of the first line if there are continuation lines
    std::vector<Word> words;  ///< empty if the line is blank or only a comment
    std::string error;        ///< why the line is invalid; empty if it is valid
    int error_column = 0;     ///< from 1; 0 if the error concerns the whole line

    /// Returns the text of a word, or an empty string if there is no such word.
    [[nodiscard]] const std::string& word(std::size_t index) const {
        static const std::string kNone;
        return index < words.size() ? words[index].text : kNone;
    }
};

/// Splits one file into lines. Not thread-safe.
class Lexer {
 public:
    /// Maximum length of a line with its continuation lines. A longer line is passed on with an
    /// error and without words.
    static constexpr std::size_t kMaxLineBytes = std::size_t{256} * 1024;

    using LineHandler = std::function<void(Line&&)>;

    /// The environment must outlive the lexer. Variables are expanded when a line is complete, so
    /// the handler of a line may change the environment of the following lines.
    Lexer(std::string file, const Environment& environment, LineHandler on_line);

    /// Adds input and calls the handler for each line that is now complete.
    void feed(std::string_view bytes);
    /// Ends the input: calls the handler for the last line if it lacks a line end.
    void finish();

 private:
    void end_line();
    /// Splits the pending line into words. Returns false if the line continues on the next one.
    [[nodiscard]] bool split(Line& line) const;
    [[nodiscard]] std::string variable_value(std::string_view name) const;

    std::string file_;
    const Environment& environment_;
    LineHandler on_line_;
    std::string pending_;     // the incomplete line
    int lines_ended_ = 0;     // line ends seen in the file
    int first_line_ = 0;      // where the pending line starts; 0 if there is none
    bool too_long_ = false;   // whether the pending line exceeds kMaxLineBytes
    bool has_input_ = false;  // whether there was input since the last complete line
};

}  // namespace micaroad::haproxy
