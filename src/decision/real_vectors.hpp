/// Builds vectors of figures from containers of objects.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/queue_model.hpp"

namespace micaroad::decision {

/// `figure(*item)` of each item. `items` is a vector of pointers.
template <class Items, class Figure>
[[nodiscard]] RealVector collect_figures(const Items& items, Figure figure) {
    RealVector figures(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        figures[i] = figure(*items[i]);
    }
    return figures;
}

/// The elements of `figures` at `indices`, in the order of `indices`.
[[nodiscard]] inline RealVector select_figures(const RealVector& figures,
                                               const std::vector<std::size_t>& indices) {
    RealVector selected(indices.size());
    for (std::size_t i = 0; i < indices.size(); ++i) {
        selected[i] = figures[indices[i]];
    }
    return selected;
}

}  // namespace micaroad::decision
