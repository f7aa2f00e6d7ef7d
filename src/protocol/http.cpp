#include "protocol/http.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>

#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {
namespace {

constexpr std::uint64_t kLargestPiece = std::uint64_t{1} << 40;

bool alike(std::string_view one, std::string_view other) {
    const auto small = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [&small](char a, char b) { return small(a) == small(b); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool read_size(std::string_view text, int base, std::uint64_t& value) {
    return parse_integer(text, value, base) && value <= kLargestPiece;
}

}  // namespace

std::string http_get(std::string_view host, std::string_view target) {
    return http_request("GET", host, target);
}

std::string http_request(std::string_view method, std::string_view host, std::string_view target) {
    std::string text(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    return text.append("\r\nAccept: application/json, text/plain\r\n\r\n");
}

bool HttpReader::end() {
    if (state_ == State::data && until_end_) {
        state_ = State::done;
    }
    return state_ == State::done;
}

void HttpReader::take_line() {
    std::string line = std::exchange(line_, {});
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    switch (state_) {
        case State::status:
            status_ = 0;
            if (line.size() >= 12 && line.starts_with("HTTP/1.") && line[8] == ' ') {
                std::from_chars(line.data() + 9, line.data() + 12, status_);
            }
            state_ = status_ >= 100 && status_ <= 599 ? State::header : State::broken;
            return;
        case State::header:
            line.empty() ? begin_body() : take_header(line);
            return;
        case State::chunk_size: {
            const std::string_view size = trimmed(std::string_view(line).substr(0, line.find(';')));
            if (!read_size(size, 16, left_)) {
                return (void)(state_ = State::broken);
            }
            state_ = left_ > 0 ? State::chunk : State::trailer;
            return;
        }
        case State::chunk_end:
            state_ = line.empty() ? State::chunk_size : State::broken;
            return;
        case State::trailer:
            if (line.empty()) {
                state_ = State::done;
            } else if (++headers_ > kMostHeaders) {
                state_ = State::broken;
            }
            return;
        default:
            return;
    }
}

void HttpReader::take_header(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos || ++headers_ > kMostHeaders) {
        return (void)(state_ = State::broken);
    }
    const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (alike(name, "transfer-encoding")) {
        chunked_ = alike(value, "chunked");
        if (!chunked_) {
            state_ = State::broken;
        }
    } else if (alike(name, "content-length")) {
        std::uint64_t size = 0;
        if (!read_size(value, 10, size) || (sized_ && size != left_)) {
            return (void)(state_ = State::broken);
        }
        sized_ = true, left_ = size;
    }
}

void HttpReader::begin_body() {
    if (status_ < 200) {  // an interim answer: the one that counts follows
        state_ = State::status, headers_ = 0;
    } else if (status_ == 204 || status_ == 304) {
        state_ = State::done;
    } else if (chunked_) {
        state_ = State::chunk_size;
    } else if (sized_) {
        state_ = left_ > 0 ? State::data : State::done;
    } else {
        until_end_ = true, left_ = std::numeric_limits<std::uint64_t>::max();
        state_ = State::data;
    }
}

}  // namespace micaroad::protocol
