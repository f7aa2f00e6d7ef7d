// Writers of listeners, their routes and matches.
#include <variant>

#include "operators/writers.hpp"

namespace micaroad::operators {
namespace {

void write_text_match(const routing::TextMatch& match, Text& message) {
    using routing::TextMatchKind;
    for (const std::string& value : match.values) {
        switch (match.kind) {
            case TextMatchKind::exact:
                message.add_exact(value);
                break;
            case TextMatchKind::prefix:
                message.add_prefix(value);
                break;
            case TextMatchKind::suffix:
                message.add_suffix(value);
                break;
            case TextMatchKind::contains:
                message.add_contains(value);
                break;
            case TextMatchKind::present:
                break;
        }
    }
    if (match.kind == TextMatchKind::present) {
        message.set_present(true);
    }
    if (match.ignore_case) {
        message.set_any_case(true);
    }
}

void write_matches(const routing::Matches& matches, Matches& message) {
    for (const routing::Match& match : matches) {
        write_match(match, *message.add_match());
    }
}

// Writes each kind of condition to its field of the message.
class MatchWriter {
 public:
    explicit MatchWriter(Match& message) : message_(message) {}

    void operator()(const routing::AllOf& all) const {
        write_matches(all.conditions, *message_.mutable_all_of());
    }
    void operator()(const routing::AnyOf& any) const {
        write_matches(any.conditions, *message_.mutable_any_of());
    }
    void operator()(const routing::Not& negation) const {
        write_match(negation.conditions.at(0), *message_.mutable_not_());
    }
    void operator()(const routing::HostIs& host) const {
        write_text_match(host.text, *message_.mutable_host());
    }
    void operator()(const routing::PathIs& path) const {
        write_text_match(path.text, *message_.mutable_path());
    }
    void operator()(const routing::MethodIs& method) const {
        for (const std::string& name : method.names) {
            message_.mutable_method()->add_value(name);
        }
    }
    void operator()(const routing::HeaderIs& header) const {
        message_.mutable_header()->set_name(header.name);
        write_text_match(header.text, *message_.mutable_header()->mutable_text());
    }
    void operator()(const routing::SourceIn& source) const {
        for (const routing::Network& network : source.networks) {
            message_.mutable_source()->add_value(network.text());
        }
    }
    void operator()(const routing::UsableServers& usable) const {
        const routing::UsableServers defaults;
        UsableServers& servers = *message_.mutable_usable_servers();
        servers.set_pool(usable.pool);
        if (usable.min_count > defaults.min_count) {
            servers.set_least(to_unsigned(usable.min_count));
        }
        if (usable.max_count < defaults.max_count) {
            servers.set_most(to_unsigned(usable.max_count));
        }
    }

 private:
    Match& message_;
};

class ActionWriter {
 public:
    explicit ActionWriter(Route& message) : message_(message) {}

    void operator()(const routing::ToPool& action) const { message_.set_pool(action.pool); }
    void operator()(const routing::Reject& action) const {
        message_.mutable_turn_away()->set_status(to_unsigned(action.status));
    }
    void operator()(const routing::Redirect& action) const {
        message_.mutable_redirect()->set_location(action.location);
        message_.mutable_redirect()->set_status(to_unsigned(action.status));
    }

 private:
    Route& message_;
};

// Whether a match has no conditions, as that of a route without `when`.
bool always_matches(const routing::Match& match) {
    const auto* all = std::get_if<routing::AllOf>(&match.is);
    return all != nullptr && all->conditions.empty();
}

void write_route(const routing::Route& route, Route& message) {
    message.set_name(route.name);
    if (!always_matches(route.match)) {
        write_match(route.match, *message.mutable_when());
    }
    std::visit(ActionWriter(message), route.action);
}

}  // namespace

void write_match(const routing::Match& match, Match& message) {
    std::visit(MatchWriter(message), match.is);
}

void write_listener(const routing::Listener& listener, Listener& message) {
    message.set_name(listener.name);
    for (const std::string& address : listener.addresses) {
        message.add_address(address);
    }
    if (listener.max_connections > 0) {
        message.set_connections_most(to_unsigned(listener.max_connections));
    }
    for (const routing::Route& route : listener.routes) {
        write_route(route, *message.add_route());
    }
    if (!listener.default_pool.empty()) {
        message.set_default_pool(listener.default_pool);
    }
}

}  // namespace micaroad::operators
