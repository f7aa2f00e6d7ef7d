#include "record/recording_reader.hpp"

#include <fmt/format.h>

#include <optional>
#include <string_view>
#include <utility>

#include "record/block.hpp"
#include "record/segment_name.hpp"

namespace micaroad::record {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;  // size of one read from a segment

class RecordingReader {
 public:
    using RecordHandler = std::function<void(const records::Record&)>;

    RecordingReader(Directory& directory, const RecordHandler& on_record)
        : directory_(directory), on_record_(on_record) {}

    ReadSummary read() {
        for (const Directory::Entry& entry : directory_.list()) {
            if (parse_segment_name(entry.name)) {
                read_segment(entry.name);
            }
        }
        return std::move(summary_);
    }

 private:
    void read_segment(const std::string& name) {
        BlockReader blocks([this, &name](std::uint64_t sequence, std::string_view bytes) {
            read_record(name, sequence, bytes);
        });
        read_bytes(name, blocks);
        blocks.finish();
        for (const Damage& damage : blocks.damages()) {
            summary_.faults.push_back({.segment = name,
                                       .description = describe(damage.kind),
                                       .offset = damage.offset,
                                       .bytes = damage.bytes});
        }
    }

    void read_bytes(const std::string& name, BlockReader& blocks) {
        std::uint64_t offset = 0;
        while (true) {
            const auto bytes = directory_.read(name, offset, kReadBytes);
            if (!bytes) {
                summary_.faults.push_back({.segment = name,
                                           .description = "can't be read",
                                           .offset = offset,
                                           .bytes = 0});
                return;
            }
            if (bytes->empty()) {
                return;
            }
            blocks.feed(*bytes);
            offset += bytes->size();
            summary_.bytes += bytes->size();
        }
    }

    void read_record(const std::string& segment, std::uint64_t sequence, std::string_view bytes) {
        if (last_sequence_ && sequence <= *last_sequence_) {
            return;  // a duplicate
        }
        records::Record record;
        if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            summary_.faults.push_back(
                {.segment = segment,
                 .description = fmt::format("record {} can't be parsed", sequence),
                 .offset = 0,
                 .bytes = bytes.size()});
            return;
        }
        // A jump before a header is no gap: each incarnation begins at a new sequence number.
        if (last_sequence_ && sequence != *last_sequence_ + 1 && !record.has_head()) {
            pass_gap(sequence - *last_sequence_ - 1);
        }
        last_sequence_ = sequence;
        count(record);
        on_record_(record);
    }

    void pass_gap(std::uint64_t turns) {
        records::Record gap;
        gap.mutable_hole()->set_turns(turns);
        summary_.missing_turns += turns;
        on_record_(gap);
    }

    void count(const records::Record& record) {
        ++summary_.records;
        if (record.has_head()) {
            ++summary_.headers;
        }
        if (record.has_hole()) {
            summary_.missing_turns += record.hole().turns();
        }
        if (record.has_turn()) {
            ++summary_.turns;
            summary_.events += static_cast<std::uint64_t>(record.turn().event_size());
            summary_.orders += static_cast<std::uint64_t>(record.turn().order_size());
        }
    }

    Directory& directory_;
    const RecordHandler& on_record_;
    ReadSummary summary_;
    std::optional<std::uint64_t> last_sequence_;
};

}  // namespace

ReadSummary read_recording(Directory& directory,
                           const std::function<void(const records::Record&)>& on_record) {
    return RecordingReader(directory, on_record).read();
}

}  // namespace micaroad::record
