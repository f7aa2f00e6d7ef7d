#include "protocol/line_words.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/parse_decimal.hpp"
#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::size_t kMaxWords = 32;
constexpr std::size_t kExpectedWords = 8;  // in the protocol's longest message
constexpr std::size_t kMaxQuotedWordBytes = 40;
// Sums of numbers up to this limit stay exact enough and far from any overflow.
constexpr double kMaxNumber = 1e9;
constexpr double kDurationTicksPerMillisecond = 10;
static_assert(std::chrono::milliseconds{1} == Duration{10});

}  // namespace

std::string_view next_word(std::string_view& line) {
    const std::size_t size = std::min(line.find(' '), line.size());
    const std::string_view word = line.substr(0, size);
    line.remove_prefix(std::min(size + 1, line.size()));
    return word;
}

LineWords::LineWords(std::string_view line) {
    words_.reserve(kExpectedWords);
    while (!line.empty() && !error_) {
        const std::string_view word = next_word(line);
        if (!word.empty()) {
            add(word);
        }
    }
}

void LineWords::add(std::string_view word) {
    const std::size_t equals = word.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
        reject(MalformedReason::no_name_or_value);
        return;
    }
    const std::string_view name = word.substr(0, equals);
    if (find(name)) {
        reject(MalformedReason::repeated_word, name);
        return;
    }
    if (words_.size() == kMaxWords) {
        reject(MalformedReason::too_many_words);
        return;
    }
    words_.push_back({name, word.substr(equals + 1)});
}

const LineWords::Word* LineWords::find(std::string_view name) const {
    const auto found = std::find_if(words_.begin(), words_.end(),
                                    [name](const Word& word) { return word.name == name; });
    return found == words_.end() ? nullptr : &*found;
}

std::string_view LineWords::text(std::string_view name) {
    const Word* word = find(name);
    if (!word || word->value.empty()) {
        reject(MalformedReason::missing_word, name);
        return {};
    }
    return word->value;
}

double LineWords::number(std::string_view name) {
    double value = -1;
    const bool parsed = parse_decimal(text(name), value);
    const bool in_range = value >= 0 && value <= kMaxNumber;  // false for NaN
    if (!parsed || !in_range) {
        reject(MalformedReason::bad_value, name);
        return 0;
    }
    return value;
}

int LineWords::integer(std::string_view name, int bound) {
    int value = -1;
    if (!parse_integer(text(name), value) || value < 0 || value >= bound) {
        reject(MalformedReason::bad_value, name);
        return 0;
    }
    return value;
}

Duration LineWords::milliseconds(std::string_view name, Duration max_duration) {
    const Duration value{std::llround(number(name) * kDurationTicksPerMillisecond)};
    if (value > max_duration) {
        reject(MalformedReason::bad_value, name);
        return {};
    }
    return value;
}

int LineWords::index_in(const std::vector<std::string>& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), text(name));
    if (found == names.end()) {
        reject(MalformedReason::bad_value, name);
        return 0;
    }
    return static_cast<int>(found - names.begin());
}

void LineWords::reject(MalformedReason reason, std::string_view word) {
    if (!error_) {
        error_ = Malformed{reason, std::string(word.substr(0, kMaxQuotedWordBytes))};
    }
}

}  // namespace micaroad::protocol
