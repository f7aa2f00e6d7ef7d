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

std::size_t Findings::add_line(const Line& line, std::string keyword) {
    rows_.push_back(
        {{line.file, line.number, std::move(keyword), Verdict::refused, ""}, false, false, ""});
    return rows_.size() - 1;
}

void Findings::add_verdict(std::size_t index, Verdict verdict, const std::string& message) {
    Row& row = rows_[index];
    const bool is_first = !row.has_verdict;
    row.has_verdict = true;
    if (is_first || verdict > row.finding.verdict) {
        row.finding.verdict = verdict;
        row.finding.message = message;
    } else if (verdict == row.finding.verdict && !message.empty() &&
               row.finding.message.find(message) == std::string::npos) {
        row.finding.message += (row.finding.message.empty() ? "" : "; ") + message;
    }
}

std::vector<Finding> Findings::all() const {
    std::vector<Finding> all;
    all.reserve(rows_.size());
    for (const Row& row : rows_) {
        Finding finding = row.finding;
        if (!row.has_verdict) {
            finding.verdict = Verdict::refused;
            finding.message = "the importer has no rule for this line";
        } else if (!row.unused_message.empty() && !row.used &&
                   finding.verdict != Verdict::refused) {
            finding.verdict = Verdict::no_effect;
            finding.message = row.unused_message;
        }
        all.push_back(std::move(finding));
    }
    return all;
}

}  // namespace micaroad::haproxy
