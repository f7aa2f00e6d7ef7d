#include "protocol/line_reader.hpp"

namespace micaroad::protocol {

const char* describe(LineFault fault) {
    switch (fault) {
        case LineFault::none:
            return "none";
        case LineFault::too_long:
            return "line too long";
        case LineFault::no_carriage_return:
            return "line does not end in CRLF";
        case LineFault::nul_byte:
            return "line contains a NUL byte";
        case LineFault::no_buffer:
            return "no buffer left for the line";
        case LineFault::rejected:
            return "message rejected";
    }
    return "?";
}

std::string_view LineReader::consume_piece(std::string_view& bytes) {
    const std::size_t line_feed = bytes.find('\n');
    const std::size_t size = line_feed == std::string_view::npos ? bytes.size() : line_feed + 1;
    const std::string_view piece = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return piece;
}

LineFault LineReader::check(std::string_view piece) const {
    if (held_.size() + piece.size() > max_line_bytes_) {
        return LineFault::too_long;
    }
    if (piece.find('\0') != std::string_view::npos) {
        return LineFault::nul_byte;
    }
    return LineFault::none;
}

std::string_view LineReader::join(std::string_view piece, std::string& storage) const {
    if (held_.empty()) {
        return piece;
    }
    storage = held_.text();
    storage.append(piece);
    return storage;
}

}  // namespace micaroad::protocol
