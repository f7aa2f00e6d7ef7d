#include "net/watch_end.hpp"

#include <fmt/format.h>

namespace micaroad::net {

std::string describe(const WatchEnd& end) {
    switch (end.cause) {
        case WatchEndCause::no_socket:
            return "cannot create a socket";
        case WatchEndCause::no_buffer:
            return "no read buffer left";
        case WatchEndCause::not_connected:
            return "connection failed or timed out";
        case WatchEndCause::interrupted:
            return "interrupted";
        case WatchEndCause::reset:
            return "reset";
        case WatchEndCause::idle_timeout:
            return "no data received in time";
        case WatchEndCause::line_overdue:
            return "no complete line received in time";
        case WatchEndCause::peer_closed:
            return "closed by server";
        case WatchEndCause::response_complete:
            return "end of response";
        case WatchEndCause::bad_status:
            return fmt::format("status {}", end.http_status);
        case WatchEndCause::malformed_response:
            return "malformed response";
        case WatchEndCause::malformed_list:
            return "malformed list";
        case WatchEndCause::list_too_long:
            return fmt::format("list over {} bytes, the limit derived from the memory limit",
                               end.max_list_bytes);
    }
    return "unknown cause";
}

}  // namespace micaroad::net
