// Reads processor time and memory use, and computes quantiles.
#pragma once

#include <cstdint>
#include <vector>

namespace micaroad::scale {

// Processor seconds that all threads of this process have used.
double processor_seconds();

// Resident memory of this process now, and its peak so far.
std::int64_t resident_bytes();
std::int64_t peak_resident_bytes();

// Total and available memory of the machine, in bytes.
std::int64_t machine_memory();
std::int64_t available_memory();

// Keeps every sample, so that the largest ones are exact. A run has some ten thousand samples.
class Samples {
 public:
    void add(double value) { values_.push_back(value); }
    std::size_t size() const { return values_.size(); }
    // The smallest sample that is at least as large as the given fraction (0 to 1) of all samples;
    // 0 if there are no samples.
    double quantile(double fraction) const;
    double sum() const;

 private:
    std::vector<double> values_;
};

}  // namespace micaroad::scale
