// What one decision has to say to one proxy: a protocol writes it in its own words.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad {

struct Letter {
    struct Table {
        std::set<MethodId> methods;
        bool full = false;                 // the lines are all of it, and levels are forgotten
        std::map<ServerId, double> lines;  // 0: take it out
    };
    struct Level {
        double amount = 1;
        FurtherTry further_tries = FurtherTry::never;
        auto operator<=>(const Level&) const = default;
    };
    ProxyId proxy;
    std::vector<Table> tables;
    std::map<MethodId, Level> levels;
    std::map<ServerId, bool> shut;  // true: shut out, false: let back
    std::optional<MarkId> mark;

    // As the channel counts it, without its head.
    std::size_t channel_lines() const {
        std::size_t sum = levels.size() + shut.size() + (mark ? 1 : 0);
        for (const Table& table : tables) sum += table.lines.size() + (table.full ? 1 : 0);
        return sum;
    }
};

}  // namespace micaroad
