// Where all drivers leave what arrived, for the one thread that owns the module.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "planner/ports.hpp"

namespace micaroad {

using Clock = std::function<TimePoint()>;

class Inbox {
 public:
    // Reports over this many are dropped, the newest first; a core that far behind has no use for
    // them. One peer may fill half of that, so that whoever floods leaves room for the others. What
    // else comes is bounded by the number of streams.
    static constexpr std::size_t kMostReports = 20'000, kMostReportsOfOne = kMostReports / 2;
    struct Item {
        TimePoint at;
        CoreEvent arrival;
    };

    explicit Inbox(Clock clock) : clock_(std::move(clock)) {}

    void put(CoreEvent arrival) {
        {
            const std::lock_guard lock(mutex_);
            items_.push_back({clock_(), std::move(arrival)});
        }
        wake_.notify_one();
    }
    // What one peer says and may say often: `most` of it until the core takes all. False: it is
    // dropped, as that peer floods.
    bool put_bounded(StreamId peer, std::size_t most, CoreEvent arrival) {
        {
            const std::lock_guard lock(mutex_);
            if (++of_one_[peer] > most) {
                return false;
            }
            if (std::holds_alternative<core_event::ReportReceived>(arrival) &&
                ++reports_ > kMostReports) {
                return ++dropped_, true;
            }
            items_.push_back({clock_(), std::move(arrival)});
        }
        wake_.notify_one();
        return true;
    }

    // All that has come, as soon as there is anything or the time is there; absent: no such time.
    std::vector<Item> wait(std::optional<TimePoint> until) {
        std::unique_lock lock(mutex_);
        const auto any = [this] { return !items_.empty(); };
        if (until) {
            wake_.wait_for(lock, *until - clock_(), any);
        } else {
            wake_.wait(lock, any);
        }
        reports_ = 0, of_one_.clear();
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
    std::map<StreamId, std::size_t> of_one_;  // of those that spoke since the core took all
    std::size_t reports_ = 0, dropped_ = 0;
};

}  // namespace micaroad
