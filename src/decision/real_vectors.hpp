/// Builds vectors of numbers from containers of objects.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// `value_of(*item)` for each item. `items` is a vector of pointers.
template <class Items, class ValueOf>
[[nodiscard]] RealVector collect_values(const Items& items, ValueOf value_of) {
    RealVector values(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        values[i] = value_of(*items[i]);
    }
    return values;
}

/// The elements of `values` at `indices`, in the order of `indices`.
[[nodiscard]] inline RealVector select_values(const RealVector& values,
                                              const std::vector<std::size_t>& indices) {
    RealVector selected(indices.size());
    for (std::size_t i = 0; i < indices.size(); ++i) {
        selected[i] = values[indices[i]];
    }
    return selected;
}

}  // namespace micaroad::decision
