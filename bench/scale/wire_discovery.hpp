// Stand-in for discovery: one agent per planner, which serves the list and the watch over HTTP/1.1.
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
    // Called when the versions after `after` up to `up_to` are written to a planner for the first
    // time.
    using AnnouncedCallback =
        std::function<void(int planner, std::int64_t after, std::int64_t up_to)>;

    // `addresses` and `traffic` have an entry for each planner and outlive this object.
    DiscoveryAgents(Loop& loop, const World& world, std::vector<LoopbackAddress>& addresses,
                    std::vector<TrafficByRole>& traffic, AnnouncedCallback announced);
    ~DiscoveryAgents();

    void open();     // accepts connections; throws std::system_error
    void stop();     // closes all connections and refuses new ones
    void publish();  // sends the changes to every watch
    std::size_t watches() const;

 private:
    class Connection;
    static constexpr Milliseconds kHeartbeatInterval{
        2'000};  // an empty line is sent after this time without a change
    static constexpr Milliseconds kHeartbeatCheckInterval{250};

    void accept(int planner, Descriptor socket);
    void drop(const Connection& connection);
    void send_heartbeat();
    Channel::Text changes_after(std::int64_t version);
    void record_announced(int planner);

    Loop& loop_;
    const World& world_;
    std::vector<LoopbackAddress>& addresses_;
    std::vector<TrafficByRole>& traffic_;
    const AnnouncedCallback on_announced_;
    std::vector<std::int64_t> announced_versions_;  // highest version written to each planner
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::map<const Connection*, std::unique_ptr<Connection>> connections_;
    // The chunk that was built last. Most watches need the same one.
    std::int64_t cached_after_ = -1, cached_up_to_ = -1;
    Channel::Text cached_chunk_;
};

}  // namespace micaroad::scale::wire
