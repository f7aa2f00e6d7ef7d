// Bytes in any pieces to lines. Knows no socket; what is held of an unfinished line stands in
// buffers of a pool.
#pragma once

#include <string>
#include <string_view>

#include "protocol/buffer_pool.hpp"

namespace micaroad::protocol {

enum class LineFault { none, too_long, no_carriage_return, nul_byte, no_buffer, not_taken };
inline const char* text_of(LineFault fault) {
    switch (fault) {
        case LineFault::none:
            return "none";
        case LineFault::too_long:
            return "a line that is too long";
        case LineFault::no_carriage_return:
            return "a line that ends without CR";
        case LineFault::nul_byte:
            return "a NUL byte";
        case LineFault::no_buffer:
            return "no buffer left for its line";
        case LineFault::not_taken:
            return "a message that can't be used";
    }
    return "?";
}

class LineReader {
 public:
    static constexpr std::size_t kLongest = 1024 * 1024;  // CRLF included

    explicit LineReader(BufferPool& pool, std::size_t longest = kLongest)
        : pool_(pool), longest_(longest) {}
    void allow(std::size_t longest) { longest_ = longest; }  // from the next piece on

    // Calls line(std::string_view), without its CRLF, for each that is complete, until one gives
    // false. After a fault the stream can't be read any further.
    template <class Line>
    LineFault feed(std::string_view bytes, Line line) {
        while (!bytes.empty()) {
            const std::size_t end = bytes.find('\n');
            const std::string_view piece =
                bytes.substr(0, end == std::string_view::npos ? end : end + 1);
            bytes.remove_prefix(piece.size());
            if (held_.size() + piece.size() > longest_) {
                return LineFault::too_long;
            }
            if (piece.find('\0') != std::string_view::npos) {
                return LineFault::nul_byte;
            }
            if (end == std::string_view::npos) {
                if (!held_.append(pool_, piece)) {
                    return LineFault::no_buffer;
                }
                break;
            }
            std::string whole;
            std::string_view view = piece;
            if (!held_.empty()) {
                whole = held_.text();
                view = whole.append(piece);
            }
            if (!view.ends_with("\r\n")) {
                return LineFault::no_carriage_return;
            }
            view.remove_suffix(2);
            if (!line(view)) {
                return LineFault::not_taken;
            }
            held_.clear();  // not before: so all copies together are no larger than the pool
        }
        return LineFault::none;
    }
    bool in_mid_line() const { return !held_.empty(); }

 private:
    BufferPool& pool_;
    std::size_t longest_;
    BufferChain held_;
};

}  // namespace micaroad::protocol
