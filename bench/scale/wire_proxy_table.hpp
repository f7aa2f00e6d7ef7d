// The table of a proxy as set by its planner's updates, and the parser of these updates.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "wire_world.hpp"

namespace micaroad::scale::wire {

// One line `push`. Servers are identified by their index.
struct PushPart {
    struct Endpoint {
        std::size_t server = 0;
        bool in_use = false;  // its weight is greater than 0
    };
    std::uint64_t methods = 0;  // one bit per method
    bool full = false;
    bool continued = false;
    std::vector<Endpoint> endpoints;
    std::vector<std::size_t> ejected, restored;
    std::optional<int> nonce;
};

// Returns nullopt if the line is invalid, for which a proxy resets its stream.
std::optional<PushPart> parse_push(std::string_view line, const World& world);

class ProxyTable {
 public:
    void apply(const PushPart& part);
    bool in_use(std::size_t server) const;  // by at least one method, and not ejected
    std::size_t servers_in_use() const;

 private:
    void grow_to(std::size_t server);

    std::vector<std::uint64_t>
        methods_;  // per server: one bit for each method with an entry for it
    std::vector<bool> ejected_;
};

}  // namespace micaroad::scale::wire
