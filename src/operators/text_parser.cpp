#include "operators/text_parser.hpp"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>

namespace micaroad::operators {
namespace {

namespace pb = google::protobuf;

struct Said {
    int line, column;  // from 0
    std::string text;
};

class Listening : public pb::io::ErrorCollector {
 public:
    std::vector<Said> errors, warnings;
    void AddError(int line, pb::io::ColumnNumber column, const std::string& text) override {
        errors.push_back({line, column, text});
    }
    void AddWarning(int line, pb::io::ColumnNumber column, const std::string& text) override {
        warnings.push_back({line, column, text});
    }
};

std::vector<std::string> words_in_quotes(const std::string& text) {
    std::vector<std::string> words;
    for (std::size_t at = 0; (at = text.find('"', at)) != std::string::npos;) {
        const auto end = text.find('"', at + 1);
        if (end == std::string::npos) {
            break;
        }
        words.push_back(text.substr(at + 1, end - at - 1)), at = end + 1;
    }
    return words;
}

std::string listed(const std::vector<std::string>& words) {
    return fmt::format("{}", fmt::join(words, ", "));
}

// Every enum field of a name in the schema, as the parser does not tell whose it is.
std::vector<std::string> values_of(const pb::Descriptor& type, const std::string& field) {
    std::vector<std::string> values;
    const pb::FileDescriptor& file = *type.file();
    std::vector<const pb::Descriptor*> types;
    for (int i = 0; i < file.message_type_count(); ++i) {
        types.push_back(file.message_type(i));
    }
    for (std::size_t i = 0; i < types.size(); ++i) {
        for (int k = 0; k < types[i]->nested_type_count(); ++k) {
            types.push_back(types[i]->nested_type(k));
        }
        const pb::FieldDescriptor* found = types[i]->FindFieldByName(field);
        if (found == nullptr || found->enum_type() == nullptr) {
            continue;
        }
        for (int k = 0; k < found->enum_type()->value_count(); ++k) {
            values.push_back(found->enum_type()->value(k)->name());
        }
    }
    return values;
}

Fault fault_of(const Said& said, const std::string& name, const std::string& text,
               const pb::Descriptor& root) {
    Fault fault{name, said.line + 1, said.column + 1, "", said.text, ""};
    const auto words = words_in_quotes(said.text);
    if (said.text.find("has no field named") != std::string::npos && words.size() >= 2) {
        fault.value = words[1];
        std::vector<std::string> known;
        if (const pb::Descriptor* type = root.file()->pool()->FindMessageTypeByName(words[0])) {
            for (int i = 0; i < type->field_count(); ++i) {
                known.push_back(type->field(i)->name());
            }
            fault.says = fmt::format("no field of {}", type->name());
        }
        if (const std::string near = nearest(fault.value, known); !near.empty()) {
            fault.says += fmt::format(" (perhaps '{}')", near);
        }
        fault.allowed = listed(known);
        return fault;
    }
    if (said.text.starts_with("Unknown enumeration value") && words.size() >= 2) {
        fault.value = words[0], fault.says = fmt::format("no value of {}", words[1]);
        fault.allowed = listed(values_of(root, words[1]));
        return fault;
    }
    // What stands at the place.
    std::size_t from = 0;
    for (int line = 0; line < said.line && from != std::string::npos; ++line) {
        from = text.find('\n', from);
        if (from != std::string::npos) {
            ++from;
        }
    }
    if (from == std::string::npos) {
        return fault;
    }
    const std::size_t end = std::min(text.find('\n', from), text.size());
    // The tokenizer counts tabs up to the next multiple of eight.
    std::size_t at = from;
    for (int column = 0; at < end && column < said.column; ++at) {
        column += text[at] == '\t' ? 8 - column % 8 : 1;
    }
    fault.column = static_cast<int>(at - from) + 1;
    const std::size_t stop = text.find_first_of(" \t\r\n;,{}", at);
    fault.value = text.substr(at, std::min(stop, end) - at);
    if (said.text.find("out of range") != std::string::npos) {
        fault.allowed = "a whole number that fits the field";
    }
    return fault;
}

// Blanks the scalar field whose value stands at a place or just before it, on its line alone, and
// moves the place to that value. False: there is none, the fault is of the structure.
bool blank_field(std::string& text, Fault& fault) {
    std::size_t from = 0;
    for (int line = 1; line < fault.line; ++line) {
        from = text.find('\n', from);
        if (from == std::string::npos) {
            return false;
        }
        ++from;
    }
    const std::size_t end = std::min(text.find('\n', from), text.size());
    const std::size_t place = std::min(end, from + static_cast<std::size_t>(fault.column) - 1);
    const std::size_t colon = text.rfind(':', place);
    if (colon == std::string::npos || colon < from) {
        return false;
    }
    std::size_t first = colon;
    const auto in_name = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               c == '_';
    };
    while (first > from && text[first - 1] == ' ') {
        --first;
    }
    while (first > from && in_name(text[first - 1])) {
        --first;
    }
    std::size_t value = colon + 1;
    while (value < end && text[value] == ' ') {
        ++value;
    }
    std::size_t last = value;
    if (last < end && text[last] == '"') {
        last = std::min(text.find('"', last + 1), end);
        last = std::min(last + 1, end);
    } else {
        while (last < end &&
               std::string_view(" \t\r;,{}").find(text[last]) == std::string_view::npos) {
            ++last;
        }
    }
    if (last == value) {
        return false;
    }
    fault.column = static_cast<int>(value - from) + 1;
    std::fill(text.begin() + static_cast<std::ptrdiff_t>(first),
              text.begin() + static_cast<std::ptrdiff_t>(last), ' ');
    return true;
}

}  // namespace

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string& other : known) {
        std::vector<std::size_t> row(other.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t{0});
        for (std::size_t i = 0; i < word.size(); ++i) {
            std::size_t corner = row[0]++;
            for (std::size_t k = 0; k < other.size(); ++k) {
                const std::size_t change = corner + (word[i] == other[k] ? 0 : 1);
                corner = row[k + 1];
                row[k + 1] = std::min({corner + 1, row[k] + 1, change});
            }
        }
        if (row.back() < distance) {
            distance = row.back(), best = other;
        }
    }
    return best;
}

std::vector<Fault> parse_text(std::string text, const std::string& name, pb::Message& message,
                              std::unique_ptr<pb::TextFormat::ParseInfoTree>& places) {
    std::vector<Fault> faults;
    const std::string whole = text;
    for (;;) {
        Listening listening;
        pb::TextFormat::Parser parser;
        parser.AllowUnknownField(true);
        parser.AllowPartialMessage(true);
        parser.SetRecursionLimit(64);
        parser.RecordErrorsTo(&listening);
        places = std::make_unique<pb::TextFormat::ParseInfoTree>();
        parser.WriteLocationsTo(places.get());
        message.Clear();
        const bool read = parser.ParseFromString(text, &message);
        if (read || listening.errors.empty() || faults.size() >= kMostFaults) {
            for (const Said& said : listening.warnings) {
                faults.push_back(fault_of(said, name, whole, *message.GetDescriptor()));
            }
            break;
        }
        faults.push_back(fault_of(listening.errors.front(), name, whole, *message.GetDescriptor()));
        if (blank_field(text, faults.back())) {
            continue;
        }
        for (const Said& said : listening.warnings) {
            faults.push_back(fault_of(said, name, whole, *message.GetDescriptor()));
        }
        break;
    }
    return faults;
}

}  // namespace micaroad::operators
