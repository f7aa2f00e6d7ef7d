// What is said of each line of the input: exactly one verdict a line, the gravest of all that were
// given to it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/lexer.hpp"

namespace micaroad::haproxy {

// In rising gravity.
enum class Verdict { no_effect, translated, changed, refused };
const char* name_of(Verdict verdict);  // as the JSON report has them

struct Finding {
    std::string file;
    int line = 0;
    std::string keyword;
    Verdict verdict = Verdict::refused;
    std::string message;
};

class Findings {
 public:
    // To be called for each line with words, in order. Returns its number.
    std::size_t add_line(const Line& line, std::string keyword);
    // Adds to what is said of a line. A graver verdict takes the place of a lighter one, with its
    // words; alike ones join.
    void add_verdict(std::size_t index, Verdict verdict, const std::string& message);
    // A setting counts only if some section goes by it; what is said holds once it was used, else
    // that it has no effect.
    void mark_used(std::size_t index) { rows_[index].used = true; }
    void set_unused_message(std::size_t index, std::string message) {
        rows_[index].unused_message = std::move(message);
    }

    // One a line, in order. A line of which nothing was said is refused: none falls through.
    std::vector<Finding> all() const;
    std::size_t size() const { return rows_.size(); }

 private:
    struct Row {
        Finding finding;
        bool said = false, used = false;
        std::string unused_message;
    };
    std::vector<Row> rows_;
};

}  // namespace micaroad::haproxy
