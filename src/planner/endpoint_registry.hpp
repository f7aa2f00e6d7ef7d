/// The planner's current endpoint list, and the rules by which received lists are applied, ignored
/// or rejected.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "log/log.hpp"
#include "micaroad/event.hpp"
#include "protocol/endpoint_list.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad {

/// An endpoint of the current list.
struct KnownEndpoint {
    ListedEndpoint entry;
    std::string address;  ///< host and port, for health checks
};

/// The outcome of EndpointRegistry::apply().
enum class ListResult {
    applied,
    ignored,
    complete_list_needed,  ///< ignored; the caller must fetch a complete list
};

/// Holds the endpoints of the newest list, its version, and the recently removed endpoints.
///
/// An endpoint is known (listed) or removed. A removal is remembered for kRemovalRetention. During
/// that time, a complete list of an older version does not restore the endpoint unless its process
/// has started after the removal. Afterwards nothing about the endpoint is kept.
///
/// Not thread-safe; used by the core's thread. Does no I/O except logging, and never blocks.
class EndpointRegistry {
 public:
    /// How long a removed endpoint is remembered.
    static constexpr Duration kRemovalRetention = std::chrono::seconds(60);

    /// `names` and `log` must outlive the registry.
    EndpointRegistry(const SymbolTable& names, Log& log) : names_(names), log_(log) {}

    /// Applies a received list, and adjusts `message.list` to what the planner has to be told:
    /// entries of removed endpoints are dropped, previous entries are added in place of unusable
    /// ones. If the result is `applied`, the message's addresses and unusable entries are cleared.
    [[nodiscard]] ListResult apply(protocol::EndpointListMessage& message, TimePoint now);

    /// Deletes the removals that are older than kRemovalRetention. For an endpoint that is not
    /// listed again, `forget` is called first, and its removal is kept as long as that returns
    /// false.
    void expire_removals(TimePoint now, const std::function<bool(const ServerId&)>& forget);

    /// The endpoint if it is listed, else null. Valid until the next call of apply().
    [[nodiscard]] const KnownEndpoint* find(const ServerId& server) const;

    /// Whether the endpoint is listed, or was removed recently and its removal is remembered.
    [[nodiscard]] bool is_or_was_listed(const ServerId& server) const;

 private:
    [[nodiscard]] ListResult check(const protocol::EndpointListMessage& message) const;
    [[nodiscard]] bool is_of_other_deployment(const event::EndpointListUpdate& list) const;
    [[nodiscard]] bool is_of_this_deployment(const ListedEndpoint& endpoint) const;
    [[nodiscard]] bool is_blocked_by_removal(const ListedEndpoint& endpoint, TimePoint now) const;
    void drop_removed_entries(event::EndpointListUpdate& list, TimePoint now) const;
    void restore_unusable_entries(protocol::EndpointListMessage& message) const;
    void remove_unlisted(const event::EndpointListUpdate& list, TimePoint now);
    void store(protocol::EndpointListMessage& message, TimePoint now);

    const SymbolTable& names_;
    Log& log_;
    std::map<ServerId, KnownEndpoint> known_;
    std::map<ServerId, TimePoint> removed_at_;
    std::int64_t version_ = -1;
};

}  // namespace micaroad
