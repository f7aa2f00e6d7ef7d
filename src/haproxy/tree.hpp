// Lines to sections: macros are followed, the environment's settings heeded, and every word keeps
// its place.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "haproxy/findings.hpp"
#include "haproxy/lexer.hpp"

namespace micaroad::haproxy {

constexpr const char* kVersion = "2.8";  // whose manual the importer goes by

struct Trouble {  // the input can't be used
    std::string file;
    int line = 0, column = 0;
    std::string says;
    std::string text() const;
};

struct Statement {
    Line line;
    std::size_t number = 0;  // in the findings
    bool no = false;         // "no option x": the words begin behind it
    const std::string& word(std::size_t i) const { return line.word(i); }
    std::size_t size() const { return line.words.size(); }
};

struct Section {
    std::string kind, name;
    std::string from;  // the defaults it names
    Statement header;
    std::vector<Statement> statements;
};

struct Tree {
    std::vector<Section> sections;
    Findings findings;
    std::vector<Trouble> troubles;  // each makes the input unusable
};

class TreeBuilder {
 public:
    explicit TreeBuilder(Environment environment) : environment_(std::move(environment)) {}
    // Files in the order in which the original would read them.
    void add(const std::string& file, std::string_view text);
    Tree finish();

    static constexpr std::size_t kMostWords = 64;      // a line, as in the original
    static constexpr std::size_t kMostTroubles = 100;  // more are not looked for

 private:
    enum class Branch {
        taken,
        not_yet,
        over,
        unknown
    };  // unknown: its condition can't be told here
    void take(Line&& line);
    bool macro(const Line& line, std::size_t number);
    void set_environment(const Statement& statement);

    Environment environment_;
    Tree tree_;
    std::vector<Branch> branches_;
    std::vector<Line> opened_;  // the .if of each
};

// .if's condition: absent where it asks for what can't be known here (features of a build, other
// versions' options).
std::optional<bool> condition_of(const std::string& text, const Environment& environment,
                                 std::string& why);

}  // namespace micaroad::haproxy
