#include "net/http_status.hpp"

#include <string_view>

#include "protocol/http.hpp"

namespace micaroad::net {

namespace {

bool has_come(const protocol::HttpReader& http, ResponsePart part) {
    return part == ResponsePart::status_line ? http.status() != 0 : http.in_body();
}

}  // namespace

std::optional<int> receive_http_status(const Socket& socket, std::span<char> buffer,
                                       ResponsePart awaited,
                                       std::chrono::steady_clock::time_point deadline) {
    protocol::HttpReader http;
    while (!has_come(http, awaited)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        const ssize_t received = socket.receive(buffer.data(), buffer.size());
        if (received <= 0) {
            return std::nullopt;
        }
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(received));
        if (!http.feed(bytes, [](std::string_view /*body*/) {})) {
            return std::nullopt;
        }
    }
    return http.status();
}

}  // namespace micaroad::net
