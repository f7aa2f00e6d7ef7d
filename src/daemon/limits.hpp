// What the program may hold, derived from the limits it is told; docs/architecture.md has the sum.
#pragma once

#include <algorithm>
#include <cstddef>

#include "protocol/buffer_pool.hpp"

namespace micaroad {

struct Limits {
    std::size_t connections, unidentified;  // unidentified peers among them
    std::size_t line_buffers, out_buffers;  // for lines in the making, and for orders
    bool enough;                            // for all proxies and collectors at once
    std::size_t
        list_bytes;  // that one of discovery's lists may have, as EndpointListParser counts them

    // What is not for connections: 16 probes, 3 addresses of discovery while it changes, the
    // standard files, the start file while it is read, listener, poller, and one who is accepted to
    // be turned away.
    static constexpr std::size_t kSocketsKept = 16 + 3 + 3 + 1 + 1 + 1 + 1;
    static constexpr std::size_t kProgram =
        10 * 1024 * 1024;  // code, module, update_builder, list, inbox, log
    // A connection: its object, what is held of a line or an order, what the kernel holds on a
    // usual day.
    static constexpr std::size_t kConnection = 24 * 1024;
    static constexpr std::size_t kLeastUnidentified = 8;
    // Of the memory, what one list may have in bytes: at 128 MB 16 MiB, some 120,000 servers of 132
    // bytes.
    static constexpr std::size_t kListShare = 8;
    static constexpr std::size_t kLeastList = 4 * 1024 * 1024;

    static Limits of(std::size_t memory_mb, std::size_t sockets, std::size_t proxies,
                     std::size_t zones) {
        const std::size_t memory = std::max<std::size_t>(memory_mb, 16) * 1024 * 1024;
        Limits limits{};
        limits.out_buffers = memory / 8 / protocol::BufferPool::kBlock;
        limits.line_buffers =
            memory / 16 / protocol::BufferPool::kBlock;  // and as much for lines copied whole
        limits.list_bytes = std::max(memory / kListShare, kLeastList);
        const std::size_t by_memory =
            (memory - memory / 4 - std::min(kProgram, memory / 2)) / kConnection;
        const std::size_t by_sockets = std::max(sockets, kSocketsKept + 16) - kSocketsKept;
        limits.connections = std::min(by_memory, by_sockets);
        // A collector may come anew before its old connection ends.
        const std::size_t joined = proxies + 2 * zones;
        limits.enough = joined + kLeastUnidentified <= limits.connections;
        // All proxies may come within a second and are unidentified peers until they are heard: a
        // quarter of the room at least. Whoever says nothing makes way for them.
        const std::size_t beside = limits.enough ? limits.connections - joined : kLeastUnidentified;
        limits.unidentified = std::max({beside, limits.connections / 4, kLeastUnidentified});
        return limits;
    }
};

}  // namespace micaroad
