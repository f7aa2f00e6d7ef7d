/// @file
/// Groups the lines of a configuration into sections. Evaluates the conditions of .if macros and
/// applies `setenv` and similar statements to the environment. Each word keeps its position in its
/// file.
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

/// The HAProxy version whose manual the importer follows.
constexpr const char* kVersion = "2.8";

/// An error in the input. Any fault makes the whole input unusable.
struct Fault {
    std::string file;
    int line = 0;
    int column = 0;  ///< from 1; 0 is printed as 1
    std::string message;

    /// Formats the fault as "FILE:LINE:COLUMN: MESSAGE".
    [[nodiscard]] std::string text() const;
};

/// A line within a section.
struct Statement {
    Line line;
    std::size_t number = 0;  ///< the index of the line's finding, not its line number
    bool no = false;         ///< whether "no" precedes the keyword; the words do not include it

    [[nodiscard]] const std::string& word(std::size_t index) const { return line.word(index); }
    [[nodiscard]] std::size_t size() const { return line.words.size(); }
};

/// A section with its statements in file order.
struct Section {
    std::string kind;  ///< "global", "defaults", "backend" and so on
    std::string name;
    std::string from;  ///< the defaults section named in the header; empty if none
    Statement header;
    std::vector<Statement> statements;
};

/// The sections of all files, with the findings of their lines.
struct Tree {
    std::vector<Section> sections;
    Findings findings;
    std::vector<Fault> faults;  ///< if not empty, the input is unusable
};

/// Collects the sections of one or more files. Not thread-safe.
class TreeBuilder {
 public:
    /// Maximum number of words in a line; HAProxy has the same limit.
    static constexpr std::size_t kMaxLineWords = 64;
    /// Number of faults after which the remaining lines are skipped.
    static constexpr std::size_t kMaxFaults = 100;

    explicit TreeBuilder(Environment environment) : environment_(std::move(environment)) {}

    /// Adds a complete file. Files must be added in the order in which HAProxy reads them.
    void add(const std::string& file, std::string_view text);
    /// Returns the result. The builder must not be used afterwards.
    [[nodiscard]] Tree finish();

 private:
    // State of an open .if:
    //
    //   .if --true--> active --.elif/.else--> done
    //   .if --false--> pending --.elif true, .else--> active
    //   .if, .elif --can't be evaluated--> unknown, until the .endif
    //   .if within a branch that is not active --> done
    enum class Branch { active, pending, done, unknown };

    // The position of a line, for faults and findings.
    struct Location {
        std::string file;
        int line = 0;
        std::size_t number = 0;  // the index of the line's finding
    };

    void add_line(Line&& line);
    // Returns false if the line is not a macro.
    bool handle_macro(const Line& line, std::size_t number);
    void open_branch(const Line& line, std::size_t number);
    void switch_branch(const Line& line, std::size_t number);
    Branch branch_for_condition(const Line& line, std::size_t number);
    [[nodiscard]] bool in_active_branch() const;
    // Records why a line outside the active branch is skipped.
    void skip_line(std::size_t number);

    void begin_section(const Statement& statement);
    // Checks the name, and that no unread words, from index `next` on, follow where none may.
    void check_header(const Section& section, std::size_t next);
    void add_statement(Statement statement);
    void set_environment(const Statement& statement);

    // Records a fault and gives the line the verdict `refused`.
    void fail(const Location& location, int column, std::string message);

    Environment environment_;
    Tree tree_;
    std::vector<Branch> branches_;
    std::vector<Line> open_ifs_;  // the .if line of each branch
};

/// Why a condition can't be evaluated.
struct ConditionError {
    std::string message;
};

using ConditionResult = tl::expected<bool, ConditionError>;

/// Evaluates the condition of an .if. Fails if the condition is malformed, or depends on something
/// that the importer can't know, such as the features of an HAProxy build.
[[nodiscard]] ConditionResult evaluate_condition(std::string_view text,
                                                 const Environment& environment);

}  // namespace micaroad::haproxy
