// What a proxy holds by the orders it was given, and the reader of those orders.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "wire_world.hpp"

namespace micaroad::scale::wire {

// One line `push`. Servers by their index.
struct PushPart {
    struct Endpoint {
        std::size_t server = 0;
        bool in_use = false;  // its weight is above 0
    };
    std::uint64_t methods = 0;  // a bit for each
    bool full = false;
    bool continued = false;
    std::vector<Endpoint> endpoints;
    std::vector<std::size_t> ejected, restored;
    std::optional<int> nonce;
};

// Absent: a proxy would reset its stream for it.
std::optional<PushPart> read_push(std::string_view line, const World& world);

class ProxyTable {
 public:
    void apply(const PushPart& part);
    bool in_use(std::size_t server) const;  // by any method, and not ejected
    std::size_t servers_in_use() const;

 private:
    void reach(std::size_t server);

    std::vector<std::uint64_t>
        methods_;  // by server: a bit for each method that has a line with it
    std::vector<bool> ejected_;
};

}  // namespace micaroad::scale::wire
