/// @file
/// Builds sections from the lines of a configuration: the conditions of .if macros are evaluated,
/// `setenv` and its kin change the environment, and each word keeps its place in its file.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "haproxy/findings.hpp"
#include "haproxy/lexer.hpp"

namespace micaroad::haproxy {

/// The version of HAProxy whose manual the importer follows.
constexpr const char* kVersion = "2.8";

/// An error that makes the whole input unusable.
struct Fault {
    std::string file;
    int line = 0;
    int column = 0;  ///< from 1; 0 counts as 1
    std::string message;

    /// "FILE:LINE:COLUMN: MESSAGE".
    [[nodiscard]] std::string text() const;
};

/// A line within a section.
struct Statement {
    Line line;
    std::size_t number = 0;  ///< of its finding
    bool no = false;         ///< "no option x"; the words begin behind the "no"

    [[nodiscard]] const std::string& word(std::size_t index) const { return line.word(index); }
    [[nodiscard]] std::size_t size() const { return line.words.size(); }
};

/// A section with its statements in the order of the file.
struct Section {
    std::string kind;  ///< "global", "defaults", "backend" and so on
    std::string name;
    std::string from;  ///< the defaults section that the header names; empty if none
    Statement header;
    std::vector<Statement> statements;
};

/// All files together.
struct Tree {
    std::vector<Section> sections;
    Findings findings;
    std::vector<Fault> faults;  ///< not empty: the input is unusable
};

/// Collects the sections of one or more files. Not for concurrent use.
class TreeBuilder {
 public:
    /// Words of a line; HAProxy refuses a longer one too.
    static constexpr std::size_t kMaxLineWords = 64;
    /// Lines that follow this many errors are skipped.
    static constexpr std::size_t kMaxFaults = 100;

    explicit TreeBuilder(Environment environment) : environment_(std::move(environment)) {}

    /// Adds a whole file. Files have to come in the order in which HAProxy would read them.
    void add(const std::string& file, std::string_view text);
    /// Hands over the result; the builder can't be used after it.
    [[nodiscard]] Tree finish();

 private:
    // State of an open .if:
    //
    //   .if --holds--> taken --.elif/.else--> over
    //   .if --does not hold--> not_yet --.elif holds, .else--> taken
    //   .if, .elif --can't be told--> unknown, to the .endif
    //   .if within a branch that is not taken --> over
    enum class Branch { taken, not_yet, over, unknown };

    // Where a line stands, for what is said of it.
    struct Place {
        std::string file;
        int line = 0;
        std::size_t number = 0;  // of its finding
    };

    void take(Line&& line);
    // False: the line is no macro.
    bool take_macro(const Line& line, std::size_t number);
    void open_branch(const Line& line, std::size_t number);
    void switch_branch(const Line& line, std::size_t number);
    Branch judge_condition(const Line& line, std::size_t number);
    [[nodiscard]] bool in_taken_branch() const;
    void skip_line(std::size_t number);

    void begin_section(const Statement& statement);
    // Words of the header from `next` on have not been read.
    void check_header(const Section& section, std::size_t next);
    void add_statement(Statement statement);
    void set_environment(const Statement& statement);

    // Refuses the line and makes the input unusable.
    void fail(const Place& place, int column, std::string message);

    Environment environment_;
    Tree tree_;
    std::vector<Branch> branches_;
    std::vector<Line> opened_;  // the .if of each branch
};

/// Why a condition has no value here.
struct ConditionError {
    std::string message;
};

using ConditionResult = tl::expected<bool, ConditionError>;

/// Evaluates the condition of an .if. It has no value if it is not well-formed, or if it asks for
/// what can't be known here, such as the features of a build.
[[nodiscard]] ConditionResult evaluate_condition(std::string_view text,
                                                 const Environment& environment);

}  // namespace micaroad::haproxy
