#include "planner/inbox.hpp"

#include <utility>
#include <variant>

namespace micaroad {

void Inbox::put(CoreEvent event) {
    {
        const std::lock_guard lock(mutex_);
        items_.push_back({clock_(), std::move(event)});
    }
    wake_.notify_one();
}

bool Inbox::put_bounded(StreamId peer, std::size_t max_events, CoreEvent event) {
    {
        const std::lock_guard lock(mutex_);
        std::size_t& peer_events = bounded_events_by_peer_[peer];
        ++peer_events;
        if (peer_events > max_events) {
            return false;
        }
        if (std::holds_alternative<core_event::ReportReceived>(event)) {
            ++queued_reports_;
            if (queued_reports_ > kMaxReports) {
                ++dropped_reports_;
                return true;
            }
        }
        items_.push_back({clock_(), std::move(event)});
    }
    wake_.notify_one();
    return true;
}

std::vector<Inbox::Item> Inbox::wait(std::optional<TimePoint> until) {
    std::unique_lock lock(mutex_);
    const auto any_event = [this] { return !items_.empty(); };
    if (until) {
        wake_.wait_for(lock, *until - clock_(), any_event);
    } else {
        wake_.wait(lock, any_event);
    }
    queued_reports_ = 0;
    bounded_events_by_peer_.clear();
    return std::exchange(items_, {});
}

std::size_t Inbox::take_dropped_reports() {
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_reports_, 0);
}

}  // namespace micaroad
