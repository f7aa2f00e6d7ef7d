#include "updates/listed_servers.hpp"

namespace micaroad {

void ListedServers::update(const event::EndpointListUpdate& list) {
    std::set<ServerId> named;
    for (const ListedEndpoint& endpoint : list.servers) {
        named.insert(endpoint.server);
        if (endpoint.phase == EndpointPhase::gone) {
            listed_.erase(endpoint.server);
        } else {
            listed_.insert(endpoint.server);
        }
        const bool steady = endpoint.phase == EndpointPhase::ready && !endpoint.last_start;
        if (!steady) {
            steady_.erase(endpoint.server);
        } else if (!has_list_) {
            steady_.insert(endpoint.server);
        }
    }
    if (list.form == event::EndpointListUpdate::Form::complete) {
        const auto is_unnamed = [&named](const ServerId& server) {
            return !named.contains(server);
        };
        std::erase_if(steady_, is_unnamed);
        std::erase_if(listed_, is_unnamed);
    }
    has_list_ = true;
}

}  // namespace micaroad
