/// How many connections and buffers the program may hold, derived from its memory and its sockets;
/// docs/limits.md adds them up.
#pragma once

#include <cstddef>

namespace micaroad {

struct Limits {
    /// Sockets that are not for connections: 16 health checks, 3 connections to discovery while its
    /// address changes, the 3 standard files, the start file while it is read, the listener, the
    /// poller, and one for a connection that is accepted to be rejected.
    static constexpr std::size_t kReservedSockets = 16 + 3 + 3 + 1 + 1 + 1 + 1;
    /// Bytes for the program's code, the planner, the update builder, the endpoint list, the inbox
    /// and the log.
    static constexpr std::size_t kProgramBytes = 10 * 1024 * 1024;
    /// Bytes of a connection: its object, what is held of a line or an update, and what the kernel
    /// holds of it on average.
    static constexpr std::size_t kConnectionBytes = 24 * 1024;
    static constexpr std::size_t kMinUnidentified = 8;
    /// One endpoint list may have this part of the memory: an eighth. Of 128 MiB that is 16 MiB,
    /// some 120,000 entries of 132 bytes.
    static constexpr std::size_t kListShare = 8;
    static constexpr std::size_t kMinListBytes = 4 * 1024 * 1024;

    std::size_t max_connections;
    std::size_t max_unidentified;  ///< peers that have not joined, among max_connections
    std::size_t line_buffers;      ///< for lines that have arrived in part
    std::size_t update_buffers;    ///< for updates that are not sent yet
    bool sufficient;               ///< for all proxies and collectors at once
    std::size_t max_list_bytes;    ///< of one endpoint list, as EndpointListParser counts them

    /// `memory_mb` and `sockets` are what the operator allows; `proxies` and `zones` what the
    /// deployment has. Too low values are raised to those the program can run with.
    [[nodiscard]] static Limits of(std::size_t memory_mb, std::size_t sockets, std::size_t proxies,
                                   std::size_t zones);
};

}  // namespace micaroad
