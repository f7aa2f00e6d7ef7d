// What one decision has to say to one proxy: a protocol writes it in its own words.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad {

struct ProxyUpdate {
    struct Table {
        std::set<MethodId> methods;
        bool full = false;                 // the lines are all of it, and admissions are forgotten
        std::map<ServerId, double> lines;  // 0: take it out
    };
    struct Admission {
        double amount = 1;
        RetryPolicy retry_policy = RetryPolicy::never;
        auto operator<=>(const Admission&) const = default;
    };
    ProxyId proxy;
    std::vector<Table> tables;
    std::map<MethodId, Admission> admissions;
    std::map<ServerId, bool> withdrawn;  // true: withdrawn out, false: let back
    std::optional<Nonce> nonce;

    // As the channel counts it, without its head.
    std::size_t channel_lines() const {
        std::size_t sum = admissions.size() + withdrawn.size() + (nonce ? 1 : 0);
        for (const Table& table : tables) {
            sum += table.lines.size() + (table.full ? 1 : 0);
        }
        return sum;
    }
};

}  // namespace micaroad
