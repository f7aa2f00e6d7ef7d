#include "protocol/message.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "protocol/whole_number.hpp"

namespace micaroad::protocol {

namespace {

constexpr std::size_t kMostWords = 32;
constexpr double kLargest = 1e12;  // of a figure: sums of them stay far from any edge

// The words of a line, each read once. Throws Unreadable.
class Words {
 public:
    explicit Words(std::string_view line) : kind_(cut(line)) {
        while (!line.empty()) {
            const std::string_view word = cut(line);
            if (word.empty()) continue;
            const std::size_t equals = word.find('=');
            if (equals == 0 || equals == std::string_view::npos)
                throw Unreadable{"a word without name and value"};
            const std::string_view name = word.substr(0, equals);
            if (find(name)) throw Unreadable{"doubled word " + std::string(name.substr(0, 40))};
            if (words_.size() == kMostWords) throw Unreadable{"too many words"};
            words_.emplace_back(name, word.substr(equals + 1));
        }
    }
    std::string_view kind() const { return kind_; }
    const std::string_view* find(std::string_view name) const {
        const auto at =
            std::find_if(words_.begin(), words_.end(), [&](const auto& w) { return w.first == name; });
        return at == words_.end() ? nullptr : &at->second;
    }
    std::string_view text(const char* name) const {
        const std::string_view* value = find(name);
        if (!value || value->empty()) throw Unreadable{std::string("missing word ") + name};
        return *value;
    }
    double figure(const char* name) const {
        double value = -1;
        if (!read_whole(text(name), value) || !(value >= 0 && value <= kLargest)) throw bad(name);
        return value;
    }
    int whole(const char* name, int below) const {
        int value = -1;
        if (!read_whole(text(name), value) || value < 0 || value >= below) throw bad(name);
        return value;
    }
    Span span(const char* name) const { return Span{std::llround(figure(name) * 10)}; }
    int place(const char* name, const std::vector<std::string>& among) const {
        const auto at = std::find(among.begin(), among.end(), text(name));
        if (at == among.end()) throw bad(name);
        return static_cast<int>(at - among.begin());
    }

 private:
    static Unreadable bad(const char* name) { return {std::string("bad value of ") + name}; }
    static std::string_view cut(std::string_view& line) {
        const std::size_t space = std::min(line.find(' '), line.size());
        const std::string_view word = line.substr(0, space);
        line.remove_prefix(std::min(space + 1, line.size()));
        return word;
    }

    std::string_view kind_;
    std::vector<std::pair<std::string_view, std::string_view>> words_;
};

Message message_of(const Words& words, const Names& names, int proxies) {
    constexpr int kMarks = 65'536;
    if (words.kind() == "outcomes") {
        event::Outcomes met;
        met.server = {std::string(words.text("host"))};
        met.from = {words.place("az", names.zones)};
        met.tries = words.figure("n");
        met.bad = words.figure("bad");
        if (words.find("avg")) met.mean = words.span("avg");
        met.over = words.span("window");
        return met;
    }
    if (words.kind() == "demand") {
        event::Arrivals came;
        came.proxy = {words.whole("sidecar", proxies)};
        came.method = {words.place("kind", names.methods)};
        came.count = words.figure("n");
        came.unanswered = words.figure("bad");
        came.over = words.span("window");
        return came;
    }
    if (words.kind() == "ack") {
        words.figure("lag_ms");
        return event::MarkApplied{{words.whole("sidecar", proxies)}, {words.whole("version", kMarks)}};
    }
    if (words.kind() == "hello") {
        event::ProxyJoined joined;
        joined.proxy = {words.whole("sidecar", proxies)};
        joined.zone = {words.place("az", names.zones)};
        joined.rpcs_per_second = words.figure("share");
        joined.standing_only = words.whole("standing", 2) == 1;
        return joined;
    }
    if (words.kind() == "agent") return CollectorNamed{{words.place("az", names.zones)}};
    if (words.kind() == "probe") return AliveAsked{};
    throw Unreadable{"unknown kind " + std::string(words.kind().substr(0, 40))};
}

}  // namespace

std::variant<Message, Unreadable> read_message(std::string_view line, const Names& names, int proxies) try {
    return message_of(Words(line), names, proxies);
} catch (const Unreadable& why) { return why; }

}  // namespace micaroad::protocol
