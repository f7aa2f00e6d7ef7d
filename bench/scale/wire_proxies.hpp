// The stand-ins for proxies: each holds a stream to its planner, reports its demand, applies what
// it is ordered and answers each nonce.
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
    // Planners below `real_planners` are real: what their proxies hold is followed. The other
    // parameters have an entry for each planner and outlive this object.
    ProxyFleet(Loop& loop, const World& world, const std::vector<LoopbackAddress>& planners,
               int real_planners, std::vector<TrafficByRole>& traffic, InForce& in_force);
    ~ProxyFleet();

    void dial_all();
    // Ends all streams of a planner and dials them anew at once.
    void redial(int planner);
    // How long it took, from the last dialling of each proxy of the planner to its first message;
    // sorted, milliseconds.
    std::vector<double> first_message_times(int planner) const;

    void told(int planner, const std::vector<std::size_t>& ended, TimePoint now);

    int joined(int planner) const;                   // streams that stand
    int ordered(int planner) const;                  // among them: those that have got a message
    double mean_table(int planner) const;            // servers in use; real planners only
    std::int64_t broken() const { return broken_; }  // streams that ended without our doing
    std::int64_t unreadable() const {
        return unreadable_;
    }  // messages for which a stream was reset

 private:
    class Proxy;
    static constexpr int kSlots = 20;  // reports are spread over the time between two of them

    void report(int slot);
    template <class Task>
    void each_of(int planner, const Task& task) const;

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
