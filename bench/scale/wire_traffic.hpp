// Counts the traffic between planners and stand-ins, as seen by the stand-ins, and measures how
// long a change takes until it is in force.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "wire_loop.hpp"

namespace micaroad::scale::wire {

// Directions are those of the planner: `in` is what it receives.
struct Traffic {
    std::int64_t bytes_in = 0, bytes_out = 0;
    std::int64_t messages_in = 0, messages_out = 0;
    std::int64_t nonces_out = 0;  // those of messages_out that request an acknowledgement

    Traffic& operator+=(const Traffic& other);
    Traffic operator-(const Traffic& other) const;
};

// The traffic of one planner, by the role of the peer.
using TrafficByRole = std::array<Traffic, kRoles>;
inline Traffic& of(TrafficByRole& traffic, Role role) {
    return traffic[static_cast<std::size_t>(role)];
}

// Measures the time from announcing a server's end to a planner until a proxy of that planner no
// longer uses the server.
class InForce {
 public:
    struct Result {
        std::vector<double> milliseconds;  // sorted; one for each proxy and server
        std::int64_t not_in_use =
            0;  // proxies that did not use the server when its end was announced
        std::int64_t overtaken = 0;  // the server returned before the proxy stopped using it
    };

    void announced(int proxy, std::size_t server, TimePoint now, bool in_use);
    void closed(int proxy, std::size_t server, TimePoint now);
    void server_returned(std::size_t server);
    // Ended servers that a proxy still uses, with the times of announcement; null if there are
    // none.
    const std::map<std::size_t, TimePoint>* awaited(int proxy) const;
    std::int64_t pending() const { return pending_; }
    Result take();  // returns and resets the result; pending servers stay pending

 private:
    std::map<int, std::map<std::size_t, TimePoint>> awaited_;
    std::int64_t pending_ = 0;
    Result result_;
};

// Percentile by nearest rank of sorted values; 0 if there are none.
double percentile(const std::vector<double>& sorted, double percent);

}  // namespace micaroad::scale::wire
