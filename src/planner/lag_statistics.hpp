/// Statistics of the decision lag: the time from an event's arrival to the sending of the orders
/// that result from it.
#pragma once

#include <algorithm>
#include <cstdint>

#include "micaroad/types.hpp"

namespace micaroad {

inline double to_milliseconds(Duration duration) {
    constexpr double kUnitsPerMillisecond = 10;
    return static_cast<double>(duration.count()) / kUnitsPerMillisecond;
}

/// The counts since `since` for one summary in the log. Not thread-safe.
struct LagStatistics {
    TimePoint since;  ///< zero before the first interval begins
    Duration longest{};
    Duration sum{};
    std::int64_t events = 0;
    std::int64_t updates = 0;       ///< sent to proxies
    std::int64_t update_lines = 0;  ///< channel load of those updates, in lines

    void add_event(Duration lag) {
        longest = std::max(longest, lag);
        sum += lag;
        ++events;
    }
    /// The mean lag in milliseconds; 0 if there are no events.
    [[nodiscard]] double mean_ms() const {
        return events > 0 ? to_milliseconds(sum) / static_cast<double>(events) : 0;
    }
};

}  // namespace micaroad
