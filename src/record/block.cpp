#include "record/block.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <cstring>
#include <stdexcept>

namespace micaroad::record {
namespace {

constexpr std::string_view kMagic = "MRB1";
constexpr std::size_t kRecordHeader = 20;
constexpr int kLevel = 3;  // zstd's usual: a recording costs little beside the decisions
constexpr std::size_t kMostDamages = 1'000;

template <class Number>
void put(std::string& to, Number number) {
    for (std::size_t i = 0; i < sizeof number; ++i) {
        to += static_cast<char>(number >> 8 * i & 0xff);
    }
}
template <class Number>
Number get(std::string_view from, std::size_t at) {
    Number number = 0;
    for (std::size_t i = 0; i < sizeof number; ++i) {
        number |= static_cast<Number>(static_cast<unsigned char>(from[at + i])) << 8 * i;
    }
    return number;
}

}  // namespace

std::string block_of(const std::vector<std::string>& records, std::uint64_t first) {
    std::string raw;
    std::uint64_t sequence = first;
    for (const std::string& record : records) {
        put(raw, static_cast<std::uint32_t>(record.size()));
        put(raw, sequence);
        put(raw, static_cast<std::uint64_t>(XXH64(record.data(), record.size(), sequence)));
        raw += record;
        ++sequence;
    }
    if (raw.size() > kLongestBlock) {
        throw std::length_error("a block over its longest");
    }
    std::string packed(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), raw.data(), raw.size(), kLevel);
    if (ZSTD_isError(size)) {
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    std::string block(kMagic);
    put(block, static_cast<std::uint32_t>(packed.size()));
    put(block, static_cast<std::uint32_t>(raw.size()));
    put(block, static_cast<std::uint32_t>(records.size()));
    put(block, first);
    const std::uint64_t header = XXH64(block.data(), block.size(), 0);
    put(block, static_cast<std::uint64_t>(XXH64(packed.data(), packed.size(), header)));
    return block + packed;
}

void BlockReader::feed(std::string_view bytes) {
    held_ += bytes;
    parse(false);
}

void BlockReader::finish() {
    parse(true);
}

void BlockReader::damage(std::uint64_t bytes, std::string what) {
    const bool goes_on = !damages_.empty() && damages_.back().at + damages_.back().bytes == passed_;
    if (goes_on) {
        damages_.back().bytes += bytes;
    } else if (damages_.size() < kMostDamages) {
        damages_.push_back({passed_, bytes, std::move(what)});
    }
    held_.erase(0, bytes), passed_ += bytes;
}

void BlockReader::parse(bool last) {
    for (;;) {
        if (held_.empty()) {
            return;
        }
        const std::size_t at = held_.find(kMagic);
        if (at != 0) {
            // Up to the next beginning of a block, or what may be one cut in two by the feeding.
            const std::size_t keep = at != std::string::npos ? held_.size() - at
                                     : last                  ? 0
                                            : std::min(held_.size(), kMagic.size() - 1);
            if (held_.size() == keep) {
                return;
            }
            damage(held_.size() - keep, "no block begins here");
            continue;
        }
        const auto cut = [&](const char* what) {
            if (!last) {
                return true;
            }
            damage(kMagic.size(), what);  // another block may begin within
            return false;
        };
        if (held_.size() < kBlockHeader) {
            if (cut("a block that was cut")) {
                return;
            }
            continue;
        }
        const auto packed = get<std::uint32_t>(held_, 4), raw = get<std::uint32_t>(held_, 8);
        if (packed > kLongestBlock || raw > kLongestBlock) {
            damage(kMagic.size(), "a block of impossible length");
            continue;
        }
        if (held_.size() < kBlockHeader + packed) {
            if (cut("a block that was cut")) {
                return;
            }
            continue;
        }
        std::string what;
        if (take(std::string_view(held_).substr(0, kBlockHeader + packed), what)) {
            held_.erase(0, kBlockHeader + packed), passed_ += kBlockHeader + packed;
        } else {
            damage(kMagic.size(), what);
        }
    }
}

bool BlockReader::take(std::string_view block, std::string& what) {
    const std::string_view packed = block.substr(kBlockHeader);
    const std::uint64_t header = XXH64(block.data(), kBlockHeader - 8, 0);
    if (get<std::uint64_t>(block, kBlockHeader - 8) !=
        XXH64(packed.data(), packed.size(), header)) {
        return what = "a block whose checksum is wrong", false;
    }
    std::string raw(get<std::uint32_t>(block, 8), '\0');
    const std::size_t size = ZSTD_decompress(raw.data(), raw.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) || size != raw.size()) {
        return what = "a block that can't be unpacked", false;
    }
    std::vector<std::pair<std::uint64_t, std::string_view>> records;
    for (std::size_t at = 0; at < raw.size();) {
        if (raw.size() - at < kRecordHeader) {
            return what = "a record that was cut", false;
        }
        const auto length = get<std::uint32_t>(raw, at);
        const auto sequence = get<std::uint64_t>(raw, at + 4),
                   check = get<std::uint64_t>(raw, at + 12);
        at += kRecordHeader;
        if (raw.size() - at < length) {
            return what = "a record that was cut", false;
        }
        const std::string_view record = std::string_view(raw).substr(at, length);
        if (check != XXH64(record.data(), record.size(), sequence)) {
            return what = "a record whose checksum is wrong", false;
        }
        records.emplace_back(sequence, record), at += length;
    }
    if (records.size() != get<std::uint32_t>(block, 12)) {
        return what = "a block with another number of records", false;
    }
    for (const auto& [sequence, record] : records) {
        taken_(sequence, record);
    }
    return true;
}

}  // namespace micaroad::record
