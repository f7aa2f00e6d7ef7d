/// The queue of core events: many threads enqueue, the core's thread takes all at once.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "planner/ports.hpp"

namespace micaroad {

/// Tells the time. Any thread may call it.
using Clock = std::function<TimePoint()>;

/// An unbounded queue for events whose number the number of streams bounds, and a bounded one for
/// those that a peer may send as often as it likes.
///
/// Guards against peers that flood and against a core that falls behind: reports past the bounds
/// are dropped, the newest first, as a core that far behind has no use for them. Enqueueing never
/// blocks but for the mutex.
class Inbox {
 public:
    /// Reports of all peers that are held until the core takes them.
    static constexpr std::size_t kMaxReports = 20'000;
    /// Of one peer. A peer that floods leaves room for the others.
    static constexpr std::size_t kMaxReportsPerPeer = kMaxReports / 2;

    struct Item {
        TimePoint at;  ///< when it was enqueued
        CoreEvent event;
    };

    explicit Inbox(Clock clock) : clock_(std::move(clock)) {}

    /// Enqueues an event, whatever is queued already. Any thread.
    void put(CoreEvent event);

    /// Enqueues an event of a kind that a peer may send often. False if the peer has already
    /// enqueued `max_events` since the core last took all: the event is dropped. A report past
    /// kMaxReports is dropped too, which is counted in take_dropped_reports() and returns true, as
    /// it is no fault of that peer. Any thread.
    [[nodiscard]] bool put_bounded(StreamId peer, std::size_t max_events, CoreEvent event);

    /// Takes all events in the order in which they were enqueued. Blocks until there is one or the
    /// clock reaches `until`, and then may return none; without `until` it waits for an event. The
    /// core's thread.
    [[nodiscard]] std::vector<Item> wait(std::optional<TimePoint> until);

    /// How many reports were dropped since the last call because all peers together sent too many.
    /// Any thread.
    [[nodiscard]] std::size_t take_dropped_reports();

 private:
    const Clock clock_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Item> items_;
    std::map<StreamId, std::size_t> events_of_peer_;  // bounded ones since the core took all
    std::size_t reports_ = 0;
    std::size_t dropped_reports_ = 0;
};

}  // namespace micaroad
