// Keeps what the module hears and orders. The core hands each turn over and goes on; a background
// job makes records of them, writes blocks, begins new segments and deletes old ones.
//
// Guards against a disk that is slow or full: what finds no room in the queue, or can't be written,
// is counted, and the recording says where it has holes. It should cost decisions nothing but a
// copy of what was heard. It could harm by memory: the queue is bounded by the number of events and
// orders in it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "background/turns.hpp"
#include "micaroad/planner.hpp"
#include "planner/ports.hpp"
#include "proto/record.pb.h"
#include "record/disk.hpp"

namespace micaroad::record {

struct Keeping {
    std::uint64_t segment_bytes = 8u << 20;  // then a new one begins
    std::uint64_t all_bytes = 512u << 20;    // then the oldest segments go
    Duration segment_age = std::chrono::minutes(10), all_age = std::chrono::hours(72);
};

class Recorder : public Observer {
 public:
    static constexpr std::size_t kMostQueued =
        200'000;                                      // events and orders, of some 100 bytes each
    static constexpr std::size_t kBlock = 64 * 1024;  // raw bytes, then a block is written
    static constexpr Duration kBlockAge = std::chrono::seconds(1);

    // `disk` must outlive it. Goes on behind the last sequence that the folder's names tell.
    Recorder(Disk& disk, Keeping keeping, records::Head head, std::function<void()> wake);

    void on_event(const Event& event) override;
    void on_decision(TimePoint now, const std::vector<Order>& orders) override;

    // The background job: at most a block at a time.
    background::Spent work();
    // All that is left, and the segment's end. No more may be heard.
    void close();

    struct Counts {
        std::uint64_t turns = 0, lost = 0, bytes = 0, segments = 0, failures = 0;
    };
    Counts counts() const;

    // "0000000000000042.mrec": the sequence of its first record, in hexadecimal.
    static std::string name_of(std::uint64_t first);
    static std::optional<std::uint64_t> first_of(const std::string& name);

 private:
    struct Turn {
        TimePoint at;
        std::vector<Event> events;
        std::vector<Order> orders;
    };
    void add(const records::Record& record);
    void note_hole();
    bool write_block(TimePoint now);
    void keep_within(TimePoint now);

    Disk& disk_;
    const Keeping keeping_;
    const records::Head head_;
    const std::function<void()> wake_;
    std::vector<Event> heard_;  // of the turn that is on; the core's thread alone

    mutable std::mutex mutex_;
    std::vector<Turn> queue_;
    std::size_t queued_ = 0;
    Counts counts_;
    struct {
        std::uint64_t turns = 0;
        TimePoint first{}, last{};
    } hole_;  // turns that are missing behind those in the queue

    // The background job's own.
    std::vector<Turn> taken_;
    std::size_t at_ = 0;
    std::vector<std::string> records_;
    std::size_t raw_ = 0;
    std::uint64_t next_ = 0;
    TimePoint block_since_{}, segment_since_{};
    std::unique_ptr<Disk::File> file_;
    std::uint64_t file_bytes_ = 0;
    std::string file_name_;
    std::map<std::string, TimePoint> ages_;  // of segments, as far as this life has seen them
};

}  // namespace micaroad::record
