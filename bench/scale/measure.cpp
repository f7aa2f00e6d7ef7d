#include "measure.hpp"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <numeric>
#include <string>

namespace micaroad::scale {
namespace {

constexpr std::int64_t kKibibyte = 1'024;

// The value of a line "Name:   123 kB" in a file of /proc, in bytes; 0 if there is no such line.
std::int64_t proc_bytes(const char* path, const std::string& name) {
    std::ifstream file(path);
    for (std::string word; file >> word;) {
        std::int64_t kibibytes = 0;
        if (word == name && file >> kibibytes) {
            return kibibytes * kKibibyte;
        }
    }
    return 0;
}

}  // namespace

double processor_seconds() {
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

std::int64_t resident_bytes() {
    return proc_bytes("/proc/self/status", "VmRSS:");
}
std::int64_t peak_resident_bytes() {
    return proc_bytes("/proc/self/status", "VmHWM:");
}
std::int64_t machine_memory() {
    return proc_bytes("/proc/meminfo", "MemTotal:");
}
std::int64_t available_memory() {
    return proc_bytes("/proc/meminfo", "MemAvailable:");
}

double Samples::quantile(double fraction) const {
    if (values_.empty()) {
        return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const double rank =
        std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

double Samples::sum() const {
    return std::accumulate(values_.begin(), values_.end(), 0.0);
}

}  // namespace micaroad::scale
