// Stand-ins for proxies: each has a stream to its planner, reports its demand, applies the updates
// that it receives and acknowledges each nonce.
#pragma once

#include <memory>
#include <vector>

#include "wire_channel.hpp"
#include "wire_proxy_table.hpp"
#include "wire_traffic.hpp"
#include "wire_world.hpp"

namespace micaroad::scale::wire {

class ProxyFleet {
 public:
    // Planners numbered below `real_planners` are real: the tables of their proxies are tracked.
    // `planners` and `traffic` have an entry for each planner. All referenced
    // objects must outlive this one.
    ProxyFleet(Loop& loop, const World& world, const std::vector<LoopbackAddress>& planners,
               int real_planners, std::vector<TrafficByRole>& traffic, InForce& in_force);
    ~ProxyFleet();

    void dial_all();
    // Closes all streams of a planner and connects them again immediately.
    void redial(int planner);
    // Times from the last connection attempt of each proxy of the planner to its first message, in
    // milliseconds, sorted.
    std::vector<double> first_message_times(int planner) const;

    void announced(int planner, const std::vector<std::size_t>& ended, TimePoint now);

    int joined(int planner) const;                   // open streams
    int with_first_message(int planner) const;       // of these, those that have received a message
    double mean_table_size(int planner) const;       // servers in use per proxy; real planners only
    std::int64_t broken() const { return broken_; }  // streams closed by the planner or an error
    std::int64_t unreadable() const {
        return unreadable_;
    }  // messages for which a stream was reset

 private:
    class Proxy;
    static constexpr int kReportSlots = 20;  // reports are spread over the report interval

    void report(int slot);
    template <class Task>
    void for_each_proxy(int planner, const Task& task) const;

    Loop& loop_;
    const World& world_;
    const std::vector<LoopbackAddress>& planners_;
    std::vector<TrafficByRole>& traffic_;
    InForce& in_force_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::int64_t broken_ = 0, unreadable_ = 0;
    int next_slot_ = 0;
};

}  // namespace micaroad::scale::wire
