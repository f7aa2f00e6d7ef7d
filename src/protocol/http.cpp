#include "protocol/http.hpp"

#include <charconv>
#include <limits>
#include <utility>

#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {
namespace {

// Maximum size of a body or chunk in bytes, far below where arithmetic on sizes could overflow.
constexpr std::uint64_t kMaxSize = std::uint64_t{1} << 40;

// Position of the status in a line such as "HTTP/1.1 200 OK".
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusEnd = 12;

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

char lower_case(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equal_ignoring_case(std::string_view one, std::string_view other) {
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](char left, char right) { return lower_case(left) == lower_case(right); });
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view kBlanks = " \t";
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool parse_size(std::string_view text, int base, std::uint64_t& value) {
    return parse_integer(text, value, base) && value <= kMaxSize;
}

}  // namespace

std::string http_get(std::string_view host, std::string_view target) {
    return http_request("GET", host, target);
}

std::string http_request(std::string_view method, std::string_view host, std::string_view target) {
    std::string text(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    text.append("\r\nAccept: application/json, text/plain\r\n\r\n");
    return text;
}

bool HttpReader::end() {
    if (state_ == State::data && until_end_) {
        state_ = State::done;
    }
    return state_ == State::done;
}

std::string_view HttpReader::consume_body(std::string_view& bytes) {
    const std::uint64_t size = std::min<std::uint64_t>(bytes_left_, bytes.size());
    const std::string_view piece = bytes.substr(0, static_cast<std::size_t>(size));
    bytes.remove_prefix(piece.size());
    bytes_left_ -= size;
    if (bytes_left_ == 0) {
        state_ = state_ == State::data ? State::done : State::chunk_end;
    }
    return piece;
}

void HttpReader::feed_line(std::string_view& bytes) {
    const std::size_t size = std::min(bytes.find('\n'), bytes.size());
    const bool ended = size < bytes.size();
    line_.append(bytes.substr(0, size));
    bytes.remove_prefix(ended ? size + 1 : size);
    if (line_.size() > kMaxLineBytes) {
        state_ = State::broken;
        return;
    }
    if (!ended) {
        return;
    }
    const std::string complete = std::exchange(line_, {});
    std::string_view line = complete;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    read_line(line);
}

void HttpReader::read_line(std::string_view line) {
    switch (state_) {
        case State::status:
            read_status(line);
            return;
        case State::header:
            if (line.empty()) {
                begin_body();
            } else {
                read_header(line);
            }
            return;
        case State::chunk_size:
            read_chunk_size(line);
            return;
        case State::chunk_end:
            state_ = line.empty() ? State::chunk_size : State::broken;
            return;
        case State::trailer:
            read_trailer(line);
            return;
        case State::broken:
        case State::data:
        case State::chunk:
        case State::done:
            return;  // these states read no lines
    }
}

void HttpReader::read_status(std::string_view line) {
    status_ = 0;
    if (line.size() >= kStatusEnd && line.starts_with(kVersionPrefix) &&
        line[kStatusBegin - 1] == ' ') {
        std::from_chars(line.data() + kStatusBegin, line.data() + kStatusEnd, status_);
    }
    const bool known = status_ >= kFirstStatus && status_ <= kLastStatus;
    state_ = known ? State::header : State::broken;
}

void HttpReader::read_header(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        state_ = State::broken;
        return;
    }
    ++headers_;
    if (headers_ > kMaxHeaders) {
        state_ = State::broken;
        return;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equal_ignoring_case(name, "transfer-encoding")) {
        chunked_ = equal_ignoring_case(value, "chunked");
        if (!chunked_) {
            state_ = State::broken;
        }
    } else if (equal_ignoring_case(name, "content-length")) {
        read_content_length(value);
    }
}

void HttpReader::read_content_length(std::string_view value) {
    std::uint64_t size = 0;
    if (!parse_size(value, 10, size)) {
        state_ = State::broken;
        return;
    }
    // Rejects two different lengths, as it is unknown which one an intermediary used.
    if (has_length_ && size != bytes_left_) {
        state_ = State::broken;
        return;
    }
    has_length_ = true;
    bytes_left_ = size;
}

void HttpReader::begin_body() {
    if (status_ < kFirstFinalStatus) {
        state_ = State::status;
        headers_ = 0;
    } else if (status_ == kNoContent || status_ == kNotModified) {
        state_ = State::done;
    } else if (chunked_) {
        state_ = State::chunk_size;
    } else if (has_length_) {
        state_ = bytes_left_ > 0 ? State::data : State::done;
    } else {
        until_end_ = true;
        bytes_left_ = std::numeric_limits<std::uint64_t>::max();
        state_ = State::data;
    }
}

void HttpReader::read_chunk_size(std::string_view line) {
    const std::string_view size = trimmed(line.substr(0, line.find(';')));
    if (!parse_size(size, 16, bytes_left_)) {
        state_ = State::broken;
        return;
    }
    state_ = bytes_left_ > 0 ? State::chunk : State::trailer;
}

void HttpReader::read_trailer(std::string_view line) {
    if (line.empty()) {
        state_ = State::done;
        return;
    }
    ++headers_;
    if (headers_ > kMaxHeaders) {
        state_ = State::broken;
    }
}

}  // namespace micaroad::protocol
