/// The maximum numbers of connections and buffers, derived from the memory and the sockets that the
/// program may use. docs/limits.md shows the calculation.
#pragma once

#include <cstddef>

namespace micaroad {

struct Limits {
    /// File descriptors that are not available for connections of peers: 16 health checks, 3
    /// connections to discovery while its address changes, the 3 standard streams, the start file
    /// while it is read, the listener, the poller, and one for a connection that is accepted only
    /// to be rejected.
    static constexpr std::size_t kReservedSockets = 16 + 3 + 3 + 1 + 1 + 1 + 1;
    /// Bytes for the program's code, the planner, the update builder, the endpoint list, the inbox
    /// and the log.
    static constexpr std::size_t kProgramBytes = 10 * 1024 * 1024;
    /// Bytes of a connection: its object, its part of a line or an update, and the average size of
    /// the kernel's buffers for it.
    static constexpr std::size_t kConnectionBytes = 24 * 1024;
    static constexpr std::size_t kMinUnidentified = 8;
    /// One endpoint list may use one eighth of the memory. Of 128 MiB that is 16 MiB, or about
    /// 120,000 entries of 132 bytes.
    static constexpr std::size_t kListShare = 8;
    static constexpr std::size_t kMinListBytes = 4 * 1024 * 1024;

    std::size_t max_connections;
    std::size_t max_unidentified;  ///< connections of peers that have not joined
    std::size_t line_buffers;      ///< for partially received lines
    std::size_t update_buffers;    ///< for updates that wait to be sent
    bool sufficient;               ///< enough connections for all proxies and collectors at once
    std::size_t max_list_bytes;    ///< of one endpoint list, as counted by EndpointListParser

    /// `memory_mb` and `sockets` are the operator's limits; `proxies` and `zones` are the numbers
    /// in the deployment. Values that are too low are raised to the minimum that the program needs.
    [[nodiscard]] static Limits of(std::size_t memory_mb, std::size_t sockets, std::size_t proxies,
                                   std::size_t zones);
};

}  // namespace micaroad
