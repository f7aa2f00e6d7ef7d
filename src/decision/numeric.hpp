/// General numeric helpers.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <utility>
#include <vector>

#include "micaroad/types.hpp"

namespace micaroad::decision {

[[nodiscard]] inline double seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

/// Finds, by bisection of [low, high], the argument at which the decreasing function `value`
/// crosses `level`. Returns the lower end of the last interval.
template <class FallingFunction>
[[nodiscard]] double bisect_falling(double low, double high, double level, FallingFunction value) {
    constexpr int kIterations = 50;  // the interval shrinks to about 1e-15 of its length
    for (int i = 0; i < kIterations; ++i) {
        const double middle = (low + high) / 2;
        if (value(middle) > level) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return low;
}

struct WeightedValue {
    double value = 0;
    double weight = 0;

    auto operator<=>(const WeightedValue&) const = default;
};

/// The lowest value at which the cumulative weight reaches half of the total; 0 if there are no
/// values.
[[nodiscard]] inline double weighted_median(std::vector<WeightedValue> values) {
    std::sort(values.begin(), values.end());
    double remaining = 0;
    for (const WeightedValue& item : values) {
        remaining += item.weight / 2;
    }
    for (const WeightedValue& item : values) {
        remaining -= item.weight;
        if (remaining <= 0) {
            return item.value;
        }
    }
    return 0;
}

}  // namespace micaroad::decision
