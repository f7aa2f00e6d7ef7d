/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
///
/// Arithmetic and look-ups of the reference planner; they make no decisions.
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

// Returns where a falling function crosses a level.
template <class Falling>
double bisect_falling(double low, double high, double level, Falling value) {
    for (int i = 0; i < 50; ++i) {
        const double midpoint = (low + high) / 2;
        (value(midpoint) > level ? low : high) = midpoint;
    }
    return low;
}

// Returns the value that has half of the total weight below it, from pairs of value and weight.
inline double weighted_median(std::vector<std::pair<double, double>> values) {
    std::sort(values.begin(), values.end());
    double remaining = 0;
    for (const auto& [value, weight] : values) {
        remaining += weight / 2;
    }
    for (const auto& [value, weight] : values) {
        if ((remaining -= weight) <= 0) {
            return value;
        }
    }
    return 0;
}

// Returns a value of each member.
template <class Members, class ValueOf>
RealVector values_of(const Members& members, ValueOf value_of) {
    RealVector values(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        values[i] = value_of(*members[i]);
    }
    return values;
}

// Returns for each member the sum of the values over all members of its kind.
template <class Members>
RealVector kind_sums(const Members& members, const RealVector& values) {
    std::map<KindId, double> sums;
    for (std::size_t i = 0; i < members.size(); ++i) {
        sums[members[i]->status.entry.kind] += values[i];
    }
    return values_of(members,
                     [&sums](const auto& member) { return sums.at(member.status.entry.kind); });
}

// Returns a value of each member as a fraction of the sum over all; all 0 if the sum is 0.
template <class Members, class ValueOf>
RealVector fractions_of(const Members& members, ValueOf value_of) {
    RealVector values = values_of(members, value_of);
    const double sum = members.empty() ? 0 : values.sum();
    if (sum > 0) {
        values /= sum;
    }
    return values;
}

// Returns the sum of the values of some methods.
inline double sum_of(const RealVector& values, const std::vector<MethodId>& methods) {
    double sum = 0;
    for (const MethodId method : methods) {
        sum += values[method.value];
    }
    return sum;
}

// Returns the number of zones that members are in.
template <class Members>
double zone_count(const Members& members) {
    std::set<ZoneId> zones;
    for (const auto* member : members) {
        zones.insert(member->status.entry.zone);
    }
    return static_cast<double>(zones.size());
}

// Returns the members of the zones whose members have at least `min_attempts` attempts in total.
template <class Members>
Members members_in_attempted_zones(Members members, double min_attempts) {
    std::map<ZoneId, double> attempts;
    for (const auto* member : members) {
        attempts[member->status.entry.zone] += member->status.attempts;
    }
    std::erase_if(members, [&](const auto* member) {
        return attempts.at(member->status.entry.zone) < min_attempts;
    });
    return members;
}

// Whether a server may execute a method, for proxies of `own_zone` if the method is limited to it.
inline bool is_eligible(const Method& method, std::optional<ZoneId> own_zone,
                        const ListedEndpoint& server) {
    const auto allows = [](const auto& allowed, const auto& id) {
        return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
    };
    return allows(method.only_kinds, server.kind) && allows(method.only_zones, server.zone) &&
           (!own_zone || *own_zone == server.zone);
}

inline bool same_eligibility(const Method& one, const Method& other) {
    return one.only_kinds == other.only_kinds && one.only_zones == other.only_zones;
}

inline double shortest_soft_deadline(const DeploymentSettings& settings) {
    Duration shortest = Duration::max();
    for (const Method& method : settings.methods) {
        shortest = std::min(shortest, method.soft_deadline);
    }
    return seconds(shortest);
}

}  // namespace micaroad::reference
