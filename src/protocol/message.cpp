#include "protocol/message.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {

namespace {

constexpr std::size_t kMostWords = 32;
constexpr double kLargest = 1e9;      // of a figure: sums of them stay far from any edge
constexpr double kMostCounted = 1e6;  // RPCs of a proxy, or tries at a server, within one report

std::string_view cut(std::string_view& line) {
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string_view word = line.substr(0, space);
    line.remove_prefix(std::min(space + 1, line.size()));
    return word;
}

// The words of a line, each read once. Throws Malformed.
class Words {
 public:
    explicit Words(std::string_view line) {
        while (!line.empty()) {
            const std::string_view word = cut(line);
            if (word.empty()) {
                continue;
            }
            const std::size_t equals = word.find('=');
            if (equals == 0 || equals == std::string_view::npos) {
                throw Malformed{"a word without name and value"};
            }
            const std::string_view name = word.substr(0, equals);
            if (find(name)) {
                throw Malformed{"doubled word " + std::string(name.substr(0, 40))};
            }
            if (words_.size() == kMostWords) {
                throw Malformed{"too many words"};
            }
            words_.emplace_back(name, word.substr(equals + 1));
        }
    }
    const std::string_view* find(std::string_view name) const {
        const auto at = std::find_if(words_.begin(), words_.end(),
                                     [&](const auto& w) { return w.first == name; });
        return at == words_.end() ? nullptr : &at->second;
    }
    std::string_view text(const char* name) const {
        const std::string_view* value = find(name);
        if (!value || value->empty()) {
            throw Malformed{std::string("missing word ") + name};
        }
        return *value;
    }
    double figure(const char* name) const {
        double value = -1;
        if (!parse_integer(text(name), value) || !(value >= 0 && value <= kLargest)) {
            throw bad(name);
        }
        return value;
    }
    int whole(const char* name, int below) const {
        int value = -1;
        if (!parse_integer(text(name), value) || value < 0 || value >= below) {
            throw bad(name);
        }
        return value;
    }
    Duration span(const char* name, Duration longest) const {
        const Duration span{std::llround(figure(name) * 10)};
        return span <= longest ? span : throw bad(name);
    }
    int place(const char* name, const std::vector<std::string>& among) const {
        const auto at = std::find(among.begin(), among.end(), text(name));
        if (at == among.end()) {
            throw bad(name);
        }
        return static_cast<int>(at - among.begin());
    }

 private:
    static Malformed bad(const char* name) { return {std::string("bad value of ") + name}; }
    std::vector<std::pair<std::string_view, std::string_view>> words_;
};

// How many there were, how many came to nothing (an RPC may do so in a later window than it came
// in), and over which time: each can only be so large.
void read_counts(const Words& words, const Bounds& bounds, double& all, double& bad,
                 Duration& over) {
    all = words.figure("n"), bad = words.figure("bad"),
    over = words.span("window", bounds.longest_window);
    if (std::max(all, bad) > kMostCounted) {
        throw Malformed{"more than can have come"};
    }
    if (over <= Duration{}) {
        throw Malformed{"no window"};
    }
}

Message outcomes_of(const Words& words, const SymbolTable& names, const Bounds& bounds) {
    event::EndpointLoadReport met;
    met.server = {std::string(words.text("host"))};
    met.proxy_zone = {words.place("az", names.zones)};
    read_counts(words, bounds, met.attempts, met.failures, met.window);
    met.mean_latency = words.span("avg", bounds.longest_mean);
    if (met.failures > met.attempts) {
        throw Malformed{"more failures than tries"};
    }
    return met;
}

Message demand_of(const Words& words, const SymbolTable& names, const Bounds& bounds) {
    event::DemandReport came;
    came.proxy = {words.whole("sidecar", bounds.proxies)};
    came.method = {words.place("kind", names.methods)};
    read_counts(words, bounds, came.requests, came.unanswered, came.window);
    return came;
}

Message answer_of(const Words& words, const SymbolTable&, const Bounds& bounds) {
    constexpr int kMarks = 65'536;
    words.figure("lag_ms");
    return event::Acknowledgement{{words.whole("sidecar", bounds.proxies)},
                                  {words.whole("version", kMarks)}};
}

Message joining_of(const Words& words, const SymbolTable& names, const Bounds& bounds) {
    event::ProxyJoined joined;
    joined.proxy = {words.whole("sidecar", bounds.proxies)};
    joined.zone = {words.place("az", names.zones)};
    joined.rpcs_per_second = words.figure("share");
    joined.initial_table_only = words.whole("standing", 2) == 1;
    return joined;
}

Message collector_of(const Words& words, const SymbolTable& names, const Bounds&) {
    return CollectorIdentified{{words.place("az", names.zones)}};
}

Message alive_of(const Words&, const SymbolTable&, const Bounds&) {
    return LivenessQuery{};
}

constexpr std::pair<std::string_view, Message (*)(const Words&, const SymbolTable&, const Bounds&)>
    kKinds[] = {{"outcomes", outcomes_of}, {"demand", demand_of},   {"ack", answer_of},
                {"hello", joining_of},     {"agent", collector_of}, {"probe", alive_of}};

}  // namespace

ParseResult parse_message(std::string_view line, const SymbolTable& names,
                          const Bounds& bounds) try {
    const std::string_view said = cut(line);
    for (const auto& [kind, read] : kKinds) {
        if (kind == said) {
            return read(Words(line), names, bounds);
        }
    }
    return Unparseable{"unknown kind " + std::string(said.substr(0, 40))};
} catch (const Malformed& why) {
    return why;
}

}  // namespace micaroad::protocol
