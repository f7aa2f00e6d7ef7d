// Processor time, memory and quantiles.
#pragma once

#include <cstdint>
#include <vector>

namespace micaroad::scale {

// Seconds of processor time that this process has used, all threads.
double processor_seconds();

// Bytes of this process that are in memory now, and at most so far.
std::int64_t resident_bytes();
std::int64_t peak_resident_bytes();

// Of the machine, in bytes.
std::int64_t machine_memory();
std::int64_t available_memory();

// Keeps every sample, so that the largest ones are exact; there are some ten thousands.
class Samples {
 public:
    void add(double value) { values_.push_back(value); }
    std::size_t size() const { return values_.size(); }
    // The smallest value that `part` (0 to 1) of all are not above; 0 where there are none.
    double quantile(double part) const;
    double sum() const;

 private:
    std::vector<double> values_;
};

}  // namespace micaroad::scale
