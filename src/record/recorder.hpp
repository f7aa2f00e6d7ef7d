/// Records the events that a planner receives and the orders that it decides. The core's thread
/// only enqueues each turn (one decision with the events before it); a background job converts the
/// turns, writes them in blocks, begins new segments and deletes old ones.
///
/// Guards against a storage device that is slow or full: turns that don't fit in the queue, or
/// can't be written, are counted, and the recording contains a gap record in their place. The cost
/// for a decision is a copy of its events and orders. To bound the memory, the queue is limited by
/// the number of events and orders in it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "background/job_scheduler.hpp"
#include "micaroad/planner.hpp"
#include "planner/ports.hpp"
#include "proto/record.pb.h"
#include "record/directory.hpp"

namespace micaroad::record {

/// When a new segment is begun, and when old segments are deleted.
struct RetentionPolicy {
    std::uint64_t segment_bytes = 8u << 20;  ///< a segment ends before it exceeds this size
    std::uint64_t total_bytes = 512u << 20;  ///< above it, the oldest segments are deleted
    Duration segment_age = std::chrono::minutes(10);  ///< a segment of this age ends
    Duration max_age = std::chrono::hours(72);        ///< segments of this age are deleted
};

/// The observer that records the planner's events and orders. on_event() and on_decision() are
/// called by the core's thread, and work() by the thread of background jobs. close() is called when
/// that thread has ended. Any thread may call counts().
class Recorder : public Observer {
 public:
    /// The maximum number of queued events and orders, which take about 100 bytes each.
    static constexpr std::size_t kMaxQueuedItems = 200'000;
    /// A block is written when it has this many raw bytes.
    static constexpr std::size_t kBlockRawBytes = 64 * 1024;
    /// A block is written when its first turn has this age.
    static constexpr Duration kMaxBlockAge = std::chrono::seconds(1);

    /// Counts since the start.
    struct Counts {
        std::uint64_t turns = 0;     ///< turns enqueued
        std::uint64_t lost = 0;      ///< turns not enqueued, and records not written
        std::uint64_t bytes = 0;     ///< bytes written
        std::uint64_t segments = 0;  ///< segments begun
        std::uint64_t failures = 0;  ///< blocks that could not be written
    };

    /// Continues the recording in `directory`, which must outlive the recorder, with a new segment.
    /// `header` becomes the first record. `notify_worker` may be empty; otherwise the core's thread
    /// calls it for each turn.
    Recorder(Directory& directory, RetentionPolicy retention, const records::Head& header,
             std::function<void()> notify_worker);

    void on_event(const Event& event) override;
    void on_decision(TimePoint now, const std::vector<Order>& orders) override;

    /// Does a portion of the background job: writes at most one block.
    [[nodiscard]] background::Usage work();
    /// Writes the queued turns and ends the segment. Nothing may be recorded afterwards.
    void close();

    [[nodiscard]] Counts counts() const;

 private:
    struct Turn {
        TimePoint at;
        std::vector<Event> events;
        std::vector<Order> orders;
    };
    // Turns that are lost after those in the queue.
    struct Gap {
        std::uint64_t turns = 0;
        TimePoint first_at;
        TimePoint last_at;
    };

    void take_queue();
    TimePoint convert_turns();
    void add_record(const records::Record& record);
    void record_gap();
    [[nodiscard]] bool block_due(TimePoint now) const;
    bool write_block(TimePoint now);
    bool append_to_segment(const std::string& block, TimePoint now);
    bool begin_segment(TimePoint now);
    void replace_block_by_gap(TimePoint now);
    void delete_old_segments(TimePoint now);

    Directory& directory_;
    const RetentionPolicy retention_;
    const std::function<void()> notify_worker_;
    std::vector<Event> events_;  // since the last decision; the core's thread alone

    mutable std::mutex mutex_;  // guards the queue, the gap and the counts
    std::vector<Turn> queue_;
    std::size_t queued_items_ = 0;  // events, orders and turns in the queue
    Gap gap_;
    Counts counts_;

    // Used by the background job only.
    std::vector<Turn> taken_turns_;  // taken from the queue
    std::size_t next_turn_ = 0;      // index in taken_turns_ of the first one that is not converted
    std::vector<std::string> block_records_;
    std::size_t block_raw_bytes_ = 0;
    TimePoint block_started_at_;  // time of the block's first turn; the epoch if it has none
    std::uint64_t next_sequence_ = 0;
    std::unique_ptr<Directory::File> segment_;  // null: the next block begins a segment
    std::string segment_name_;
    std::uint64_t segment_bytes_ = 0;
    TimePoint segment_started_at_;
    // When each segment began. For segments of an earlier incarnation: when this one first saw
    // them.
    std::map<std::string, TimePoint> segment_starts_;
};

}  // namespace micaroad::record
