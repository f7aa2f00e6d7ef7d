// Bytes of a configuration to lines of words, by the quoting rules of the format's manual (2.8,
// section 2.2). Fed in any pieces, it knows no file; a line is handed over once it has ended.
//
// Outside quotes and within "weak" ones a backslash protects the next character or names one (\n,
// \r, \t,
// \xHH); within 'strong' quotes nothing is special; $NAME and ${NAME} stand for the environment
// within weak quotes alone, "${NAME[*]}" for as many words as it has; # outside quotes begins a
// comment. A backslash at the end of a line joins the next one to it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::haproxy {

using Environment = std::map<std::string, std::string>;

struct Word {
    std::string text;
    int column = 1;  // of its first byte in the line, from 1
};

struct Line {
    std::string file;
    int number = 0;           // from 1; of the first of joined lines
    std::vector<Word> words;  // none: blank, or a comment alone
    std::string trouble;      // not empty: the line can't be read, and why
    int trouble_column = 0;

    const std::string& word(std::size_t i) const {
        static const std::string kNone;
        return i < words.size() ? words[i].text : kNone;
    }
};

class Lexer {
 public:
    static constexpr std::size_t kLongestLine = 256 * 1024;  // with the lines joined to it
    using Taken = std::function<void(Line&&)>;

    // The environment is looked at when a line ends, so that a line may change it for those that
    // follow.
    Lexer(std::string file, const Environment& environment, Taken taken);

    void feed(std::string_view bytes);
    void finish();  // the last line may lack its end

 private:
    void end_line();
    // False: the line goes on in the next one.
    bool split(Line& line);
    std::string value_of(std::string_view name) const;

    const std::string file_;
    const Environment& environment_;
    const Taken taken_;
    std::string held_;
    int number_ = 0, first_ = 0;  // physical lines ended; where the held one began
    bool too_long_ = false, begun_ = false;
};

}  // namespace micaroad::haproxy
