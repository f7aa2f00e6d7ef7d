/// The byte format of a recording: blocks that can each be read alone, of records that are
/// compressed together.
///
///   block:  "MRB1"  packed u32  raw u32  records u32  first u64  check u64   packed bytes (zstd)
///   record: length u32  sequence u64  check u64  protobuf bytes          (within the raw bytes)
///
/// Numbers are little-endian. `packed` and `raw` are lengths in bytes, `records` counts records and
/// `first` is the sequence number of the first. `check` of a block is XXH64 over the header before
/// it and the packed bytes; of a record over its sequence number and bytes. Sequence numbers count
/// records from 0 through all segments of a recording, so that a reader notices a record that is
/// missing or occurs twice.
///
/// Guards against files that a crash or a fault of the storage left damaged: a reader takes a block
/// completely or not at all, so that it never sees part of the last block that was cut, and after
/// damage it goes on at the next intact block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace micaroad::record {

/// Length of a block's header, in bytes.
constexpr std::size_t kBlockHeaderBytes = 32;
/// The most raw bytes of a block.
constexpr std::uint32_t kMaxRawBlockBytes = 16u << 20;

/// One block of records in order; `first_sequence` is the sequence number of the first. Throws
/// std::length_error over kMaxRawBlockBytes and std::runtime_error if compression fails.
[[nodiscard]] std::string encode_block(const std::vector<std::string>& records,
                                       std::uint64_t first_sequence);

/// Why bytes are not an intact block.
enum class DamageKind {
    no_block,                 ///< the bytes do not begin with a block's magic number
    truncated_block,          ///< the input ends within the block
    impossible_length,        ///< a length in the header is over kMaxRawBlockBytes
    block_checksum,           ///< the block's checksum is wrong
    decompression,            ///< the packed bytes can't be decompressed to the raw length
    truncated_record,         ///< the raw bytes end within a record
    record_checksum,          ///< a record's checksum is wrong
    unexpected_record_count,  ///< there are more or fewer records than the header has
};

/// For a person to read, such as "a block that was cut".
[[nodiscard]] std::string describe(DamageKind kind);

/// A range of the input that was skipped.
struct Damage {
    std::uint64_t offset = 0;  ///< in bytes from the beginning of the input
    std::uint64_t bytes = 0;
    DamageKind kind = DamageKind::no_block;  ///< of its first byte
};

/// Reads blocks from input that arrives in pieces of any length. For one thread at a time.
class BlockReader {
 public:
    /// Called for each record of an intact block. The bytes are valid during the call only.
    using RecordHandler = std::function<void(std::uint64_t sequence, std::string_view record)>;

    explicit BlockReader(RecordHandler on_record) : on_record_(std::move(on_record)) {}

    void feed(std::string_view bytes);
    /// The input is complete: what is left is a block that was cut.
    void finish();
    /// What was skipped so far, in the order of offsets; the first thousand ranges.
    [[nodiscard]] const std::vector<Damage>& damages() const { return damages_; }

 private:
    void parse(bool at_end);
    [[nodiscard]] bool parse_next(bool at_end);
    [[nodiscard]] bool skip_to_magic(std::size_t magic_at, bool at_end);
    [[nodiscard]] bool skip_if_truncated(bool at_end);
    void take_block(std::size_t bytes);
    void skip_damage(std::uint64_t bytes, DamageKind kind);
    void consume(std::uint64_t bytes);

    const RecordHandler on_record_;
    std::string buffer_;          // input that has not been consumed
    std::uint64_t consumed_ = 0;  // bytes of the input before buffer_
    std::vector<Damage> damages_;
};

}  // namespace micaroad::record
