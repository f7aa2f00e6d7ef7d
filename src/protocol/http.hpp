/// A minimal HTTP/1.1 client for discovery and health checks (PROTOCOL.md, "Probes" and
/// "Discovery"): formats requests and parses responses. Uses no sockets, threads or clocks.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace micaroad::protocol {

/// Formats a GET request without a body.
[[nodiscard]] std::string http_get(std::string_view host, std::string_view target);
/// Formats a request without a body. The caller ensures that no argument contains a line break.
[[nodiscard]] std::string http_request(std::string_view method, std::string_view host,
                                       std::string_view target);

/// Reads the status and the body of one response that is fed in pieces of any size. Uses only the
/// headers that tell where the body ends, and skips interim responses (1xx). Not synchronized.
///
///     status -> header --> done                           204, 304 or Content-Length: 0
///       ^         |------> data --> done                  after Content-Length, or at end()
///       '--1xx----|
///                 '------> chunk_size -> chunk -> chunk_end
///                           ^   |                   |
///                           |   '-> trailer -> done |     after the chunk of size 0
///                           '-----------------------'
///
/// Any state but `done` turns into `broken` at a line that is invalid or too long.
class HttpReader {
 public:
    /// Limit for a status line, header, chunk size or trailer.
    static constexpr std::size_t kMaxLineBytes = 8 * 1024;
    /// Limit for the headers and trailers of a response together.
    static constexpr std::size_t kMaxHeaders = 64;

    /// Calls on_body(std::string_view) with each piece of the body. Ignores bytes after the
    /// response. Returns false once the response is invalid.
    template <class OnBody>
    bool feed(std::string_view bytes, OnBody on_body) {
        while (!bytes.empty() && state_ != State::done && state_ != State::broken) {
            if (state_ == State::data || state_ == State::chunk) {
                on_body(consume_body(bytes));
            } else {
                feed_line(bytes);
            }
        }
        return state_ != State::broken;
    }
    /// Reports that the peer has closed the connection. Returns false if the response is
    /// incomplete.
    bool end();

    /// The response's status, or 0 until it is known.
    [[nodiscard]] int status() const { return status_; }
    /// Whether the headers are complete.
    [[nodiscard]] bool in_body() const {
        return state_ != State::status && state_ != State::header && state_ != State::broken;
    }
    /// Whether the response is complete.
    [[nodiscard]] bool done() const { return state_ == State::done; }
    /// Whether the response is invalid.
    [[nodiscard]] bool broken() const { return state_ == State::broken; }

 private:
    enum class State { status, header, broken, data, chunk_size, chunk, chunk_end, trailer, done };

    // Removes the part of `bytes` that belongs to the body or chunk, and returns it.
    std::string_view consume_body(std::string_view& bytes);
    // Removes the part of `bytes` that belongs to the line, and reads the line once it is complete.
    void feed_line(std::string_view& bytes);
    void read_line(std::string_view line);
    void read_status(std::string_view line);
    void read_header(std::string_view line);
    void read_content_length(std::string_view value);
    void begin_body();
    void read_chunk_size(std::string_view line);
    void read_trailer(std::string_view line);

    State state_ = State::status;
    std::string line_;  // the unfinished line
    int status_ = 0;
    std::size_t headers_ = 0;  // headers and trailers so far
    bool chunked_ = false;
    bool has_length_ = false;       // bytes_left_ comes from Content-Length
    bool until_end_ = false;        // the body ends with the connection
    std::uint64_t bytes_left_ = 0;  // of the body or chunk
};

}  // namespace micaroad::protocol
