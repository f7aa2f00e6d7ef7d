// The stand-in for discovery: an agent for each planner that serves the list and the watch over
// HTTP/1.1.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wire_channel.hpp"
#include "wire_traffic.hpp"
#include "wire_world.hpp"

namespace micaroad::scale::wire {

class DiscoveryAgents {
 public:
    // Told when versions past the first and up to the second are written to a planner for the first
    // time.
    using Told = std::function<void(int planner, std::int64_t after, std::int64_t upto)>;

    // `addresses` and `traffic` have an entry for each planner and outlive this object.
    DiscoveryAgents(Loop& loop, const World& world, std::vector<LoopbackAddress>& addresses,
                    std::vector<TrafficByRole>& traffic, Told told);
    ~DiscoveryAgents();

    void open();     // takes connections; throws std::system_error
    void shut();     // resets all connections and refuses new ones
    void publish();  // what is new goes to every watch
    std::size_t watches() const;

 private:
    class Connection;
    static constexpr Milliseconds kSignOfLife{
        2'000};  // an empty line after so long without a change
    static constexpr Milliseconds kLookEvery{250};

    void take(int planner, Descriptor socket);
    void drop(const Connection& connection);
    void sign_of_life();
    Channel::Text changes_after(std::int64_t version);
    void note_told(int planner);

    Loop& loop_;
    const World& world_;
    std::vector<LoopbackAddress>& addresses_;
    std::vector<TrafficByRole>& traffic_;
    const Told told_;
    std::vector<std::int64_t> told_versions_;  // of each planner
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::map<const Connection*, std::unique_ptr<Connection>> connections_;
    // The chunk that was made last: most watches ask for the same one.
    std::int64_t made_after_ = -1, made_upto_ = -1;
    Channel::Text made_;
};

}  // namespace micaroad::scale::wire
