#include "planner/endpoint_registry.hpp"

#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace micaroad {
namespace {

using Form = event::EndpointListUpdate::Form;

std::string_view to_string(EndpointPhase phase) {
    switch (phase) {
        case EndpointPhase::ready:
            return "ready";
        case EndpointPhase::draining:
            return "draining";
        case EndpointPhase::gone:
            break;
    }
    return "gone";
}

bool is_complete(const event::EndpointListUpdate& list) {
    return list.form == Form::complete;
}

// Zones and kinds that the deployment's settings don't name get indexes beyond `names`. If the
// settings name none, every index counts as named.
bool is_named(int index, const std::vector<std::string>& names) {
    return names.empty() || index < std::ssize(names);
}

}  // namespace

ListResult EndpointRegistry::apply(protocol::EndpointListMessage& message, TimePoint now) {
    const ListResult result = check(message);
    if (result != ListResult::applied) {
        return result;
    }
    event::EndpointListUpdate& list = message.list;
    const bool complete = is_complete(list);
    if (complete && message.version < version_) {
        drop_removed_entries(list, now);
    }
    version_ = message.version;
    restore_unusable_entries(message);
    if (complete) {
        remove_unlisted(list, now);
    }
    store(message, now);
    log_.info("discovery: endpoint list applied version={} form={} entries={} known_endpoints={}",
              version_, complete ? "complete" : "incremental", list.servers.size(), known_.size());
    // Frees memory early: the message lives until the planner has decided, but these parts are no
    // longer needed.
    message.addresses.clear();
    message.dropped.clear();
    return ListResult::applied;
}

ListResult EndpointRegistry::check(const protocol::EndpointListMessage& message) const {
    const event::EndpointListUpdate& list = message.list;
    const bool complete = is_complete(list);
    if (is_of_other_deployment(list)) {
        log_.error(
            "discovery: list rejected version={} reason=\"no server of a known zone and kind\"",
            message.version);
        return complete ? ListResult::ignored : ListResult::complete_list_needed;
    }
    if (complete || message.version > version_) {
        return ListResult::applied;
    }
    if (list.servers.empty()) {
        return ListResult::ignored;
    }
    log_.warn("discovery: changes dropped version={} current_version={}", message.version,
              version_);
    // An equal version is a duplicate. A lower one may mean that discovery has restarted its
    // numbering, so a complete list is needed.
    return message.version < version_ ? ListResult::complete_list_needed : ListResult::ignored;
}

// Guards against lists from another deployment's discovery, whose servers would receive this
// deployment's RPCs. A list is rejected only if it has servers and none of them is in a zone and of
// a kind of this deployment: if only some are unknown, the deployment has grown.
bool EndpointRegistry::is_of_other_deployment(const event::EndpointListUpdate& list) const {
    bool any_listed = false;
    for (const ListedEndpoint& endpoint : list.servers) {
        if (endpoint.phase == EndpointPhase::gone) {
            continue;
        }
        if (is_of_this_deployment(endpoint)) {
            return false;
        }
        any_listed = true;
    }
    return any_listed;
}

bool EndpointRegistry::is_of_this_deployment(const ListedEndpoint& endpoint) const {
    return is_named(endpoint.zone.value, names_.zones) &&
           is_named(endpoint.kind.value, names_.kinds);
}

bool EndpointRegistry::is_blocked_by_removal(const ListedEndpoint& endpoint, TimePoint now) const {
    const auto removed = removed_at_.find(endpoint.server);
    if (removed == removed_at_.end()) {
        return false;
    }
    const TimePoint removed_at = removed->second;
    return now - removed_at <= kRemovalRetention &&
           endpoint.last_start.value_or(TimePoint{}) < removed_at;
}

void EndpointRegistry::drop_removed_entries(event::EndpointListUpdate& list, TimePoint now) const {
    std::erase_if(list.servers, [this, now](const ListedEndpoint& endpoint) {
        if (!is_blocked_by_removal(endpoint, now)) {
            return false;
        }
        log_.warn("discovery: entry of an older list ignored server={} reason=removed",
                  endpoint.server.value);
        return true;
    });
}

// An endpoint whose entry in a complete list is unusable is still listed, so its previous entry and
// address are kept. Otherwise it would be removed as unlisted.
void EndpointRegistry::restore_unusable_entries(protocol::EndpointListMessage& message) const {
    const bool complete = is_complete(message.list);
    for (const auto& [server, reason] : message.dropped) {
        log_.warn("discovery: unusable entry dropped server={} reason={:?}", server.value,
                  protocol::describe(reason));
        const auto known = known_.find(server);
        if (!complete || known == known_.end() || message.addresses.contains(server)) {
            continue;
        }
        message.list.servers.push_back(known->second.entry);
        message.addresses[server] = known->second.address;
    }
}

void EndpointRegistry::remove_unlisted(const event::EndpointListUpdate& list, TimePoint now) {
    std::set<ServerId> listed;
    for (const ListedEndpoint& endpoint : list.servers) {
        listed.insert(endpoint.server);
    }
    for (auto known = known_.begin(); known != known_.end();) {
        if (listed.contains(known->first)) {
            ++known;
            continue;
        }
        removed_at_[known->first] = now;
        known = known_.erase(known);
    }
}

void EndpointRegistry::store(protocol::EndpointListMessage& message, TimePoint now) {
    const bool complete = is_complete(message.list);
    for (const ListedEndpoint& endpoint : message.list.servers) {
        if (endpoint.phase == EndpointPhase::gone) {
            known_.erase(endpoint.server);
            removed_at_[endpoint.server] = now;
        } else {
            known_[endpoint.server] = {endpoint, std::move(message.addresses[endpoint.server])};
        }
        if (!complete) {
            log_.info("discovery: endpoint changed server={} state={}", endpoint.server.value,
                      to_string(endpoint.phase));
        }
    }
}

void EndpointRegistry::expire_removals(TimePoint now,
                                       const std::function<bool(const ServerId&)>& forget) {
    std::erase_if(removed_at_, [this, now, &forget](const auto& removal) {
        const auto& [server, removed_at] = removal;
        if (now - removed_at <= kRemovalRetention) {
            return false;
        }
        return known_.contains(server) || forget(server);
    });
}

const KnownEndpoint* EndpointRegistry::find(const ServerId& server) const {
    const auto known = known_.find(server);
    return known == known_.end() ? nullptr : &known->second;
}

bool EndpointRegistry::is_or_was_listed(const ServerId& server) const {
    return known_.contains(server) || removed_at_.contains(server);
}

}  // namespace micaroad
