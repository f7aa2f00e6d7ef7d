/// @file
/// Splits the bytes of a configuration into lines of words, by the quoting rules of the HAProxy
/// configuration manual (2.8, section 2.2). The input may come in pieces of any size; no file is
/// opened here. A line is handed over once it has ended.
///
/// - Outside quotes and within "weak" ones a backslash protects the next character or names one
///   (\n, \r, \t, \xHH).
/// - Within 'strong' quotes nothing is special.
/// - $NAME and ${NAME} are replaced from the environment within weak quotes only; "${NAME[*]}"
///   gives as many words as the value has.
/// - # outside quotes begins a comment.
/// - A backslash at the end of a line joins the next line to it.
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

/// A word after quotes, escapes and variables have been resolved.
struct Word {
    std::string text;
    int column = 1;  ///< of its first byte in the line, from 1
};

/// A line of the input, with the lines that a backslash joined to it.
struct Line {
    std::string file;
    int number = 0;           ///< from 1; of the first of joined lines
    std::vector<Word> words;  ///< empty for a blank line or a comment alone
    std::string error;        ///< why the line can't be read; empty if it can
    int error_column = 0;     ///< from 1; 0 where the whole line is meant

    /// The text of a word, or an empty string past the last one.
    [[nodiscard]] const std::string& word(std::size_t index) const {
        static const std::string kNone;
        return index < words.size() ? words[index].text : kNone;
    }
};

/// Reads one file. Not for concurrent use.
class Lexer {
 public:
    /// Bytes of a line with the lines joined to it; a longer one is handed over with an error.
    static constexpr std::size_t kMaxLineBytes = std::size_t{256} * 1024;

    using LineHandler = std::function<void(Line&&)>;

    /// The environment must outlive the lexer. It is looked at when a line ends, so that the
    /// handler of a line may change it for those that follow.
    Lexer(std::string file, const Environment& environment, LineHandler on_line);

    /// Takes the next bytes and hands over each line that ends in them.
    void feed(std::string_view bytes);
    /// Hands over the last line if its end is missing.
    void finish();

 private:
    void end_line();
    /// False: the line goes on in the next one.
    [[nodiscard]] bool split(Line& line) const;
    [[nodiscard]] std::string value_of(std::string_view name) const;

    std::string file_;
    const Environment& environment_;
    LineHandler on_line_;
    std::string pending_;     // the line that has not ended yet
    int lines_ended_ = 0;     // as the file counts them
    int first_line_ = 0;      // where the pending line began; 0: none has
    bool too_long_ = false;   // the pending line
    bool has_input_ = false;  // since the last line was handed over
};

}  // namespace micaroad::haproxy
