#include "routing/match.hpp"

#include <algorithm>
#include <variant>

namespace micaroad::routing {
namespace {

bool matches_value(TextMatchKind kind, std::string_view text, std::string_view value) {
    switch (kind) {
        case TextMatchKind::exact:
            return text == value;
        case TextMatchKind::prefix:
            return text.starts_with(value);
        case TextMatchKind::suffix:
            return text.ends_with(value);
        case TextMatchKind::contains:
            return text.find(value) != std::string_view::npos;
        case TextMatchKind::present:
            return true;
    }
    return false;
}

// Whether the RPC matches a condition, with one overload for each kind of condition.
struct ConditionCheck {
    const Rpc& rpc;
    const UsableCount& usable_count;

    bool operator()(const AllOf& all) const {
        return std::all_of(
            all.conditions.begin(), all.conditions.end(),
            [this](const Match& match) { return matches(match, rpc, usable_count); });
    }

    bool operator()(const AnyOf& any) const {
        return std::any_of(
            any.conditions.begin(), any.conditions.end(),
            [this](const Match& match) { return matches(match, rpc, usable_count); });
    }

    bool operator()(const Not& negated) const {
        return !negated.conditions.empty() &&
               !matches(negated.conditions.front(), rpc, usable_count);
    }

    bool operator()(const HostIs& host) const {
        TextMatch case_insensitive = host.text;
        case_insensitive.ignore_case = true;
        return !rpc.host.empty() && matches(case_insensitive, normalized_host(rpc.host));
    }

    bool operator()(const PathIs& path) const { return matches(path.text, rpc.path); }

    bool operator()(const MethodIs& method) const {
        return std::find(method.names.begin(), method.names.end(), rpc.method) !=
               method.names.end();
    }

    bool operator()(const HeaderIs& header) const {
        const std::string name = to_lower(header.name);
        if (name == "host") {
            return !rpc.host.empty() && matches(header.text, rpc.host);
        }
        return std::any_of(rpc.headers.begin(), rpc.headers.end(),
                           [&header, &name](const auto& field) {
                               return field.first == name && matches(header.text, field.second);
                           });
    }

    bool operator()(const SourceIn& source) const {
        return std::any_of(source.networks.begin(), source.networks.end(),
                           [this](const Network& network) { return network.contains(rpc.source); });
    }

    bool operator()(const UsableServers& servers) const {
        const int count = usable_count ? usable_count(servers.pool) : 0;
        return count >= servers.min_count && count <= servers.max_count;
    }
};

}  // namespace

std::string to_lower(std::string_view text) {
    std::string lowered(text);
    for (char& letter : lowered) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return lowered;
}

std::string normalized_host(std::string_view host) {
    if (host.starts_with('[')) {
        host = host.substr(1, host.find(']') - 1);
    } else if (const auto colon = host.rfind(':'); colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    return to_lower(host);
}

bool matches(const TextMatch& match, std::string_view text) {
    if (match.kind == TextMatchKind::present) {
        return true;
    }
    const std::string lowered = match.ignore_case ? to_lower(text) : std::string();
    return std::any_of(match.values.begin(), match.values.end(),
                       [&match, &lowered, text](const std::string& value) {
                           return match.ignore_case
                                      ? matches_value(match.kind, lowered, to_lower(value))
                                      : matches_value(match.kind, text, value);
                       });
}

bool matches(const Match& match, const Rpc& rpc, const UsableCount& usable_count) {
    return std::visit(ConditionCheck{.rpc = rpc, .usable_count = usable_count}, match.is);
}

}  // namespace micaroad::routing
