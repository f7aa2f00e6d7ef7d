#include "daemon/clock.hpp"

#include <chrono>

namespace micaroad {

Clock clock_from_now() {
    using std::chrono::steady_clock, std::chrono::system_clock;
    const auto epoch = std::chrono::duration_cast<Duration>(system_clock::now().time_since_epoch());
    return [epoch, begun = steady_clock::now()] {
        return TimePoint{epoch + std::chrono::duration_cast<Duration>(steady_clock::now() - begun)};
    };
}

}  // namespace micaroad
