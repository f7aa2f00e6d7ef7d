#include "protocol/push_writer.hpp"

#include <fmt/format.h>

#include <charconv>

namespace micaroad::protocol {
namespace {

constexpr std::size_t kMostParts = 64;

// Shortest text that reads back alike, never with an exponent.
std::string figure(double value) {
    char text[400];
    const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed).ptr;
    return {text, end};
}

std::string routes_of(const std::set<MethodId>& methods, const SymbolTable& names) {
    std::string routes;
    for (const MethodId method : methods) {
        routes += (routes.empty() ? "" : "+") + names.method(method);
    }
    return routes;
}

// Parts of a message. A list too long for one goes on in the next, which repeats what it belongs
// to.
class Parts {
 public:
    explicit Parts(std::size_t longest) : room_(longest - kTail.size() - 2) {}

    // `once` stands in this part alone, `lead` in those that go on with it too.
    void open(std::string lead, std::string_view once = "") {
        lead_ = std::move(lead);
        (parts_.emplace_back("push") += lead_) += once;
    }
    void word(const std::string& text) {
        if (parts_.back().size() + 1 + text.size() > room_) {
            go_on();
        }
        parts_.back() += ' ' + text;
    }
    // One more member of the list `name`.
    void member(const char* name, const std::string& text) {
        const std::string start = fmt::format(" {}=", name);
        std::string more = list_ == name && parts_.size() == list_part_ ? ',' + text : start + text;
        if (parts_.back().size() + more.size() > room_) {
            go_on(), more = start + text;
        }
        parts_.back() += more;
        list_ = name, list_part_ = parts_.size();
    }
    bool none() const { return parts_.empty(); }
    std::optional<std::string> message() const {
        if (parts_.size() > kMostParts) {
            return std::nullopt;
        }
        std::string all;
        for (std::size_t i = 0; i < parts_.size(); ++i) {
            (all += parts_[i]) += i + 1 < parts_.size() ? kTail : "";
            all += "\r\n";
        }
        return all;
    }

 private:
    static constexpr std::string_view kTail = " continued=1";
    void go_on() { open(lead_); }

    const std::size_t room_;
    std::vector<std::string> parts_;
    std::string lead_, list_;
    std::size_t list_part_ = 0;
};

}  // namespace

std::optional<std::string> format_update(const ProxyUpdate& update, const SymbolTable& names,
                                         std::size_t longest) {
    Parts parts(longest);
    std::map<ProxyUpdate::Admission, std::set<MethodId>> levels;
    for (const auto& [method, level] : update.admissions) {
        levels[level].insert(method);
    }
    for (const ProxyUpdate::Table& table : update.tables) {
        parts.open(" routes=" + routes_of(table.methods, names), table.full ? " full=1" : "");
        for (const auto& [server, weight] : table.lines) {
            parts.member("endpoints", fmt::format("{}:{}", server.value, figure(weight)));
        }
    }
    for (const auto& [level, methods] : levels) {
        // A table's own part takes the level along where it is meant for just its methods.
        if (update.tables.size() != 1 || update.tables.front().methods != methods) {
            parts.open(" routes=" + routes_of(methods, names));
        }
        parts.word(fmt::format("admit={} policy={}", figure(level.amount),
                               static_cast<int>(level.retry_policy)));
    }
    if (parts.none()) {
        parts.open("");
    }
    for (const bool out : {true, false}) {
        for (const auto& [server, is_out] : update.withdrawn) {
            if (is_out == out) {
                parts.member(out ? "eject" : "restore", server.value);
            }
        }
    }
    if (update.nonce) {
        parts.word(fmt::format("nonce_out={}", update.nonce->value));
    }
    return parts.message();
}

}  // namespace micaroad::protocol
