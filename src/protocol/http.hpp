// An HTTP/1.1 answer, fed in any pieces: status, headers passed over but for how the body is
// framed, body.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace micaroad::protocol {

std::string http_get(std::string_view host, std::string_view target);
std::string http_request(std::string_view method, std::string_view host, std::string_view target);

class HttpReader {
 public:
    static constexpr std::size_t kLongestLine = 8 * 1024, kMostHeaders = 64;

    // Calls body(std::string_view) for what has come of the body. False once the answer can't be
    // read.
    template <class Body>
    bool feed(std::string_view bytes, Body body) {
        while (!bytes.empty() && state_ != State::done && state_ != State::broken) {
            if (state_ == State::data || state_ == State::chunk) {
                const std::size_t part =
                    static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
                body(bytes.substr(0, part));
                bytes.remove_prefix(part);
                if ((left_ -= part) == 0) {
                    state_ = state_ == State::data ? State::done : State::chunk_end;
                }
                continue;
            }
            const std::size_t end = std::min(bytes.find('\n'), bytes.size());
            line_.append(bytes.substr(0, end));
            if (line_.size() > kLongestLine) {
                state_ = State::broken;
            }
            if (end == bytes.size()) {
                break;
            }
            bytes.remove_prefix(end + 1);
            take_line();
        }
        return state_ != State::broken;
    }
    // The peer has ended the connection. False if that cuts the answer off.
    bool end();

    int status() const { return status_; }  // 0 until it is known
    bool in_body() const { return state_ >= State::data; }
    bool done() const { return state_ == State::done; }
    bool broken() const { return state_ == State::broken; }

 private:
    enum class State { status, header, broken, data, chunk_size, chunk, chunk_end, trailer, done };
    void take_line();
    void take_header(std::string_view line);
    void begin_body();

    State state_ = State::status;
    std::string line_;
    int status_ = 0;
    std::size_t headers_ = 0;
    bool chunked_ = false, sized_ = false, until_end_ = false;
    std::uint64_t left_ = 0;
};

}  // namespace micaroad::protocol
