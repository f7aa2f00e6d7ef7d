/// The endpoint list as the planner holds it: which updates of it are applied, which are rejected.
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

/// What became of a received list.
enum class ListResult {
    applied,
    ignored,
    complete_list_needed,  ///< ignored; only a complete list can tell what is current
};

/// Holds the endpoints of the newest list, its version, and the endpoints removed a short time ago.
///
/// An endpoint is known (listed) or removed. A removal holds for kRemovalRetention: a complete list
/// of an older version does not bring the endpoint back, unless its process has started since.
/// After that time nothing is kept of it.
///
/// Not thread-safe; used by the core's thread. Does no I/O but to log, and never blocks.
class EndpointRegistry {
 public:
    /// How long a removed endpoint is remembered.
    static constexpr Duration kRemovalRetention = std::chrono::seconds(60);

    /// `names` and `log` must outlive the registry.
    EndpointRegistry(const SymbolTable& names, Log& log) : names_(names), log_(log) {}

    /// Applies a received list, and completes or cuts `message.list` to what the planner is to be
    /// told. The message's addresses and unusable entries are consumed if the result is `applied`.
    [[nodiscard]] ListResult apply(protocol::EndpointListMessage& message, TimePoint now);

    /// Ends the memory of removals that are older than kRemovalRetention. Where the endpoint is not
    /// listed again, `forget` is called first; the endpoint stays remembered while that returns
    /// false.
    void expire_removals(TimePoint now, const std::function<bool(const ServerId&)>& forget);

    /// The endpoint if it is listed, else null. Valid until the next call of apply().
    [[nodiscard]] const KnownEndpoint* find(const ServerId& server) const;

    /// Whether the endpoint is listed or was removed a short time ago.
    [[nodiscard]] bool is_or_was_listed(const ServerId& server) const;

 private:
    [[nodiscard]] ListResult check(const protocol::EndpointListMessage& message) const;
    [[nodiscard]] bool is_foreign(const event::EndpointListUpdate& list) const;
    [[nodiscard]] bool is_ours(const ListedEndpoint& endpoint) const;
    [[nodiscard]] bool removal_holds(const ListedEndpoint& endpoint, TimePoint now) const;
    void drop_removed(event::EndpointListUpdate& list, TimePoint now) const;
    void keep_known_entries(protocol::EndpointListMessage& message) const;
    void remove_unlisted(const event::EndpointListUpdate& list, TimePoint now);
    void store(protocol::EndpointListMessage& message, TimePoint now);

    const SymbolTable& names_;
    Log& log_;
    std::map<ServerId, KnownEndpoint> known_;
    std::map<ServerId, TimePoint> removed_at_;
    std::int64_t version_ = -1;
};

}  // namespace micaroad
