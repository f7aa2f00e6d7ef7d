#include "record/block.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <stdexcept>
#include <tl/expected.hpp>

namespace micaroad::record {
namespace {

constexpr std::string_view kMagic = "MRB1";
// Offsets in a block's header.
constexpr std::size_t kPackedLengthAt = 4;
constexpr std::size_t kRawLengthAt = 8;
constexpr std::size_t kRecordCountAt = 12;
constexpr std::size_t kBlockChecksumAt = 24;
// Offsets in a record's header, and its length.
constexpr std::size_t kSequenceAt = 4;
constexpr std::size_t kRecordChecksumAt = 12;
constexpr std::size_t kRecordHeaderBytes = 20;

constexpr int kCompressionLevel = 3;  // zstd's default: cheap beside the decisions
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

// `header`: what stands before the checksum.
std::uint64_t block_checksum(std::string_view header, std::string_view packed) {
    const std::uint64_t seed = XXH64(header.data(), header.size(), 0);
    return XXH64(packed.data(), packed.size(), seed);
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
    std::string packed(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), raw.data(), raw.size(), kCompressionLevel);
    if (ZSTD_isError(size) != 0) {
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

// The raw bytes of a block whose length in the header is that of the block.
tl::expected<std::string, DamageKind> decompress(std::string_view block) {
    const std::string_view packed = block.substr(kBlockHeaderBytes);
    if (read_number<std::uint64_t>(block, kBlockChecksumAt) !=
        block_checksum(block.substr(0, kBlockChecksumAt), packed)) {
        return tl::unexpected(DamageKind::block_checksum);
    }
    std::string raw(read_number<std::uint32_t>(block, kRawLengthAt), '\0');
    const std::size_t size = ZSTD_decompress(raw.data(), raw.size(), packed.data(), packed.size());
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
        const auto sequence = read_number<std::uint64_t>(raw, offset + kSequenceAt);
        const auto checksum = read_number<std::uint64_t>(raw, offset + kRecordChecksumAt);
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
        throw std::length_error("a block over its longest");
    }
    const std::string packed = compress(raw);
    std::string block(kMagic);
    append_number(block, static_cast<std::uint32_t>(packed.size()));
    append_number(block, static_cast<std::uint32_t>(raw.size()));
    append_number(block, static_cast<std::uint32_t>(records.size()));
    append_number(block, first_sequence);
    append_number(block, block_checksum(block, packed));
    return block + packed;
}

std::string describe(DamageKind kind) {
    switch (kind) {
        case DamageKind::no_block:
            return "no block begins here";
        case DamageKind::truncated_block:
            return "a block that was cut";
        case DamageKind::impossible_length:
            return "a block of impossible length";
        case DamageKind::block_checksum:
            return "a block whose checksum is wrong";
        case DamageKind::decompression:
            return "a block that can't be unpacked";
        case DamageKind::truncated_record:
            return "a record that was cut";
        case DamageKind::record_checksum:
            return "a record whose checksum is wrong";
        case DamageKind::unexpected_record_count:
            return "a block with another number of records";
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

// Consumes the next block or damage. False: that takes more input.
bool BlockReader::parse_next(bool at_end) {
    const std::size_t magic_at = buffer_.find(kMagic);
    if (magic_at != 0) {
        return skip_to_magic(magic_at, at_end);
    }
    if (buffer_.size() < kBlockHeaderBytes) {
        return skip_if_truncated(at_end);
    }
    const auto packed_length = read_number<std::uint32_t>(buffer_, kPackedLengthAt);
    const auto raw_length = read_number<std::uint32_t>(buffer_, kRawLengthAt);
    if (packed_length > kMaxRawBlockBytes || raw_length > kMaxRawBlockBytes) {
        skip_damage(kMagic.size(), DamageKind::impossible_length);
        return true;
    }
    const std::size_t block_bytes = kBlockHeaderBytes + packed_length;
    if (buffer_.size() < block_bytes) {
        return skip_if_truncated(at_end);
    }
    take_block(block_bytes);
    return true;
}

bool BlockReader::skip_to_magic(std::size_t magic_at, bool at_end) {
    std::size_t kept = 0;
    if (magic_at != std::string::npos) {
        kept = buffer_.size() - magic_at;
    } else if (!at_end) {
        // The input may have been divided within a magic number.
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
    skip_damage(kMagic.size(), DamageKind::truncated_block);  // another block may begin within
    return true;
}

// Hands on all records of the block at the front, or none.
void BlockReader::take_block(std::size_t bytes) {
    const std::string_view block = std::string_view(buffer_).substr(0, bytes);
    const auto raw = decompress(block);
    if (!raw) {
        skip_damage(kMagic.size(), raw.error());
        return;
    }
    const auto records = split_records(*raw, read_number<std::uint32_t>(block, kRecordCountAt));
    if (!records) {
        skip_damage(kMagic.size(), records.error());
        return;
    }
    for (const SequencedRecord& record : *records) {
        on_record_(record.sequence, record.bytes);
    }
    consume(bytes);
}

// Damage that adjoins the last one lengthens it.
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
