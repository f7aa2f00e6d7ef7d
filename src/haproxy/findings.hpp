/// @file
/// The findings of an import: one verdict for each line of the input, the most severe of those that
/// the line was given.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/lexer.hpp"

namespace micaroad::haproxy {

/// How a line was translated, in increasing order of severity.
enum class Verdict { no_effect, translated, changed, refused };
/// Returns the name of a verdict in the reports.
const char* name_of(Verdict verdict);

/// The verdict on one line, with an explanation.
struct Finding {
    std::string file;
    int line = 0;
    std::string keyword;
    Verdict verdict = Verdict::refused;
    std::string message;
};

/// Collects the verdicts on the lines of the input.
class Findings {
 public:
    /// Adds a line and returns its index. Must be called for each line that has words, in input
    /// order.
    std::size_t add_line(const Line& line, std::string keyword);
    /// Adds a verdict to a line. A more severe verdict replaces a less severe one together with its
    /// message; the messages of equal verdicts are joined.
    void add_verdict(std::size_t index, Verdict verdict, const std::string& message);
    /// Marks the setting of a line as used by some section; see set_unused_message().
    void mark_used(std::size_t index) { rows_[index].used = true; }
    /// Sets the message for the case that no section uses the setting of the line. Unless the line
    /// is marked as used or is refused, its verdict then becomes no_effect with this message.
    void set_unused_message(std::size_t index, std::string message) {
        rows_[index].unused_message = std::move(message);
    }

    /// Returns one finding for each line, in input order. A line without a verdict is refused, so
    /// that no line is silently ignored.
    std::vector<Finding> all() const;
    std::size_t size() const { return rows_.size(); }

 private:
    struct Row {
        Finding finding;
        bool has_verdict = false, used = false;
        std::string unused_message;
    };
    std::vector<Row> rows_;
};

}  // namespace micaroad::haproxy
