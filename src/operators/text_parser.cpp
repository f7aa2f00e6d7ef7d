#include "operators/text_parser.hpp"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace micaroad::operators {
namespace {

namespace pb = google::protobuf;

constexpr int kMaxDepth = 64;  // nesting depth of messages
constexpr int kTabWidth = 8;   // as in the library's tokenizer

// An error or warning of the library's parser, with its place as the library counts it.
struct ParserMessage {
    int line;    // from 0
    int column;  // from 0, tabs up to the next multiple of kTabWidth
    std::string text;
};

class MessageCollector : public pb::io::ErrorCollector {
 public:
    [[nodiscard]] const std::vector<ParserMessage>& errors() const { return errors_; }
    [[nodiscard]] const std::vector<ParserMessage>& warnings() const { return warnings_; }
    void AddError(int line, pb::io::ColumnNumber column, const std::string& text) override {
        errors_.push_back({line, column, text});
    }
    void AddWarning(int line, pb::io::ColumnNumber column, const std::string& text) override {
        warnings_.push_back({line, column, text});
    }

 private:
    std::vector<ParserMessage> errors_;
    std::vector<ParserMessage> warnings_;
};

// The range of a line in a text; `end` is the position of its line feed or the end of the text.
struct LineSpan {
    std::size_t begin;
    std::size_t end;
};

// `line` counts from 0.
std::optional<LineSpan> find_line(const std::string& text, int line) {
    std::size_t begin = 0;
    for (int skipped = 0; skipped < line; ++skipped) {
        const std::size_t line_feed = text.find('\n', begin);
        if (line_feed == std::string::npos) {
            return std::nullopt;
        }
        begin = line_feed + 1;
    }
    return LineSpan{begin, std::min(text.find('\n', begin), text.size())};
}

std::vector<std::string> quoted_words(const std::string& text) {
    std::vector<std::string> words;
    std::size_t open = text.find('"');
    while (open != std::string::npos) {
        const std::size_t close = text.find('"', open + 1);
        if (close == std::string::npos) {
            break;
        }
        words.push_back(text.substr(open + 1, close - open - 1));
        open = text.find('"', close + 1);
    }
    return words;
}

std::string joined(const std::vector<std::string>& words) {
    return fmt::format("{}", fmt::join(words, ", "));
}

// All message types of the schema, including nested ones.
std::vector<const pb::Descriptor*> message_types(const pb::FileDescriptor& file) {
    std::vector<const pb::Descriptor*> types;
    types.reserve(static_cast<std::size_t>(file.message_type_count()));
    for (int i = 0; i < file.message_type_count(); ++i) {
        types.push_back(file.message_type(i));
    }
    for (std::size_t i = 0; i < types.size(); ++i) {
        for (int j = 0; j < types[i]->nested_type_count(); ++j) {
            types.push_back(types[i]->nested_type(j));
        }
    }
    return types;
}

// The values of every enum field of that name, since the parser does not report the field's
// message.
std::vector<std::string> enum_values(const pb::Descriptor& root, const std::string& field_name) {
    std::vector<std::string> values;
    for (const pb::Descriptor* type : message_types(*root.file())) {
        const pb::FieldDescriptor* field = type->FindFieldByName(field_name);
        if (field == nullptr || field->enum_type() == nullptr) {
            continue;
        }
        for (int i = 0; i < field->enum_type()->value_count(); ++i) {
            values.push_back(field->enum_type()->value(i)->name());
        }
    }
    return values;
}

Fault unknown_field(Fault fault, const std::string& type_name, const std::string& field_name,
                    const pb::Descriptor& root) {
    fault.value = field_name;
    std::vector<std::string> known;
    const pb::Descriptor* type = root.file()->pool()->FindMessageTypeByName(type_name);
    if (type != nullptr) {
        for (int i = 0; i < type->field_count(); ++i) {
            known.push_back(type->field(i)->name());
        }
        fault.message = fmt::format("unknown field of {}", type->name());
    }
    const std::string near = nearest(field_name, known);
    if (!near.empty()) {
        fault.message += fmt::format(" (did you mean '{}'?)", near);
    }
    fault.allowed = joined(known);
    return fault;
}

Fault unknown_enum_value(Fault fault, const std::string& value, const std::string& field_name,
                         const pb::Descriptor& root) {
    fault.value = value;
    fault.message = fmt::format("invalid value of {}", field_name);
    fault.allowed = joined(enum_values(root, field_name));
    return fault;
}

// Any other fault. Its value is the word at its place.
Fault syntax_fault(Fault fault, const ParserMessage& message, const std::string& text) {
    const std::optional<LineSpan> line = find_line(text, message.line);
    if (!line) {
        return fault;
    }
    std::size_t place = line->begin;
    int column = 0;
    while (place < line->end && column < message.column) {
        column += text[place] == '\t' ? kTabWidth - column % kTabWidth : 1;
        ++place;
    }
    fault.column = static_cast<int>(place - line->begin) + 1;
    const std::size_t word_end = std::min(text.find_first_of(" \t\r\n;,{}", place), line->end);
    fault.value = text.substr(place, word_end - place);
    if (message.text.find("out of range") != std::string::npos) {
        fault.allowed = "a whole number that fits the field";
    }
    return fault;
}

// Converts a parser message to a fault. The parser reports errors only as text, which is matched.
Fault to_fault(const ParserMessage& message, const std::string& name, const std::string& text,
               const pb::Descriptor& root) {
    Fault fault{name, message.line + 1, message.column + 1, "", message.text, ""};
    const std::vector<std::string> words = quoted_words(message.text);
    if (message.text.find("has no field named") != std::string::npos && words.size() >= 2) {
        return unknown_field(std::move(fault), words[0], words[1], root);
    }
    if (message.text.starts_with("Unknown enumeration value") && words.size() >= 2) {
        return unknown_enum_value(std::move(fault), words[0], words[1], root);
    }
    return syntax_fault(std::move(fault), message, text);
}

bool is_field_name_character(char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '_';
}

// The position at which the name of a field begins, given the position of its colon.
std::size_t find_name_begin(const std::string& text, std::size_t line_begin, std::size_t colon) {
    std::size_t begin = colon;
    while (begin > line_begin && text[begin - 1] == ' ') {
        --begin;
    }
    while (begin > line_begin && is_field_name_character(text[begin - 1])) {
        --begin;
    }
    return begin;
}

// The position at which the value that begins at `begin` ends.
std::size_t find_value_end(const std::string& text, std::size_t begin, std::size_t line_end) {
    if (begin < line_end && text[begin] == '"') {
        const std::size_t quote = std::min(text.find('"', begin + 1), line_end);
        return std::min(quote + 1, line_end);
    }
    return std::min(text.find_first_of(" \t\r;,{}", begin), line_end);
}

// Overwrites with spaces the scalar field whose value is at the fault's place or just before it on
// the same line, and moves the fault's place to that value. Returns false if there is no such
// field, which means that the fault is in the structure of the text.
bool blank_field(std::string& text, Fault& fault) {
    const std::optional<LineSpan> line = find_line(text, fault.line - 1);
    if (!line) {
        return false;
    }
    const std::size_t column = static_cast<std::size_t>(fault.column) - 1;
    const std::size_t place = std::min(line->end, line->begin + column);
    const std::size_t colon = text.rfind(':', place);
    if (colon == std::string::npos || colon < line->begin) {
        return false;
    }
    const std::size_t value_begin = std::min(text.find_first_not_of(' ', colon + 1), line->end);
    const std::size_t value_end = find_value_end(text, value_begin, line->end);
    if (value_end == value_begin) {
        return false;
    }
    const std::size_t field_begin = find_name_begin(text, line->begin, colon);
    fault.column = static_cast<int>(value_begin - line->begin) + 1;
    text.replace(field_begin, value_end - field_begin, value_end - field_begin, ' ');
    return true;
}

// Parses the text once and collects the messages of the library's parser.
bool parse(const std::string& text, pb::Message& message, pb::TextFormat::ParseInfoTree& places,
           MessageCollector& collector) {
    pb::TextFormat::Parser parser;
    parser.AllowUnknownField(true);
    parser.AllowPartialMessage(true);
    parser.SetRecursionLimit(kMaxDepth);
    parser.RecordErrorsTo(&collector);
    parser.WriteLocationsTo(&places);
    message.Clear();
    return parser.ParseFromString(text, &message);
}

}  // namespace

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string& other : known) {
        // Levenshtein distance, computed row by row.
        std::vector<std::size_t> row(other.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t{0});
        for (const char letter : word) {
            std::size_t diagonal = row[0];
            ++row[0];
            for (std::size_t i = 0; i < other.size(); ++i) {
                const std::size_t substituted = diagonal + (letter == other[i] ? 0 : 1);
                diagonal = row[i + 1];
                row[i + 1] = std::min({diagonal + 1, row[i] + 1, substituted});
            }
        }
        if (row.back() < best_distance) {
            best_distance = row.back();
            best = other;
        }
    }
    return best;
}

std::vector<Fault> parse_text(std::string text, const std::string& name, pb::Message& message,
                              std::unique_ptr<pb::TextFormat::ParseInfoTree>& places) {
    const std::string original = text;
    const pb::Descriptor& root = *message.GetDescriptor();
    std::vector<Fault> faults;
    bool reparse = true;
    while (reparse) {
        MessageCollector collector;
        places = std::make_unique<pb::TextFormat::ParseInfoTree>();
        const bool parsed = parse(text, message, *places, collector);
        reparse = false;
        if (!parsed && !collector.errors().empty() && faults.size() < kMaxFaults) {
            faults.push_back(to_fault(collector.errors().front(), name, original, root));
            reparse = blank_field(text, faults.back());
        }
        if (!reparse) {
            for (const ParserMessage& warning : collector.warnings()) {
                faults.push_back(to_fault(warning, name, original, root));
            }
        }
    }
    return faults;
}

}  // namespace micaroad::operators
