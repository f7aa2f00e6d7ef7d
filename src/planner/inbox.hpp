/// The queue of core events: any thread enqueues, and the core's thread takes all events at once.
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

/// Returns the current time. Any thread may call it.
using Clock = std::function<TimePoint()>;

/// A queue that is unbounded for events whose number is limited by the number of streams, and
/// bounded for events that a peer may send at any rate.
///
/// Guards against peers that flood and against a core that falls behind: a new report is dropped
/// when the bound is reached, as a core so far behind has no use for it. Enqueueing waits for the
/// mutex only.
class Inbox {
 public:
    /// The maximum number of queued reports, of all peers together.
    static constexpr std::size_t kMaxReports = 20'000;
    /// The maximum number of queued reports of one peer, so that one that floods leaves room for
    /// the others.
    static constexpr std::size_t kMaxReportsPerPeer = kMaxReports / 2;

    struct Item {
        TimePoint enqueued_at;
        CoreEvent event;
    };

    explicit Inbox(Clock clock) : clock_(std::move(clock)) {}

    /// Enqueues an event without a bound. Any thread.
    void put(CoreEvent event);

    /// Enqueues an event of a kind that a peer may send at any rate. Returns false and drops the
    /// event if the peer has already enqueued `max_events` since the core last took all events. A
    /// report over kMaxReports is also dropped and counted in take_dropped_reports(), but returns
    /// true, as that peer is not at fault. Any thread.
    [[nodiscard]] bool put_bounded(StreamId peer, std::size_t max_events, CoreEvent event);

    /// Takes all events, in the order in which they were enqueued. Blocks until there is an event
    /// or the clock reaches `until`; in the latter case the result may be empty. Without `until` it
    /// waits for an event. The core's thread only.
    [[nodiscard]] std::vector<Item> wait(std::optional<TimePoint> until);

    /// The number of reports dropped over kMaxReports since the last call. Any thread.
    [[nodiscard]] std::size_t take_dropped_reports();

 private:
    const Clock clock_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Item> items_;
    // Events enqueued by put_bounded() since the last wait().
    std::map<StreamId, std::size_t> bounded_events_by_peer_;
    std::size_t queued_reports_ = 0;
    std::size_t dropped_reports_ = 0;
};

}  // namespace micaroad
