// Stand-ins for collectors: each zone has one connection to every planner and sends load reports on
// it.
#pragma once

#include <memory>
#include <vector>

#include "wire_channel.hpp"
#include "wire_traffic.hpp"
#include "wire_world.hpp"

namespace micaroad::scale::wire {

class CollectorFleet {
 public:
    // `planners` and `traffic` have an entry for each planner and outlive this object, as does
    // `world`.
    CollectorFleet(Loop& loop, World& world, const std::vector<LoopbackAddress>& planners,
                   std::vector<TrafficByRole>& traffic);
    ~CollectorFleet();

    void dial_all();
    std::int64_t connected() const;
    // Batches of reports that were not sent because the planner had left too many bytes unread.
    std::int64_t dropped() const { return dropped_; }

 private:
    class Collector;
    static constexpr std::size_t kMaxQueuedBytes =
        4 * 1024 * 1024;  // bytes that a planner may leave unread

    void report(int zone);
    void start_reports(int zone);

    Loop& loop_;
    World& world_;
    const std::vector<LoopbackAddress>& planners_;
    std::vector<TrafficByRole>& traffic_;
    std::vector<std::unique_ptr<Collector>> collectors_;
    std::int64_t dropped_ = 0;
};

}  // namespace micaroad::scale::wire
