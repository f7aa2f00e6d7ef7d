#include "record/recorder.hpp"

#include <algorithm>
#include <utility>

#include "record/block.hpp"
#include "record/event_conversion.hpp"
#include "record/order_conversion.hpp"
#include "record/segment_name.hpp"

namespace micaroad::record {
namespace {

// The first sequence number of an incarnation is the next multiple of this number. That is far
// beyond the records of the last segment, whose number is not known without reading the segment.
constexpr std::uint64_t kSequencesPerIncarnation = 1u << 24;
constexpr std::size_t kRecordOverheadBytes = 20;  // size of a record's header in a block

std::uint64_t first_free_sequence(Directory& directory) {
    std::uint64_t free = 0;
    for (const Directory::Entry& entry : directory.list()) {
        if (const auto first_sequence = parse_segment_name(entry.name)) {
            const std::uint64_t incarnation = *first_sequence / kSequencesPerIncarnation + 1;
            free = std::max(free, incarnation * kSequencesPerIncarnation);
        }
    }
    return free;
}

}  // namespace

Recorder::Recorder(Directory& directory, RetentionPolicy retention, const records::Head& header,
                   std::function<void()> notify_worker)
    : directory_(directory),
      retention_(retention),
      notify_worker_(std::move(notify_worker)),
      next_sequence_(first_free_sequence(directory)) {
    records::Record record;
    *record.mutable_head() = header;
    add_record(record);
}

void Recorder::on_event(const Event& event) {
    events_.push_back(event);
}

void Recorder::on_decision(TimePoint now, const std::vector<Order>& orders) {
    const std::size_t items = events_.size() + orders.size() + 1;
    {
        const std::lock_guard lock(mutex_);
        // A replay can't continue after a lost turn, so the turns that follow it are also dropped
        // until the background job has emptied the queue.
        if (queued_items_ + items > kMaxQueuedItems || gap_.turns > 0) {
            if (gap_.turns == 0) {
                gap_.first_at = now;
            }
            gap_.last_at = now;
            ++gap_.turns;
            ++counts_.lost;
            events_.clear();
        } else {
            queue_.push_back({now, std::exchange(events_, {}), orders});
            queued_items_ += items;
            ++counts_.turns;
        }
    }
    if (notify_worker_) {
        notify_worker_();
    }
}

background::Usage Recorder::work() {
    take_queue();
    const TimePoint now = convert_turns();
    if (next_turn_ == taken_turns_.size()) {
        record_gap();
    }
    background::Usage usage;
    if (block_due(now)) {
        const std::uint64_t bytes_before = counts_.bytes;
        write_block(now);
        usage.bytes = static_cast<double>(counts_.bytes - bytes_before);
    }
    const std::lock_guard lock(mutex_);
    usage.has_more_work = next_turn_ < taken_turns_.size() || !queue_.empty() || gap_.turns > 0;
    return usage;
}

// Swaps the vectors, so that both keep their capacity.
void Recorder::take_queue() {
    if (next_turn_ < taken_turns_.size()) {
        return;
    }
    taken_turns_.clear();
    next_turn_ = 0;
    const std::lock_guard lock(mutex_);
    taken_turns_.swap(queue_);
    queued_items_ = 0;
}

// Converts turns to records until the block is full. Returns the time of the last converted turn.
TimePoint Recorder::convert_turns() {
    TimePoint now = block_started_at_;
    for (; next_turn_ < taken_turns_.size() && block_raw_bytes_ < kBlockRawBytes; ++next_turn_) {
        const Turn& turn = taken_turns_[next_turn_];
        if (block_records_.empty() || block_started_at_ == TimePoint{}) {
            block_started_at_ = turn.at;
        }
        now = turn.at;
        records::Record record;
        records::Turn& turn_record = *record.mutable_turn();
        turn_record.set_at(turn.at.time_since_epoch().count());
        for (const Event& event : turn.events) {
            *turn_record.add_event() = to_record(event);
        }
        for (const Order& order : turn.orders) {
            *turn_record.add_order() = to_record(order);
        }
        add_record(record);
    }
    return now;
}

void Recorder::add_record(const records::Record& record) {
    block_records_.push_back(record.SerializeAsString());
    block_raw_bytes_ += block_records_.back().size() + kRecordOverheadBytes;
}

// The lost turns follow those in the queue, so the queued turns have to be converted first.
void Recorder::record_gap() {
    Gap gap;
    {
        const std::lock_guard lock(mutex_);
        if (gap_.turns == 0 || !queue_.empty()) {
            return;
        }
        gap = std::exchange(gap_, {});
    }
    records::Record record;
    record.mutable_hole()->set_first_at(gap.first_at.time_since_epoch().count());
    record.mutable_hole()->set_last_at(gap.last_at.time_since_epoch().count());
    record.mutable_hole()->set_turns(gap.turns);
    add_record(record);
}

bool Recorder::block_due(TimePoint now) const {
    return !block_records_.empty() &&
           (block_raw_bytes_ >= kBlockRawBytes || now - block_started_at_ >= kMaxBlockAge);
}

// If the block can't be written completely, its segment ends, and the next segment has a gap record
// in place of the block's records.
bool Recorder::write_block(TimePoint now) {
    const std::string block = encode_block(block_records_, next_sequence_);
    if (!append_to_segment(block, now)) {
        replace_block_by_gap(now);
        return false;
    }
    next_sequence_ += block_records_.size();
    block_records_.clear();
    block_raw_bytes_ = 0;
    block_started_at_ = TimePoint{};
    segment_bytes_ += block.size();
    const std::lock_guard lock(mutex_);
    counts_.bytes += block.size();
    return true;
}

bool Recorder::append_to_segment(const std::string& block, TimePoint now) {
    const bool segment_full = segment_bytes_ + block.size() > retention_.segment_bytes ||
                              now - segment_started_at_ >= retention_.segment_age;
    if (segment_ && segment_full) {
        (void)segment_->sync();  // the blocks are written; on failure the system syncs them later
        segment_.reset();
    }
    if (!segment_ && !begin_segment(now)) {
        return false;
    }
    return segment_->append(block);
}

bool Recorder::begin_segment(TimePoint now) {
    delete_old_segments(now);
    const std::string name = segment_name(next_sequence_);
    segment_ = directory_.create(name);
    if (!segment_) {
        return false;
    }
    segment_name_ = name;
    segment_bytes_ = 0;
    segment_started_at_ = now;
    segment_starts_[name] = now;
    const std::lock_guard lock(mutex_);
    ++counts_.segments;
    return true;
}

void Recorder::replace_block_by_gap(TimePoint now) {
    // A partially written block can't be read. A segment without a complete block is deleted, as
    // the next segment gets the same name.
    const bool had_segment = segment_ != nullptr;
    segment_.reset();
    if (had_segment && segment_bytes_ == 0) {
        (void)directory_.remove(segment_name_);  // if this fails, create() fails and is retried
    }
    const std::size_t lost = block_records_.size();
    block_records_.clear();
    block_raw_bytes_ = 0;
    records::Record record;
    record.mutable_hole()->set_turns(lost);
    record.mutable_hole()->set_last_at(now.time_since_epoch().count());
    add_record(record);
    const std::lock_guard lock(mutex_);
    ++counts_.failures;
    counts_.lost += lost;
}

void Recorder::delete_old_segments(TimePoint now) {
    std::uint64_t total_bytes = 0;
    std::vector<Directory::Entry> segments;
    for (const Directory::Entry& entry : directory_.list()) {
        if (!parse_segment_name(entry.name)) {
            continue;
        }
        segment_starts_.try_emplace(entry.name, now);  // of an earlier incarnation
        total_bytes += entry.bytes;
        segments.push_back(entry);
    }
    for (const Directory::Entry& segment : segments) {  // oldest first
        const bool too_old = now - segment_starts_.at(segment.name) >= retention_.max_age;
        const bool space_left = total_bytes + retention_.segment_bytes <= retention_.total_bytes;
        if (!too_old && space_left) {
            continue;
        }
        if (!directory_.remove(segment.name)) {
            continue;
        }
        total_bytes -= segment.bytes;
        segment_starts_.erase(segment.name);
    }
}

void Recorder::close() {
    while (work().has_more_work) {
    }
    // If the last block can't be written, writing the gap that replaces it is tried once.
    if (!block_records_.empty() && !write_block(block_started_at_)) {
        write_block(block_started_at_);
    }
    if (segment_) {
        (void)segment_->sync();  // a failure is ignored, as in append_to_segment()
    }
    segment_.reset();
}

Recorder::Counts Recorder::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

}  // namespace micaroad::record
