#include "record/recorder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "record/block.hpp"
#include "record/convert.hpp"

namespace micaroad::record {

std::string Recorder::name_of(std::uint64_t first) {
    return fmt::format("{:016x}.mrec", first);
}

std::optional<std::uint64_t> Recorder::first_of(const std::string& name) {
    std::uint64_t first = 0;
    const auto [end, wrong] = std::from_chars(
        name.data(), name.data() + std::min<std::size_t>(name.size(), 16), first, 16);
    if (wrong != std::errc{} || end != name.data() + 16 || name.substr(16) != ".mrec") {
        return std::nullopt;
    }
    return first;
}

// The next life's first record goes far behind the last segment's, whose length is not known
// without reading it.
Recorder::Recorder(Disk& disk, Keeping keeping, records::Head head, std::function<void()> wake)
    : disk_(disk), keeping_(keeping), head_(std::move(head)), wake_(std::move(wake)) {
    constexpr std::uint64_t kBetweenLives = 1u << 24;
    for (const auto& entry : disk_.list()) {
        if (const auto first = first_of(entry.name)) {
            next_ = std::max(next_, (*first / kBetweenLives + 1) * kBetweenLives);
        }
    }
    records::Record record;
    *record.mutable_head() = head_;
    add(record);
}

void Recorder::on_event(const Event& event) {
    heard_.push_back(event);
}

void Recorder::on_decision(TimePoint now, const std::vector<Order>& orders) {
    const std::size_t size = heard_.size() + orders.size() + 1;
    {
        const std::lock_guard lock(mutex_);
        // Once a turn is lost, all behind it are of no use to a replay until the queue has been
        // emptied.
        if (queued_ + size > kMostQueued || hole_.turns > 0) {
            if (hole_.turns++ == 0) {
                hole_.first = now;
            }
            hole_.last = now, ++counts_.lost;
            heard_.clear();
        } else {
            queue_.push_back({now, std::exchange(heard_, {}), orders});
            queued_ += size, ++counts_.turns;
        }
    }
    if (wake_) {
        wake_();
    }
}

void Recorder::add(const records::Record& record) {
    records_.push_back(record.SerializeAsString());
    raw_ += records_.back().size() + 20;
}

// Then the head again, so that what follows can be told to be of the same planner, though not
// replayed from here.
void Recorder::note_hole() {
    std::uint64_t turns;
    records::Record record;
    {
        const std::lock_guard lock(mutex_);
        if (hole_.turns == 0 || !queue_.empty()) {
            return;
        }
        record.mutable_hole()->set_first_at(hole_.first.time_since_epoch().count());
        record.mutable_hole()->set_last_at(hole_.last.time_since_epoch().count());
        turns = std::exchange(hole_.turns, 0);
    }
    record.mutable_hole()->set_turns(turns);
    add(record);
}

background::Spent Recorder::work() {
    if (at_ == taken_.size()) {
        taken_.clear(), at_ = 0;
        const std::lock_guard lock(mutex_);
        taken_.swap(queue_);
        queued_ = 0;
    }
    background::Spent spent;
    TimePoint now = block_since_;
    for (; at_ < taken_.size() && raw_ < kBlock; ++at_) {
        const Turn& turn = taken_[at_];
        if (records_.empty() || block_since_ == TimePoint{}) {
            block_since_ = turn.at;
        }
        now = turn.at;
        records::Record record;
        auto& to = *record.mutable_turn();
        to.set_at(turn.at.time_since_epoch().count());
        for (const Event& event : turn.events) {
            *to.add_event() = record_of(event);
        }
        for (const Order& order : turn.orders) {
            *to.add_order() = record_of(order);
        }
        add(record);
    }
    if (at_ == taken_.size()) {
        note_hole();
    }
    if (!records_.empty() && (raw_ >= kBlock || now - block_since_ >= kBlockAge)) {
        const std::uint64_t before = counts_.bytes;
        write_block(now);
        spent.bytes = static_cast<double>(counts_.bytes - before);
    }
    const std::lock_guard lock(mutex_);
    spent.more = at_ < taken_.size() || !queue_.empty() || hole_.turns > 0;
    return spent;
}

// A block that can't be written whole ends its segment, and its records are a hole in the next.
bool Recorder::write_block(TimePoint now) {
    const std::string block = block_of(records_, next_);
    const std::size_t number = records_.size();
    next_ += number;
    const auto lose = [&] {
        // What stands of it is no block; a segment without any whole one goes, as the next has its
        // name.
        if (std::exchange(file_, nullptr) && file_bytes_ == 0) {
            (void)disk_.remove(file_name_);
        }
        next_ -= number;
        records_.clear(), raw_ = 0;
        records::Record record;
        record.mutable_hole()->set_turns(number);
        record.mutable_hole()->set_last_at(now.time_since_epoch().count());
        add(record);
        const std::lock_guard lock(mutex_);
        ++counts_.failures, counts_.lost += number;
        return false;
    };
    if (file_ && (file_bytes_ + block.size() > keeping_.segment_bytes ||
                  now - segment_since_ >= keeping_.segment_age)) {
        (void)file_->sync();
        file_.reset();
    }
    if (!file_) {
        keep_within(now);
        const std::string name = name_of(next_ - number);
        file_ = disk_.create(name);
        if (!file_) {
            return lose();
        }
        file_bytes_ = 0, file_name_ = name, segment_since_ = now, ages_[name] = now;
        const std::lock_guard lock(mutex_);
        ++counts_.segments;
    }
    if (!file_->append(block)) {
        return lose();
    }
    records_.clear(), raw_ = 0, block_since_ = TimePoint{};
    file_bytes_ += block.size();
    const std::lock_guard lock(mutex_);
    counts_.bytes += block.size();
    return true;
}

void Recorder::keep_within(TimePoint now) {
    std::uint64_t all = 0;
    std::vector<Disk::Entry> ours;
    for (auto& entry : disk_.list()) {
        if (!first_of(entry.name)) {
            continue;
        }
        ages_.try_emplace(entry.name, now);  // of an earlier life: its age begins anew
        all += entry.bytes, ours.push_back(entry);
    }
    for (const auto& entry : ours) {  // oldest first
        const bool old = now - ages_.at(entry.name) >= keeping_.all_age;
        if (!old && all + keeping_.segment_bytes <= keeping_.all_bytes) {
            continue;
        }
        if (!disk_.remove(entry.name)) {
            continue;
        }
        all -= entry.bytes, ages_.erase(entry.name);
    }
}

void Recorder::close() {
    while (work().more) {
    }
    // Once more where that fails: then the hole at least is told.
    if (!records_.empty() && !write_block(block_since_)) {
        write_block(block_since_);
    }
    if (file_) {
        (void)file_->sync();
    }
    file_.reset();
}

Recorder::Counts Recorder::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

}  // namespace micaroad::record
