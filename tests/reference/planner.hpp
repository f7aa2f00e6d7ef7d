// The plain reference's planner: the same events and orders as micaroad::Planner, none of its shortcuts.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad::reference {

class Planner {
 public:
    Planner(Terms terms, std::uint64_t seed);

    void hear(Event event);
    std::vector<Order> decide(Instant now);

 private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace micaroad::reference
