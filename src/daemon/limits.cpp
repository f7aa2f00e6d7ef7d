#include "daemon/limits.hpp"

#include <algorithm>

#include "protocol/buffer_pool.hpp"

namespace micaroad {
namespace {

constexpr std::size_t kMinMemoryMb = 16;
constexpr std::size_t kMinConnections = 16;

// One eighth of the memory is for updates that wait to be sent, one sixteenth for partially
// received lines, and one sixteenth for lines that are copied for parsing: together a quarter.
constexpr std::size_t kUpdateBufferShare = 8;
constexpr std::size_t kLineBufferShare = 16;
constexpr std::size_t kBufferShare = 4;

std::size_t connections_by_memory(std::size_t memory_bytes) {
    const std::size_t buffers = memory_bytes / kBufferShare;
    const std::size_t program = std::min(Limits::kProgramBytes, memory_bytes / 2);
    return (memory_bytes - buffers - program) / Limits::kConnectionBytes;
}

std::size_t connections_by_sockets(std::size_t sockets) {
    return std::max(sockets, Limits::kReservedSockets + kMinConnections) - Limits::kReservedSockets;
}

}  // namespace

Limits Limits::of(std::size_t memory_mb, std::size_t sockets, std::size_t proxies,
                  std::size_t zones) {
    const std::size_t memory_bytes = std::max(memory_mb, kMinMemoryMb) * 1024 * 1024;
    Limits limits{};
    limits.update_buffers = memory_bytes / kUpdateBufferShare / protocol::BufferPool::kBlockBytes;
    limits.line_buffers = memory_bytes / kLineBufferShare / protocol::BufferPool::kBlockBytes;
    limits.max_list_bytes = std::max(memory_bytes / kListShare, kMinListBytes);
    limits.max_connections =
        std::min(connections_by_memory(memory_bytes), connections_by_sockets(sockets));
    // There is one collector for each zone, which may reconnect before its old connection ends.
    const std::size_t identified = proxies + 2 * zones;
    limits.sufficient = identified + kMinUnidentified <= limits.max_connections;
    // All proxies may connect within a second, and each is an unidentified peer until it joins, so
    // at least a quarter of the connections is available to unidentified peers. Idle ones are
    // closed to make room for others.
    const std::size_t remaining =
        limits.sufficient ? limits.max_connections - identified : kMinUnidentified;
    limits.max_unidentified = std::max({remaining, limits.max_connections / 4, kMinUnidentified});
    return limits;
}

}  // namespace micaroad
