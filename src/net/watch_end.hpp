/// How a connection to discovery ended, as a value that is turned into text only for the log.
#pragma once

#include <cstddef>
#include <string>

namespace micaroad::net {

enum class WatchEndCause {
    no_socket,
    no_buffer,
    not_connected,
    interrupted,  ///< the source was superseded, the watch stopped, or a fetch was requested
    reset,
    idle_timeout,  ///< no byte was received in time
    line_overdue,  ///< no complete line was received in time
    peer_closed,
    response_complete,
    bad_status,
    malformed_response,
    malformed_list,
    list_too_long,
};

/// The progress of a connection to discovery when it ended.
enum class WatchPhase {
    connecting,
    requested,  ///< the request was sent, no line was received
    following,  ///< at least one line, possibly empty, was received
};

struct WatchEnd {
    WatchEndCause cause;
    WatchPhase phase = WatchPhase::connecting;
    int http_status = 0;             ///< set for bad_status
    std::size_t max_list_bytes = 0;  ///< set for list_too_long: the limit
};
std::string describe(const WatchEnd& end);

}  // namespace micaroad::net
