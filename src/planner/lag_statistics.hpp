/// How long events take from their arrival to the orders that answer them.
#pragma once

#include <algorithm>
#include <cstdint>

#include "micaroad/types.hpp"

namespace micaroad {

inline double to_milliseconds(Duration duration) {
    constexpr double kUnitsPerMillisecond = 10;
    return static_cast<double>(duration.count()) / kUnitsPerMillisecond;
}

/// What the core did since `since`, for one summary in the log. Not thread-safe.
struct LagStatistics {
    TimePoint since;  ///< zero: before the first summary
    Duration longest{};
    Duration sum{};
    std::int64_t events = 0;
    std::int64_t updates = 0;       ///< sent to proxies
    std::int64_t update_lines = 0;  ///< that those cost on the channel

    void add_event(Duration lag) {
        longest = std::max(longest, lag);
        sum += lag;
        ++events;
    }
    /// In milliseconds; 0 without events.
    [[nodiscard]] double mean_ms() const {
        return events > 0 ? to_milliseconds(sum) / static_cast<double>(events) : 0;
    }
};

}  // namespace micaroad
