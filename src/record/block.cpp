#include "record/block.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <stdexcept>
#include <tl/expected.hpp>

namespace micaroad::record {
namespace {

constexpr std::string_view kMagic = "MRB1";
// Byte offsets in a block's header.
constexpr std::size_t kCompressedLengthOffset = 4;
constexpr std::size_t kRawLengthOffset = 8;
constexpr std::size_t kRecordCountOffset = 12;
constexpr std::size_t kBlockChecksumOffset = 24;
// Byte offsets in a record's header, and the length of that header.
constexpr std::size_t kSequenceOffset = 4;
constexpr std::size_t kRecordChecksumOffset = 12;
constexpr std::size_t kRecordHeaderBytes = 20;

// The default of zstd. Its cost is small compared with that of the decisions.
constexpr int kCompressionLevel = 3;
constexpr std::size_t kMaxDamages = 1'000;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

template <class Number>
void append_number(std::string& bytes, Number number) {
    for (std::size_t i = 0; i < sizeof number; ++i) {
        bytes += static_cast<char>(number >> kBitsPerByte * i & kByteMask);
    }
}

template <class Number>
Number read_number(std::string_view bytes, std::size_t offset) {
    Number number = 0;
    for (std::size_t i = 0; i < sizeof number; ++i) {
        const auto byte = static_cast<unsigned char>(bytes[offset + i]);
        number |= static_cast<Number>(byte) << kBitsPerByte * i;
    }
    return number;
}

std::uint64_t record_checksum(std::string_view record, std::uint64_t sequence) {
    return XXH64(record.data(), record.size(), sequence);
}

// `header` is the part of the block's header before the checksum.
std::uint64_t block_checksum(std::string_view header, std::string_view compressed) {
    const std::uint64_t seed = XXH64(header.data(), header.size(), 0);
    return XXH64(compressed.data(), compressed.size(), seed);
}

std::string join_records(const std::vector<std::string>& records, std::uint64_t first_sequence) {
    std::string raw;
    std::uint64_t sequence = first_sequence;
    for (const std::string& record : records) {
        append_number(raw, static_cast<std::uint32_t>(record.size()));
        append_number(raw, sequence);
        append_number(raw, record_checksum(record, sequence));
        raw += record;
        ++sequence;
    }
    return raw;
}

std::string compress(std::string_view raw) {
    std::string compressed(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), raw.data(),
                                           raw.size(), kCompressionLevel);
    if (ZSTD_isError(size) != 0) {
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    return compressed;
}

// Returns the raw bytes of a block. The caller has checked that `block` has the length that its
// header says.
tl::expected<std::string, DamageKind> decompress(std::string_view block) {
    const std::string_view compressed = block.substr(kBlockHeaderBytes);
    if (read_number<std::uint64_t>(block, kBlockChecksumOffset) !=
        block_checksum(block.substr(0, kBlockChecksumOffset), compressed)) {
        return tl::unexpected(DamageKind::block_checksum);
    }
    std::string raw(read_number<std::uint32_t>(block, kRawLengthOffset), '\0');
    const std::size_t size =
        ZSTD_decompress(raw.data(), raw.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0 || size != raw.size()) {
        return tl::unexpected(DamageKind::decompression);
    }
    return raw;
}

struct SequencedRecord {
    std::uint64_t sequence = 0;
    std::string_view bytes;  // within the raw bytes of the block
};

tl::expected<std::vector<SequencedRecord>, DamageKind> split_records(std::string_view raw,
                                                                     std::size_t expected_count) {
    std::vector<SequencedRecord> records;
    std::size_t offset = 0;
    while (offset < raw.size()) {
        if (raw.size() - offset < kRecordHeaderBytes) {
            return tl::unexpected(DamageKind::truncated_record);
        }
        const auto length = read_number<std::uint32_t>(raw, offset);
        const auto sequence = read_number<std::uint64_t>(raw, offset + kSequenceOffset);
        const auto checksum = read_number<std::uint64_t>(raw, offset + kRecordChecksumOffset);
        offset += kRecordHeaderBytes;
        if (raw.size() - offset < length) {
            return tl::unexpected(DamageKind::truncated_record);
        }
        const std::string_view record = raw.substr(offset, length);
        if (checksum != record_checksum(record, sequence)) {
            return tl::unexpected(DamageKind::record_checksum);
        }
        records.push_back({.sequence = sequence, .bytes = record});
        offset += length;
    }
    if (records.size() != expected_count) {
        return tl::unexpected(DamageKind::unexpected_record_count);
    }
    return records;
}

}  // namespace

std::string encode_block(const std::vector<std::string>& records, std::uint64_t first_sequence) {
    const std::string raw = join_records(records, first_sequence);
    if (raw.size() > kMaxRawBlockBytes) {
        throw std::length_error("block exceeds the maximum raw length");
    }
    const std::string compressed = compress(raw);
    std::string block(kMagic);
    append_number(block, static_cast<std::uint32_t>(compressed.size()));
    append_number(block, static_cast<std::uint32_t>(raw.size()));
    append_number(block, static_cast<std::uint32_t>(records.size()));
    append_number(block, first_sequence);
    append_number(block, block_checksum(block, compressed));
    return block + compressed;
}

std::string describe(DamageKind kind) {
    switch (kind) {
        case DamageKind::no_block:
            return "no block at this offset";
        case DamageKind::truncated_block:
            return "truncated block";
        case DamageKind::invalid_length:
            return "block with an invalid length";
        case DamageKind::block_checksum:
            return "block with a wrong checksum";
        case DamageKind::decompression:
            return "block that can't be decompressed";
        case DamageKind::truncated_record:
            return "truncated record";
        case DamageKind::record_checksum:
            return "record with a wrong checksum";
        case DamageKind::unexpected_record_count:
            return "block with a wrong number of records";
    }
    return "";
}

void BlockReader::feed(std::string_view bytes) {
    buffer_ += bytes;
    parse(/*at_end=*/false);
}

void BlockReader::finish() {
    parse(/*at_end=*/true);
}

void BlockReader::parse(bool at_end) {
    while (!buffer_.empty() && parse_next(at_end)) {
    }
}

// Consumes the next block or damaged range. Returns false if more input is needed.
bool BlockReader::parse_next(bool at_end) {
    const std::size_t magic_offset = buffer_.find(kMagic);
    if (magic_offset != 0) {
        return skip_to_magic(magic_offset, at_end);
    }
    if (buffer_.size() < kBlockHeaderBytes) {
        return skip_if_truncated(at_end);
    }
    const auto compressed_length = read_number<std::uint32_t>(buffer_, kCompressedLengthOffset);
    const auto raw_length = read_number<std::uint32_t>(buffer_, kRawLengthOffset);
    if (compressed_length > kMaxRawBlockBytes || raw_length > kMaxRawBlockBytes) {
        skip_damage(kMagic.size(), DamageKind::invalid_length);
        return true;
    }
    const std::size_t block_bytes = kBlockHeaderBytes + compressed_length;
    if (buffer_.size() < block_bytes) {
        return skip_if_truncated(at_end);
    }
    take_block(block_bytes);
    return true;
}

bool BlockReader::skip_to_magic(std::size_t magic_offset, bool at_end) {
    std::size_t kept = 0;
    if (magic_offset != std::string::npos) {
        kept = buffer_.size() - magic_offset;
    } else if (!at_end) {
        // The buffer may end within a magic number.
        kept = std::min(buffer_.size(), kMagic.size() - 1);
    }
    if (buffer_.size() == kept) {
        return false;
    }
    skip_damage(buffer_.size() - kept, DamageKind::no_block);
    return true;
}

bool BlockReader::skip_if_truncated(bool at_end) {
    if (!at_end) {
        return false;
    }
    skip_damage(kMagic.size(), DamageKind::truncated_block);  // a block may begin in the rest
    return true;
}

// Passes on all records of the block at the front of the buffer, or none if the block is damaged.
void BlockReader::take_block(std::size_t bytes) {
    const std::string_view block = std::string_view(buffer_).substr(0, bytes);
    const auto raw = decompress(block);
    if (!raw) {
        skip_damage(kMagic.size(), raw.error());
        return;
    }
    const auto records = split_records(*raw, read_number<std::uint32_t>(block, kRecordCountOffset));
    if (!records) {
        skip_damage(kMagic.size(), records.error());
        return;
    }
    for (const SequencedRecord& record : *records) {
        on_record_(record.sequence, record.bytes);
    }
    consume(bytes);
}

// Records a damaged range and consumes it. A range that directly follows the last one extends it.
void BlockReader::skip_damage(std::uint64_t bytes, DamageKind kind) {
    const bool adjoins =
        !damages_.empty() && damages_.back().offset + damages_.back().bytes == consumed_;
    if (adjoins) {
        damages_.back().bytes += bytes;
    } else if (damages_.size() < kMaxDamages) {
        damages_.push_back({.offset = consumed_, .bytes = bytes, .kind = kind});
    }
    consume(bytes);
}

void BlockReader::consume(std::uint64_t bytes) {
    buffer_.erase(0, bytes);
    consumed_ += bytes;
}

}  // namespace micaroad::record
