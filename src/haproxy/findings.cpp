#include "haproxy/findings.hpp"

#include <utility>

namespace micaroad::haproxy {

const char* name_of(Verdict verdict) {
    switch (verdict) {
        case Verdict::no_effect:
            return "no_effect";
        case Verdict::translated:
            return "translated";
        case Verdict::changed:
            return "changed";
        case Verdict::refused:
            return "refused";
    }
    return "refused";
}

std::size_t Findings::line(const Line& line, std::string keyword) {
    rows_.push_back(
        {{line.file, line.number, std::move(keyword), Verdict::refused, ""}, false, false, ""});
    return rows_.size() - 1;
}

void Findings::say(std::size_t number, Verdict verdict, const std::string& says) {
    Row& row = rows_[number];
    const bool is_first = !row.said;
    row.said = true;
    if (is_first || verdict > row.finding.verdict) {
        row.finding.verdict = verdict;
        row.finding.says = says;
    } else if (verdict == row.finding.verdict && !says.empty() &&
               row.finding.says.find(says) == std::string::npos) {
        row.finding.says += (row.finding.says.empty() ? "" : "; ") + says;
    }
}

std::vector<Finding> Findings::all() const {
    std::vector<Finding> all;
    all.reserve(rows_.size());
    for (const Row& row : rows_) {
        Finding finding = row.finding;
        if (!row.said) {
            finding.verdict = Verdict::refused;
            finding.says = "nothing here knows this line";
        } else if (!row.unless_used.empty() && !row.used && finding.verdict != Verdict::refused) {
            finding.verdict = Verdict::no_effect;
            finding.says = row.unless_used;
        }
        all.push_back(std::move(finding));
    }
    return all;
}

}  // namespace micaroad::haproxy
