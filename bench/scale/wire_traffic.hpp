// What passes between a planner and those around it, counted where the stand-ins send and receive
// it, and how long a change takes until it is in force.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "wire_loop.hpp"

namespace micaroad::scale::wire {

// Seen from the planner: `in` is what it is told.
struct Traffic {
    std::int64_t bytes_in = 0, bytes_out = 0;
    std::int64_t messages_in = 0, messages_out = 0;
    std::int64_t nonces_out = 0;  // messages that ask for an answer, among messages_out

    Traffic& operator+=(const Traffic& other);
    Traffic operator-(const Traffic& other) const;
};

// Of one planner, by the role at the other end.
using TrafficByRole = std::array<Traffic, kRoles>;
inline Traffic& of(TrafficByRole& traffic, Role role) {
    return traffic[static_cast<std::size_t>(role)];
}

// From a server's end told to a planner until a proxy of that planner sends it nothing any more.
class InForce {
 public:
    struct Result {
        std::vector<double> milliseconds;  // sorted: of each proxy and server
        std::int64_t not_holding = 0;      // proxies that did not use the server when it was told
        std::int64_t overtaken = 0;        // the server came back before
    };

    void told(int proxy, std::size_t server, TimePoint now, bool in_use);
    void closed(int proxy, std::size_t server, TimePoint now);
    void came_back(std::size_t server);
    // Servers that a proxy is yet to stop using; absent: none.
    const std::map<std::size_t, TimePoint>* awaited(int proxy) const;
    std::int64_t pending() const { return pending_; }
    Result take();  // and begins anew; what is pending stays so

 private:
    std::map<int, std::map<std::size_t, TimePoint>> awaited_;
    std::int64_t pending_ = 0;
    Result result_;
};

// Nearest rank in sorted values; 0 if there are none.
double percentile(const std::vector<double>& sorted, double percent);

}  // namespace micaroad::scale::wire
