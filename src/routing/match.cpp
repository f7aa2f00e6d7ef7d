#include "routing/match.hpp"

#include <algorithm>
#include <variant>

namespace micaroad::routing {
namespace {

bool fits_value(TextWay way, std::string_view text, std::string_view value) {
    switch (way) {
        case TextWay::exact:
            return text == value;
        case TextWay::prefix:
            return text.starts_with(value);
        case TextWay::suffix:
            return text.ends_with(value);
        case TextWay::contains:
            return text.find(value) != std::string_view::npos;
        case TextWay::present:
            return true;
    }
    return false;
}

// Tells for each kind of condition whether the RPC meets it.
struct ConditionCheck {
    const Rpc& rpc;
    const UsableCount& usable_count;

    bool operator()(const AllOf& all) const {
        return std::all_of(all.of.begin(), all.of.end(),
                           [this](const Match& match) { return fits(match, rpc, usable_count); });
    }

    bool operator()(const AnyOf& any) const {
        return std::any_of(any.of.begin(), any.of.end(),
                           [this](const Match& match) { return fits(match, rpc, usable_count); });
    }

    bool operator()(const Not& negated) const {
        return !negated.of.empty() && !fits(negated.of.front(), rpc, usable_count);
    }

    bool operator()(const HostIs& host) const {
        TextMatch any_case = host.text;
        any_case.any_case = true;
        return !rpc.host.empty() && fits(any_case, plain_host(rpc.host));
    }

    bool operator()(const PathIs& path) const { return fits(path.text, rpc.path); }

    bool operator()(const MethodIs& method) const {
        return std::find(method.names.begin(), method.names.end(), rpc.method) !=
               method.names.end();
    }

    bool operator()(const HeaderIs& header) const {
        const std::string name = lower(header.name);
        if (name == "host") {
            return !rpc.host.empty() && fits(header.text, rpc.host);
        }
        return std::any_of(rpc.headers.begin(), rpc.headers.end(),
                           [&header, &name](const auto& field) {
                               return field.first == name && fits(header.text, field.second);
                           });
    }

    bool operator()(const SourceIn& source) const {
        return std::any_of(source.networks.begin(), source.networks.end(),
                           [this](const Network& network) { return network.holds(rpc.source); });
    }

    bool operator()(const UsableServers& servers) const {
        const int count = usable_count ? usable_count(servers.pool) : 0;
        return count >= servers.least && count <= servers.most;
    }
};

}  // namespace

std::string lower(std::string_view text) {
    std::string folded(text);
    for (char& letter : folded) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return folded;
}

std::string plain_host(std::string_view host) {
    if (host.starts_with('[')) {
        host = host.substr(1, host.find(']') - 1);
    } else if (const auto colon = host.rfind(':'); colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    return lower(host);
}

bool fits(const TextMatch& match, std::string_view text) {
    if (match.way == TextWay::present) {
        return true;
    }
    const std::string folded = match.any_case ? lower(text) : std::string();
    return std::any_of(match.values.begin(), match.values.end(),
                       [&match, &folded, text](const std::string& value) {
                           return match.any_case ? fits_value(match.way, folded, lower(value))
                                                 : fits_value(match.way, text, value);
                       });
}

bool fits(const Match& match, const Rpc& rpc, const UsableCount& usable_count) {
    return std::visit(ConditionCheck{.rpc = rpc, .usable_count = usable_count}, match.is);
}

}  // namespace micaroad::routing
