// Discovery's list: one JSON object to one list of the module, and the version that is held of it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"
#include "terms/terms.hpp"

namespace micaroad::protocol {

struct ListSaid {
    std::int64_t version = 0;
    event::List list;                           // changes or complete; each server once, as it was given last
    std::map<ServerId, std::string> addresses;  // for probes
    std::map<ServerId, std::string> dropped;    // entries that can't be used: why
};

// Instants count from the Unix epoch. Names that the deployment did not tell are added to `names`.
class ListReader {
 public:
    explicit ListReader(Names names) : names_(std::move(names)) {}
    std::optional<ListSaid> read(std::string_view json);  // absent: can't be read

 private:
    Names names_;
};

// The lines of a watch's body, bounded.
class ObjectLines {
 public:
    static constexpr std::size_t kLongest = 4 * 1024 * 1024;

    // Calls line(std::string_view) for each, empty ones too. False once a line is too long.
    template <class Line>
    bool feed(std::string_view bytes, Line line) {
        while (!bytes.empty()) {
            const std::size_t end = bytes.find('\n');
            if (held_.size() + std::min(end, bytes.size()) > kLongest) return false;
            held_.append(bytes.substr(0, end));
            if (end == std::string_view::npos) break;
            bytes.remove_prefix(end + 1);
            if (held_.ends_with('\r')) held_.pop_back();
            line(std::string_view(held_));
            held_.clear();
        }
        return true;
    }
    std::string rest() { return std::exchange(held_, {}); }

 private:
    std::string held_;
};

}  // namespace micaroad::protocol
