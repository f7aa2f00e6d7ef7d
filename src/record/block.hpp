// The bytes of a recording: blocks that stand for themselves, each some records compressed
// together.
//
//   block:  "MRB1"  packed u32  raw u32  records u32  first u64  check u64   packed bytes (zstd)
//   record: length u32  sequence u64  check u64  protobuf bytes             (within the raw bytes)
//
// Numbers are little-endian. `check` of a block is XXH64 over the header before it and the packed
// bytes; of a record over its sequence and bytes. Sequences count records from 0 through all
// segments of a recording, so that a record that is missing or stands twice is seen. A block is
// written whole or not at all as far as a reader is concerned: what a cut leaves of the last one is
// not read. Behind damage, reading goes on at the next block that is whole.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::record {

constexpr std::size_t kBlockHeader = 32;
constexpr std::uint32_t kLongestBlock = 16u << 20;  // raw bytes

// Records in order, the first of them with that sequence.
std::string block_of(const std::vector<std::string>& records, std::uint64_t first);

struct Damage {
    std::uint64_t at = 0;  // bytes from the beginning of what was fed
    std::uint64_t bytes = 0;
    std::string what;
};

// Fed bytes in any pieces.
class BlockReader {
 public:
    using Taken = std::function<void(std::uint64_t sequence, std::string_view record)>;
    explicit BlockReader(Taken taken) : taken_(std::move(taken)) {}

    void feed(std::string_view bytes);
    void finish();  // what is left is a block that was cut
    const std::vector<Damage>& damages() const { return damages_; }

 private:
    void parse(bool last);
    void damage(std::uint64_t bytes, std::string what);
    // False: it is spoilt, and nothing of it was taken.
    bool take(std::string_view block, std::string& what);

    const Taken taken_;
    std::string held_;
    std::uint64_t passed_ = 0;  // bytes before held_
    std::vector<Damage> damages_;
};

}  // namespace micaroad::record
