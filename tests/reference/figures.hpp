/// Frozen reference implementation. tests/differential_test.cpp holds the optimized decisions of
/// src/ against it: both get the same events, and every order must be equal to the bit. Change it
/// only together with an intended change of behaviour, never for speed or style.
///
/// Arithmetic and look-ups that decide nothing.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "reference/planner.hpp"

namespace micaroad::reference {

inline double seconds(Duration span) {
    return std::chrono::duration<double>(span).count();
}

// Where a falling function crosses a level.
template <class Falling>
double crossing(double low, double high, double level, Falling value) {
    for (int i = 0; i < 50; ++i) {
        const double half = (low + high) / 2;
        (value(half) > level ? low : high) = half;
    }
    return low;
}

// Of values with their weights: the one that half of the weight lies under.
inline double middle(std::vector<std::pair<double, double>> values) {
    std::sort(values.begin(), values.end());
    double rest = 0;
    for (const auto& [value, weight] : values) {
        rest += weight / 2;
    }
    for (const auto& [value, weight] : values) {
        if ((rest -= weight) <= 0) {
            return value;
        }
    }
    return 0;
}

// A figure of each member, in a row.
template <class Members, class Figure>
RealVector row_of(const Members& members, Figure figure) {
    RealVector row(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        row[i] = figure(*members[i]);
    }
    return row;
}

// For each member the sum of a figure over all of its kind.
template <class Members>
RealVector kind_sums(const Members& members, const RealVector& figure) {
    std::map<KindId, double> sums;
    for (std::size_t i = 0; i < members.size(); ++i) {
        sums[members[i]->seen.entry.kind] += figure[i];
    }
    return row_of(members, [&sums](const auto& member) { return sums.at(member.seen.entry.kind); });
}

// A figure of each member as a part of all members' sum; 0 for each where that is 0.
template <class Members, class Figure>
RealVector parts_of(const Members& members, Figure figure) {
    RealVector row = row_of(members, figure);
    const double sum = members.empty() ? 0 : row.sum();
    if (sum > 0) {
        row /= sum;
    }
    return row;
}

// Sum of the figures of some methods, from figures by method.
inline double sum_of(const RealVector& figures, const std::vector<MethodId>& methods) {
    double sum = 0;
    for (const MethodId method : methods) {
        sum += figures[method.value];
    }
    return sum;
}

// Number of zones that members are in.
template <class Members>
double zone_count(const Members& members) {
    std::set<ZoneId> zones;
    for (const auto* member : members) {
        zones.insert(member->seen.entry.zone);
    }
    return static_cast<double>(zones.size());
}

// The members of those zones whose members have `least` remembered tries or more, all together.
template <class Members>
Members in_tried_zones(Members members, double least) {
    std::map<ZoneId, double> tries;
    for (const auto* member : members) {
        tries[member->seen.entry.zone] += member->seen.tries;
    }
    std::erase_if(members,
                  [&](const auto* member) { return tries.at(member->seen.entry.zone) < least; });
    return members;
}

// Is a method, at proxies of a zone where it keeps to its own, open to a server?
inline bool open_to(const Method& method, std::optional<ZoneId> home,
                    const ListedEndpoint& server) {
    const auto among = [](const auto& only, const auto& id) {
        return only.empty() || std::find(only.begin(), only.end(), id) != only.end();
    };
    return among(method.only_kinds, server.kind) && among(method.only_zones, server.zone) &&
           (!home || *home == server.zone);
}

inline bool open_alike(const Method& one, const Method& other) {
    return one.only_kinds == other.only_kinds && one.only_zones == other.only_zones;
}

inline double shortest_soft_deadline(const DeploymentSettings& settings) {
    Duration span = Duration::max();
    for (const Method& method : settings.methods) {
        span = std::min(span, method.soft_deadline);
    }
    return seconds(span);
}

}  // namespace micaroad::reference
