// Where all drivers leave what arrived, for the one thread that owns the module.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "planner/ports.hpp"

namespace micaroad {

using Clock = std::function<Instant()>;

class Inbox {
 public:
    // Reports over this many are dropped, the newest first; a core that far behind has no use for them. What
    // else comes is bounded by the number of streams.
    static constexpr std::size_t kMostReports = 20'000;
    struct Item {
        Instant at;
        Arrival arrival;
    };

    explicit Inbox(Clock clock) : clock_(std::move(clock)) {}

    void put(Arrival arrival) {
        const bool is_report = std::holds_alternative<arrival::Reported>(arrival);
        {
            const std::lock_guard lock(mutex_);
            if (is_report && ++reports_ > kMostReports) return (void)++dropped_;
            items_.push_back({clock_(), std::move(arrival)});
        }
        wake_.notify_one();
    }

    // All that has come, as soon as there is anything or the time is there; absent: no such time.
    std::vector<Item> wait(std::optional<Instant> until) {
        std::unique_lock lock(mutex_);
        const auto any = [this] { return !items_.empty(); };
        if (until)
            wake_.wait_for(lock, *until - clock_(), any);
        else
            wake_.wait(lock, any);
        reports_ = 0;
        return std::exchange(items_, {});
    }
    std::size_t dropped() {
        const std::lock_guard lock(mutex_);
        return std::exchange(dropped_, 0);
    }

 private:
    const Clock clock_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Item> items_;
    std::size_t reports_ = 0, dropped_ = 0;
};

}  // namespace micaroad
