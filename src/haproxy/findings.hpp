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
    std::string says;
};

class Findings {
 public:
    // To be called for each line with words, in order. Returns its number.
    std::size_t line(const Line& line, std::string keyword);
    // Adds to what is said of a line. A graver verdict takes the place of a lighter one, with its
    // words; alike ones join.
    void say(std::size_t number, Verdict verdict, const std::string& says);
    // A setting counts only if some section goes by it; what is said holds once it was used, else
    // that it has no effect.
    void use(std::size_t number) { rows_[number].used = true; }
    void set_aside(std::size_t number, std::string unless_used) {
        rows_[number].unless_used = std::move(unless_used);
    }

    // One a line, in order. A line of which nothing was said is refused: none falls through.
    std::vector<Finding> all() const;
    std::size_t size() const { return rows_.size(); }

 private:
    struct Row {
        Finding finding;
        bool said = false, used = false;
        std::string unless_used;
    };
    std::vector<Row> rows_;
};

}  // namespace micaroad::haproxy
