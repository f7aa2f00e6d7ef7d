#include "protocol/push_writer.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/wire_words.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::size_t kMaxParts = 64;
constexpr std::string_view kLineEnd = "\r\n";

// Formats the shortest text that parses to the same number, without an exponent.
std::string format_number(double value) {
    // Enough for any double: the longest text, near the ends of the range, has about 330
    // characters.
    std::array<char, 400> text{};
    const std::to_chars_result result =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    return {text.data(), result.ptr};
}

std::string format_methods(const std::set<MethodId>& methods, const SymbolTable& names) {
    std::string text = fmt::format(" {}=", wire::kMethods);
    std::string_view separator;
    for (const MethodId method : methods) {
        text += separator;
        text += names.method(method);
        separator = "+";
    }
    return text;
}

// The parts of a message. A list that is too long for its part continues in a further part, which
// repeats the words that the list belongs to.
class MessageParts {
 public:
    explicit MessageParts(std::size_t max_line_bytes)
        : max_line_bytes_(max_line_bytes - continued_word().size() - kLineEnd.size()) {}

    // Begins a part. `context` is repeated in the parts that continue it, `first_part_only` is not.
    void begin(std::string context, std::string_view first_part_only = "") {
        context_ = std::move(context);
        std::string& part = parts_.emplace_back(wire::kUpdate);
        part += context_;
        part += first_part_only;
    }

    // Adds words that must be in the same part.
    void add_words(const std::string& words) {
        if (parts_.back().size() + 1 + words.size() > max_line_bytes_) {
            begin_continuation();
        }
        parts_.back() += ' ';
        parts_.back() += words;
    }

    // Adds an element to the list `name`, and begins that list unless the part ends with it.
    void add_element(std::string_view name, const std::string& element) {
        const bool continues_list = last_list_ == name && last_list_part_ == parts_.size();
        std::string text = continues_list ? ',' + element : first_element(name, element);
        if (parts_.back().size() + text.size() > max_line_bytes_) {
            begin_continuation();
            text = first_element(name, element);
        }
        parts_.back() += text;
        last_list_ = name;
        last_list_part_ = parts_.size();
    }

    [[nodiscard]] bool empty() const { return parts_.empty(); }

    // Absent if there are too many parts.
    [[nodiscard]] std::optional<std::string> join() const {
        if (parts_.size() > kMaxParts) {
            return std::nullopt;
        }
        const std::string continued = continued_word();
        std::string message;
        for (const std::string& part : parts_) {
            message += part;
            if (&part != &parts_.back()) {
                message += continued;
            }
            message += kLineEnd;
        }
        return message;
    }

 private:
    static std::string continued_word() { return fmt::format(" {}=1", wire::kContinued); }
    static std::string first_element(std::string_view name, const std::string& element) {
        return fmt::format(" {}={}", name, element);
    }
    void begin_continuation() { begin(context_); }

    const std::size_t max_line_bytes_;  // of a part, without its `continued` word and CRLF
    std::vector<std::string> parts_;
    std::string context_;
    std::string last_list_;           // the list that the last element was added to
    std::size_t last_list_part_ = 0;  // number of parts at that time
};

void add_tables(MessageParts& parts, const ProxyUpdate& update, const SymbolTable& names) {
    const std::string full = fmt::format(" {}=1", wire::kFullTable);
    for (const ProxyUpdate::Table& table : update.tables) {
        parts.begin(format_methods(table.methods, names), table.full ? full : "");
        for (const auto& [server, weight] : table.lines) {
            const std::string entry = fmt::format("{}:{}", server.value, format_number(weight));
            parts.add_element(wire::kTableEntries, entry);
        }
    }
}

// Methods with the same admission share a part.
void add_admissions(MessageParts& parts, const ProxyUpdate& update, const SymbolTable& names) {
    std::map<ProxyUpdate::Admission, std::set<MethodId>> methods_by_admission;
    for (const auto& [method, admission] : update.admissions) {
        methods_by_admission[admission].insert(method);
    }
    for (const auto& [admission, methods] : methods_by_admission) {
        // An admission is added to the part of a single table if both are for the same methods.
        const bool shares_part =
            update.tables.size() == 1 && update.tables.front().methods == methods;
        if (!shares_part) {
            parts.begin(format_methods(methods, names));
        }
        parts.add_words(fmt::format("{}={} {}={}", wire::kAdmittedFraction,
                                    format_number(admission.amount), wire::kRetryPolicy,
                                    static_cast<int>(admission.retry_policy)));
    }
}

void add_withdrawals(MessageParts& parts, const ProxyUpdate& update) {
    for (const bool wanted : {true, false}) {
        const std::string_view list = wanted ? wire::kWithdrawn : wire::kReinstated;
        for (const auto& [server, withdrawn] : update.withdrawn) {
            if (withdrawn == wanted) {
                parts.add_element(list, server.value);
            }
        }
    }
}

}  // namespace

std::optional<std::string> format_update(const ProxyUpdate& update, const SymbolTable& names,
                                         std::size_t max_line_bytes) {
    MessageParts parts(max_line_bytes);
    add_tables(parts, update, names);
    add_admissions(parts, update, names);
    if (parts.empty()) {
        parts.begin("");
    }
    add_withdrawals(parts, update);
    if (update.nonce) {
        parts.add_words(fmt::format("{}={}", wire::kNonce, update.nonce->value));
    }
    return parts.join();
}

}  // namespace micaroad::protocol
