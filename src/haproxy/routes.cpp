#include "haproxy/routes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

struct BindAddresses {
    std::vector<std::string> usable;
    std::string refusal;  // why the last unusable address is refused; empty: all are usable
};

bool is_tcp_address(const Endpoint& endpoint) {
    const bool has_host =
        endpoint.kind == Endpoint::Kind::literal || endpoint.kind == Endpoint::Kind::any_host;
    return has_host && endpoint.port > 0 && !endpoint.relative_port;
}

/// Reads the comma-separated addresses of a `bind` line.
BindAddresses read_bind_addresses(const std::string& text) {
    BindAddresses addresses;
    for (std::size_t from = 0; from <= text.size();) {
        const std::size_t end = std::min(text.find(',', from), text.size());
        const std::string address = text.substr(from, end - from);
        const auto endpoint = parse_endpoint(address);
        if (!endpoint) {
            addresses.refusal = endpoint.error;
        } else if (is_tcp_address(*endpoint)) {
            addresses.usable.push_back(endpoint->text());
        } else {
            addresses.refusal = fmt::format("'{}' is not an address with one port", address);
        }
        from = end + 1;
    }
    return addresses;
}

bool has_word(const Statement& statement, std::size_t from, const std::string& word) {
    for (std::size_t position = from; position < statement.size(); ++position) {
        if (statement.word(position) == word) {
            return true;
        }
    }
    return false;
}

}  // namespace

ListenerBuilder::ListenerBuilder(const std::vector<Draft>& drafts, Findings& findings)
    : findings_(findings) {
    for (const Draft& draft : drafts) {
        if (draft.has_servers()) {
            pools_.insert(draft.section->name);
        }
    }
    for (const Draft& draft : drafts) {
        if (draft.section->kind != "backend") {
            continue;
        }
        const std::string& pool = draft.section->name;
        Acls acls(draft.acls, {pools_, pool}, findings_);
        denials_by_pool_[pool] = translate_request_rules(draft, acls, findings_, nullptr);
    }
}

routing::Listener ListenerBuilder::make_listener(const Draft& draft) {
    const Section& section = *draft.section;
    routing::Listener listener;
    listener.name = section.name;
    report(section.header, Verdict::translated, fmt::format("listener {}", section.name));
    for (const Statement* statement : draft.binds) {
        translate_bind(*statement, listener);
    }
    listener.max_connections = draft.settings.max_conn.get_or(0, findings_);

    RouteNames names;
    RouteSink sink{listener.routes, names};
    const std::string own_pool = section.kind == "listen" ? section.name : "";
    Acls acls(draft.acls, {pools_, own_pool}, findings_);
    // The denials are already among the listener's routes, so the result is not needed.
    std::ignore = translate_request_rules(draft, acls, findings_, &sink);
    for (const Statement* statement : draft.use_backends) {
        translate_use_backend(*statement, acls, sink);
    }
    translate_default_pool(draft, listener, names);
    return listener;
}

void ListenerBuilder::translate_bind(const Statement& statement, routing::Listener& listener) {
    const BindAddresses addresses = read_bind_addresses(statement.word(1));
    listener.addresses.insert(listener.addresses.end(), addresses.usable.begin(),
                              addresses.usable.end());
    if (!addresses.refusal.empty()) {
        const char* const rest = addresses.usable.empty() ? "" : "; the other addresses are kept";
        return report(statement, Verdict::refused, addresses.refusal + rest);
    }
    if (has_word(statement, 2, "maxconn")) {
        return report(statement, Verdict::refused,
                      "maxconn is a setting of the section: write it on a line of its own; the "
                      "address is kept");
    }
    const bool has_options = statement.size() > 2;
    report(
        statement, Verdict::translated,
        has_options ? "how proxies listen there (TLS, options) is configured at the proxies" : "");
}

void ListenerBuilder::translate_use_backend(const Statement& statement, Acls& acls,
                                            RouteSink& sink) {
    const std::string& pool = statement.word(1);
    if (pool.find("%[") != std::string::npos) {
        return report(statement, Verdict::refused,
                      "a pool's name can't be made from the RPC: write a line for each pool; RPCs "
                      "that this line matched go on to the routes after it");
    }
    const TranslatedCondition condition = acls.translate_condition(statement, 2);
    if (!pools_.contains(pool)) {
        return report(statement, Verdict::refused, fmt::format("there is no backend {}", pool));
    }
    if (!condition) {
        return report(statement, Verdict::refused,
                      fmt::format("{}; RPCs that this line matched go on to the routes after it",
                                  condition.error().reason));
    }
    add_pool_routes(pool, condition->match, statement, sink);
    report(statement, condition->verdict, condition->note);
}

void ListenerBuilder::add_pool_routes(const std::string& pool, const routing::Match& match,
                                      const Statement& statement, RouteSink& sink) {
    for (const Denial& denial : denials_by_pool_[pool]) {
        sink.routes.push_back({sink.names.unique_name("deny-" + pool, statement),
                               match_both(match, denial.match), routing::Reject{denial.status}});
    }
    sink.routes.push_back(
        {sink.names.unique_name("to-" + pool, statement), match, routing::ToPool{pool}});
}

void ListenerBuilder::translate_default_pool(const Draft& draft, routing::Listener& listener,
                                             RouteNames& names) {
    const Section& section = *draft.section;
    const Setting<std::string>& default_backend = draft.settings.default_backend;
    if (!default_backend) {
        if (section.kind == "listen") {
            listener.default_pool = section.name;
        }
        return;
    }
    const std::string& pool = default_backend.get(findings_);
    if (!pools_.contains(pool)) {
        findings_.add_verdict(default_backend.line(), Verdict::refused,
                              fmt::format("there is no backend {}", pool));
        return;
    }
    listener.default_pool = pool;
    for (const Denial& denial : denials_by_pool_[pool]) {
        listener.routes.push_back({names.unique_name("deny-" + pool, section.header), denial.match,
                                   routing::Reject{denial.status}});
    }
}

}  // namespace micaroad::haproxy
