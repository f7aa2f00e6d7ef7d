/// Splits a byte stream into the lines of the planner's protocol (PROTOCOL.md, "At the planner's
/// address"): a line ends in CRLF and has no NUL byte. Bytes in, lines out; no sockets, threads or
/// clocks.
#pragma once

#include <string>
#include <string_view>

#include "protocol/buffer_pool.hpp"

namespace micaroad::protocol {

/// Why a stream can't be read any further.
enum class LineFault {
    none,
    too_long,            ///< a line over the bound
    no_carriage_return,  ///< LF without CR before it
    nul_byte,
    no_buffer,  ///< the pool has no block left for the start of a line
    rejected,   ///< the callback rejected a line
};

/// The fault in words, for a log line.
[[nodiscard]] const char* describe(LineFault fault);

/// Collects the lines of one stream. Of an unfinished line the start is held in blocks of a pool.
/// Not synchronized.
class LineReader {
 public:
    /// The protocol's bound of a line in bytes, CRLF included.
    static constexpr std::size_t kMaxLineBytes = 1024 * 1024;

    /// The pool outlives the reader. `longest` bounds a line in bytes, CRLF included.
    explicit LineReader(BufferPool& pool, std::size_t max_line_bytes = kMaxLineBytes)
        : pool_(pool), max_line_bytes_(max_line_bytes) {}

    /// Changes the bound of a line, from the next piece of bytes on. The callback of feed() may
    /// call it.
    void set_max_line_bytes(std::size_t max_line_bytes) { max_line_bytes_ = max_line_bytes; }

    /// Calls on_line(std::string_view) with each complete line, without its CRLF, until one call
    /// returns false. After a fault the stream can't be read any further.
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
            // Cleared after the call, so that all copies together are no larger than the pool.
            held_.clear();
        }
        return LineFault::none;
    }

    /// Whether the start of an unfinished line is held.
    [[nodiscard]] bool in_mid_line() const { return !held_.empty(); }

 private:
    static constexpr std::string_view kLineEnd = "\r\n";

    // Removes from `bytes` all up to and including the first LF, or everything if there is none.
    static std::string_view consume_piece(std::string_view& bytes);
    // The faults that show before the line has ended.
    [[nodiscard]] LineFault check(std::string_view piece) const;
    // The whole line that `piece` ends: `piece` itself, or a copy in `storage` with what is held.
    [[nodiscard]] std::string_view join(std::string_view piece, std::string& storage) const;

    BufferPool& pool_;
    std::size_t max_line_bytes_;
    BufferChain held_;
};

}  // namespace micaroad::protocol
