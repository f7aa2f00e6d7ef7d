#include "daemon/clock.hpp"

#include <chrono>

namespace micaroad {

Clock clock_from_now() {
    using std::chrono::duration_cast;
    using std::chrono::steady_clock;
    using std::chrono::system_clock;
    const auto epoch = duration_cast<Duration>(system_clock::now().time_since_epoch());
    return [epoch, start = steady_clock::now()] {
        return TimePoint{epoch + duration_cast<Duration>(steady_clock::now() - start)};
    };
}

}  // namespace micaroad
