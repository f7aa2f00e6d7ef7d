/// Splits a byte stream into the lines of the planner's protocol (PROTOCOL.md, "At the planner's
/// address"): a line ends in CRLF and contains no NUL byte. Uses no sockets, threads or clocks.
#pragma once

#include <string>
#include <string_view>

#include "protocol/buffer_pool.hpp"

namespace micaroad::protocol {

/// Why a stream cannot be read any further.
enum class LineFault {
    none,
    too_long,            ///< a line over the limit
    no_carriage_return,  ///< LF without CR before it
    nul_byte,
    no_buffer,  ///< the pool has no free block for an unfinished line
    rejected,   ///< the callback rejected a line
};

/// The fault as text, for a log line.
[[nodiscard]] const char* describe(LineFault fault);

/// Collects the lines of one stream. Holds the start of an unfinished line in blocks of a pool. Not
/// synchronized.
class LineReader {
 public:
    /// The protocol's maximum line length in bytes, including CRLF.
    static constexpr std::size_t kMaxLineBytes = 1024 * 1024;

    /// The pool must outlive the reader. `max_line_bytes` limits the length of a line, including
    /// CRLF.
    explicit LineReader(BufferPool& pool, std::size_t max_line_bytes = kMaxLineBytes)
        : pool_(pool), max_line_bytes_(max_line_bytes) {}

    /// Changes the limit, starting with the next line or piece of a line. The callback of feed()
    /// may call it.
    void set_max_line_bytes(std::size_t max_line_bytes) { max_line_bytes_ = max_line_bytes; }

    /// Calls on_line(std::string_view) with each complete line, without its CRLF, until a call
    /// returns false. After a fault, the stream cannot be read any further.
    template <class OnLine>
    [[nodiscard]] LineFault feed(std::string_view bytes, OnLine on_line) {
        while (!bytes.empty()) {
            const std::string_view piece = consume_piece(bytes);
            const LineFault fault = check(piece);
            if (fault != LineFault::none) {
                return fault;
            }
            if (!piece.ends_with('\n')) {
                return held_.append(pool_, piece) ? LineFault::none : LineFault::no_buffer;
            }
            std::string joined;
            std::string_view line = join(piece, joined);
            if (!line.ends_with(kLineEnd)) {
                return LineFault::no_carriage_return;
            }
            line.remove_suffix(kLineEnd.size());
            if (!on_line(line)) {
                return LineFault::rejected;
            }
            // Cleared only after the call, so that all copies of lines together are no larger than
            // the pool.
            held_.clear();
        }
        return LineFault::none;
    }

    /// Whether the start of an unfinished line is held.
    [[nodiscard]] bool in_mid_line() const { return !held_.empty(); }
    /// Number of bytes held of an unfinished line.
    [[nodiscard]] std::size_t held_bytes() const { return held_.size(); }

 private:
    static constexpr std::string_view kLineEnd = "\r\n";

    // Removes and returns the bytes up to and including the first LF, or all if there is none.
    static std::string_view consume_piece(std::string_view& bytes);
    // Checks for faults that are visible before the line has ended.
    [[nodiscard]] LineFault check(std::string_view piece) const;
    // Returns the line that `piece` ends: `piece` itself, or a copy in `storage` that starts with
    // the held bytes.
    [[nodiscard]] std::string_view join(std::string_view piece, std::string& storage) const;

    BufferPool& pool_;
    std::size_t max_line_bytes_;
    BufferChain held_;
};

}  // namespace micaroad::protocol
