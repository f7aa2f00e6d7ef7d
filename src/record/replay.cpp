#include "record/replay.hpp"

#include <fmt/format.h>

#include <optional>

#include "record/convert.hpp"
#include "record/recorder.hpp"

namespace micaroad::record {
namespace {

constexpr std::size_t kPiece = 64 * 1024;

// The orders of both sides, one by one.
std::string difference(const records::Turn& turn, const std::vector<records::Order>& now) {
    for (int i = 0; i < turn.order_size() || i < static_cast<int>(now.size()); ++i) {
        const bool here = i < turn.order_size(), there = i < static_cast<int>(now.size());
        if (here && there &&
            turn.order(i).SerializeAsString() ==
                now[static_cast<std::size_t>(i)].SerializeAsString()) {
            continue;
        }
        return fmt::format("order {}: recorded {}, now {}", i + 1,
                           here ? text_of(turn.order(i)) : "none",
                           there ? text_of(now[static_cast<std::size_t>(i)]) : "none");
    }
    return "";
}

}  // namespace

Read read_all(Disk& disk, const std::function<void(const records::Record&)>& taken) {
    Read read;
    std::optional<std::uint64_t> last;
    for (const auto& entry : disk.list()) {
        if (!Recorder::first_of(entry.name)) {
            continue;
        }
        const auto take = [&](std::uint64_t sequence, std::string_view bytes) {
            if (last && sequence <= *last) {
                return;  // it stands twice
            }
            records::Record record;
            if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
                read.troubles.push_back(
                    {entry.name, fmt::format("record {} is none", sequence), 0, bytes.size()});
                return;
            }
            // A new life begins with its head, at a sequence of its own.
            if (last && sequence != *last + 1 && !record.has_head()) {
                records::Record hole;
                hole.mutable_hole()->set_turns(sequence - *last - 1);
                read.missing += sequence - *last - 1;
                taken(hole);
            }
            last = sequence;
            ++read.records;
            read.heads += record.has_head();
            if (record.has_hole()) {
                read.missing += record.hole().turns();
            }
            if (record.has_turn()) {
                ++read.turns, read.events += static_cast<std::uint64_t>(record.turn().event_size()),
                    read.orders += static_cast<std::uint64_t>(record.turn().order_size());
            }
            taken(record);
        };
        BlockReader blocks(take);
        for (std::uint64_t at = 0;;) {
            const auto bytes = disk.read(entry.name, at, kPiece);
            if (!bytes) {
                read.troubles.push_back({entry.name, "can't be read", at, 0});
            }
            if (!bytes || bytes->empty()) {
                break;
            }
            blocks.feed(*bytes), at += bytes->size(), read.bytes += bytes->size();
        }
        blocks.finish();
        for (const Damage& damage : blocks.damages()) {
            read.troubles.push_back({entry.name, damage.what, damage.at, damage.bytes});
        }
    }
    return read;
}

Verdict replay(Disk& disk) {
    Verdict verdict;
    std::optional<Planner> planner;
    verdict.read = read_all(disk, [&](const records::Record& record) {
        if (!verdict.same) {
            return;
        }
        if (record.has_head()) {
            planner.reset();
            if (record.head().schema() > kSchema) {
                verdict.same = false,
                verdict.why = fmt::format("schema {}, this build reads up to {}",
                                          record.head().schema(), kSchema);
                return;
            }
            planner.emplace(settings_of(record.head().terms()), record.head().seed());
        } else if (record.has_hole()) {
            planner.reset();
        } else if (record.has_turn()) {
            const records::Turn& turn = record.turn();
            if (!planner) {
                return (void)++verdict.skipped;
            }
            for (const auto& event : turn.event()) {
                if (auto heard = event_of(event)) {
                    planner->handle(std::move(*heard));
                }
            }
            std::vector<records::Order> orders;
            for (const Order& order : planner->decide(TimePoint{Duration{turn.at()}})) {
                orders.push_back(record_of(order));
            }
            ++verdict.replayed;
            verdict.why = difference(turn, orders);
            verdict.same = verdict.why.empty(), verdict.at = TimePoint{Duration{turn.at()}};
        }
    });
    return verdict;
}

}  // namespace micaroad::record
