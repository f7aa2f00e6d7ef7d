/// Records the events that a planner receives and the orders that it decides. The core's thread
/// hands each turn (one decision with the events before it) to a queue and goes on; a background
/// job converts the turns, writes them in blocks, begins new segments and deletes old ones.
///
/// Guards against a storage device that is slow or full: what finds no space in the queue, or can't
/// be written, is counted, and the recording says where it has gaps. Decisions should pay no more
/// than a copy of their events and orders. The risk is memory: the queue is bounded by the number
/// of events and orders in it.
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

/// How long segments grow, and how long they are kept.
struct RetentionPolicy {
    std::uint64_t segment_bytes = 8u << 20;  ///< a segment of this size is followed by a new one
    std::uint64_t total_bytes = 512u << 20;  ///< over this, the oldest segments are deleted
    Duration segment_age = std::chrono::minutes(10);  ///< a segment so old is followed by a new one
    Duration max_age = std::chrono::hours(72);        ///< segments so old are deleted
};

/// The planner's observer that records. on_event() and on_decision() belong to the core's thread,
/// work() and close() to the thread of background jobs (close() after its end); counts() may be
/// called by any thread.
class Recorder : public Observer {
 public:
    /// The most events and orders in the queue, of some 100 bytes each.
    static constexpr std::size_t kMaxQueuedItems = 200'000;
    /// A block with so many raw bytes is written.
    static constexpr std::size_t kBlockRawBytes = 64 * 1024;
    /// A block whose first turn is so old is written.
    static constexpr Duration kMaxBlockAge = std::chrono::seconds(1);

    /// What was recorded since the start.
    struct Counts {
        std::uint64_t turns = 0;     ///< that entered the queue
        std::uint64_t lost = 0;      ///< turns that did not, and records that could not be written
        std::uint64_t bytes = 0;     ///< that were written
        std::uint64_t segments = 0;  ///< that were begun
        std::uint64_t failures = 0;  ///< blocks that could not be written
    };

    /// Continues behind the segments that `directory` has, which must outlive the recorder.
    /// `header` becomes the first record; `notify_worker`, if any, is called by the core's thread
    /// for each turn.
    Recorder(Directory& directory, RetentionPolicy retention, const records::Head& header,
             std::function<void()> notify_worker);

    void on_event(const Event& event) override;
    void on_decision(TimePoint now, const std::vector<Order>& orders) override;

    /// A portion of the background job: writes one block at most.
    [[nodiscard]] background::Usage work();
    /// Writes all that is left and ends the segment. Nothing may be recorded after it.
    void close();

    [[nodiscard]] Counts counts() const;

 private:
    struct Turn {
        TimePoint at;
        std::vector<Event> events;
        std::vector<Order> orders;
    };
    // Turns that are missing behind those in the queue.
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

    // The background job's own.
    std::vector<Turn> taken_turns_;  // from the queue
    std::size_t next_turn_ = 0;      // the first of them that is not converted
    std::vector<std::string> block_records_;
    std::size_t block_raw_bytes_ = 0;
    TimePoint block_since_;  // time of the block's first turn; the epoch if it has none
    std::uint64_t next_sequence_ = 0;
    std::unique_ptr<Directory::File> segment_;  // null: the next block begins one
    std::string segment_name_;
    std::uint64_t segment_bytes_ = 0;
    TimePoint segment_since_;
    // When each segment began, or was first seen by this incarnation.
    std::map<std::string, TimePoint> segment_starts_;
};

}  // namespace micaroad::record
