/// The byte format of a recording: a sequence of blocks that can be read independently. The records
/// of a block are compressed together.
///
///   block:  "MRB1"  compressed u32  raw u32  records u32  first u64  checksum u64  zstd bytes
///   record: length u32  sequence u64  checksum u64  protobuf bytes     (within the raw bytes)
///
/// Numbers are little-endian. `compressed` and `raw` are the lengths in bytes after and before
/// compression, `records` is the number of records, and `first` the sequence number of the first
/// one. The checksum of a block is XXH64 over the header before it and the zstd bytes; that of a
/// record is XXH64 over its sequence number and its bytes. Sequence numbers count the records from
/// 0 through all segments of a recording, so that a reader detects missing and duplicate records.
///
/// Guards against files damaged by a crash or a storage fault: a reader accepts a block completely
/// or not at all, so it never returns a part of a truncated last block, and after damage it resumes
/// at the next intact block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace micaroad::record {

/// The length of a block's header in bytes.
constexpr std::size_t kBlockHeaderBytes = 32;
/// The maximum number of raw bytes of a block.
constexpr std::uint32_t kMaxRawBlockBytes = 16u << 20;

/// Encodes records in order as one block; `first_sequence` is the sequence number of the first one.
/// Throws std::length_error over kMaxRawBlockBytes and std::runtime_error if compression fails.
[[nodiscard]] std::string encode_block(const std::vector<std::string>& records,
                                       std::uint64_t first_sequence);

/// The reason why bytes are not an intact block.
enum class DamageKind {
    no_block,                 ///< the bytes do not begin with a block's magic number
    truncated_block,          ///< the input ends within the block
    invalid_length,           ///< a length in the header is over kMaxRawBlockBytes
    block_checksum,           ///< the block's checksum is wrong
    decompression,            ///< the zstd bytes can't be decompressed to the raw length
    truncated_record,         ///< the raw bytes end within a record
    record_checksum,          ///< a record's checksum is wrong
    unexpected_record_count,  ///< the number of records differs from that in the header
};

/// Human-readable text, such as "truncated block".
[[nodiscard]] std::string describe(DamageKind kind);

/// A range of the input that was skipped.
struct Damage {
    std::uint64_t offset = 0;  ///< in bytes from the beginning of the input
    std::uint64_t bytes = 0;
    DamageKind kind = DamageKind::no_block;  ///< the damage found at `offset`
};

/// Reads blocks from input that arrives in pieces of any length. Not thread-safe.
class BlockReader {
 public:
    /// Called for each record of an intact block. The bytes are valid during the call only.
    using RecordHandler = std::function<void(std::uint64_t sequence, std::string_view record)>;

    explicit BlockReader(RecordHandler on_record) : on_record_(std::move(on_record)) {}

    void feed(std::string_view bytes);
    /// Ends the input: unread bytes of an incomplete block are reported as damage.
    void finish();
    /// The ranges skipped so far, in the order of offsets; at most the first thousand.
    [[nodiscard]] const std::vector<Damage>& damages() const { return damages_; }

 private:
    void parse(bool at_end);
    [[nodiscard]] bool parse_next(bool at_end);
    [[nodiscard]] bool skip_to_magic(std::size_t magic_offset, bool at_end);
    [[nodiscard]] bool skip_if_truncated(bool at_end);
    void take_block(std::size_t bytes);
    void skip_damage(std::uint64_t bytes, DamageKind kind);
    void consume(std::uint64_t bytes);

    const RecordHandler on_record_;
    std::string buffer_;          // input that is not consumed yet
    std::uint64_t consumed_ = 0;  // bytes of the input before buffer_
    std::vector<Damage> damages_;
};

}  // namespace micaroad::record
