#include "record/replay.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "micaroad/planner.hpp"
#include "record/event_conversion.hpp"
#include "record/order_conversion.hpp"
#include "record/settings_conversion.hpp"

namespace micaroad::record {
namespace {

using RecordedOrders = google::protobuf::RepeatedPtrField<records::Order>;

std::string describe_or_none(const std::optional<records::Order>& order) {
    return order ? describe(*order) : "none";
}

std::string describe_fault(const UnsupportedSchema& fault) {
    return fmt::format("schema {}, this build reads up to {}", fault.schema, kSchemaVersion);
}

std::string describe_fault(const OrderMismatch& fault) {
    return fmt::format("order {}: recorded {}, now {}", fault.position,
                       describe_or_none(fault.recorded), describe_or_none(fault.replayed));
}

std::optional<records::Order> order_at(const RecordedOrders& orders, int index) {
    return index < orders.size() ? std::optional(orders.at(index)) : std::nullopt;
}

// Compares the serialized orders byte by byte.
std::optional<OrderMismatch> first_mismatch(const RecordedOrders& recorded,
                                            const RecordedOrders& replayed) {
    const int common = std::min(recorded.size(), replayed.size());
    int index = 0;
    while (index < common &&
           recorded[index].SerializeAsString() == replayed[index].SerializeAsString()) {
        ++index;
    }
    if (index == recorded.size() && index == replayed.size()) {
        return std::nullopt;
    }
    return OrderMismatch{.position = static_cast<std::size_t>(index) + 1,
                         .recorded = order_at(recorded, index),
                         .replayed = order_at(replayed, index)};
}

// Replays the records of a recording, which are passed to it in order.
class Replayer {
 public:
    explicit Replayer(ReplayResult& result) : result_(result) {}

    void on_record(const records::Record& record) {
        if (result_.fault) {
            return;
        }
        if (record.has_head()) {
            start_planner(record.head());
        } else if (record.has_hole()) {
            planner_.reset();
        } else if (record.has_turn()) {
            replay_turn(record.turn());
        }
    }

 private:
    void start_planner(const records::Head& header) {
        planner_.reset();
        if (header.schema() > kSchemaVersion) {
            result_.fault = UnsupportedSchema{.schema = header.schema()};
            return;
        }
        planner_.emplace(settings_from_record(header.terms()), header.seed());
    }

    void replay_turn(const records::Turn& turn) {
        if (!planner_) {
            ++result_.skipped_turns;
            return;
        }
        for (const records::Event& record : turn.event()) {
            if (std::optional<Event> event = event_from_record(record)) {
                planner_->handle(std::move(*event));
            }
        }
        const TimePoint at{Duration{turn.at()}};
        RecordedOrders replayed;
        for (const Order& order : planner_->decide(at)) {
            *replayed.Add() = to_record(order);
        }
        ++result_.replayed_turns;
        result_.last_turn_at = at;
        if (const auto mismatch = first_mismatch(turn.order(), replayed)) {
            result_.fault = *mismatch;
        }
    }

    ReplayResult& result_;
    std::optional<Planner> planner_;  // absent before the first header and after a gap
};

}  // namespace

std::string describe(const ReplayFault& fault) {
    return std::visit([](const auto& concrete_fault) { return describe_fault(concrete_fault); },
                      fault);
}

ReplayResult replay(Directory& directory) {
    ReplayResult result;
    Replayer replayer(result);
    result.summary = read_recording(
        directory, [&replayer](const records::Record& record) { replayer.on_record(record); });
    return result;
}

}  // namespace micaroad::record
