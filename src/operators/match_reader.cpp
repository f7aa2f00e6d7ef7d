// Readers of a route's conditions. They recurse into nested matches, whose depth the parser bounds.
#include <fmt/format.h>

#include <optional>
#include <utility>

#include "operators/readers.hpp"
#include "routing/match.hpp"

namespace micaroad::operators {
namespace {

constexpr std::uint32_t kMaxServers = 1'000'000;

enum class Presence { not_allowed, allowed };

// Collects the values of a text match and counts their kinds, of which exactly one is allowed.
class TextReader {
 public:
    template <class Values>
    void add(routing::TextMatchKind kind, const Values& values) {
        if (values.empty()) {
            return;
        }
        ++kinds_;
        match_.kind = kind;
        match_.values.assign(values.begin(), values.end());
    }
    void add_presence() {
        ++kinds_;
        match_.kind = routing::TextMatchKind::present;
        match_.values.clear();
    }
    [[nodiscard]] int kinds() const { return kinds_; }
    [[nodiscard]] const routing::TextMatch& match() const { return match_; }

 private:
    int kinds_ = 0;
    routing::TextMatch match_;
};

routing::TextMatch read_text_match(const Text& message, const LocatedMessage& location,
                                   Presence presence) {
    TextReader reader;
    reader.add(routing::TextMatchKind::exact, message.exact());
    reader.add(routing::TextMatchKind::prefix, message.prefix());
    reader.add(routing::TextMatchKind::suffix, message.suffix());
    reader.add(routing::TextMatchKind::contains, message.contains());
    if (message.present()) {
        reader.add_presence();
    }
    if (message.present() && presence == Presence::not_allowed) {
        location.add_fault("present", "true", "allowed only for headers");
    }
    if (reader.kinds() != 1) {
        location.add_fault("exact", "", fmt::format("{} kinds of value are set", reader.kinds()),
                           "exactly one of exact, prefix, suffix, contains, present");
    }
    routing::TextMatch match = reader.match();
    match.ignore_case = message.any_case();
    return match;
}

routing::Matches read_matches(const Matches& message, const LocatedMessage& location,
                              const FileState& state) {
    routing::Matches matches;
    for (int i = 0; i < message.match_size(); ++i) {
        const Match& match = message.match(i);
        matches.push_back(read_match(match, location.nested("match", match, i), state));
    }
    return matches;
}

routing::Match read_host(const Text& message, const LocatedMessage& location) {
    routing::TextMatch host = read_text_match(message, location, Presence::not_allowed);
    for (std::string& value : host.values) {
        value = routing::to_lower(value);
    }
    host.ignore_case = false;  // hosts are always compared in lower case
    return {routing::HostIs{std::move(host)}};
}

routing::Match read_method(const Words& message, const LocatedMessage& parent) {
    if (message.value_size() == 0) {
        parent.add_fault("method", "", "no method is given");
    }
    return {routing::MethodIs{{message.value().begin(), message.value().end()}}};
}

routing::Match read_header(const Header& message, const LocatedMessage& location) {
    if (!location.check_required()) {
        return {};
    }
    const std::string name = location.check_name("name", message.name());
    const LocatedMessage text = location.nested("text", message.text());
    return {routing::HeaderIs{name, read_text_match(message.text(), text, Presence::allowed)}};
}

routing::Match read_source(const Words& message, const LocatedMessage& parent) {
    const LocatedMessage location = parent.nested("source", message);
    routing::SourceIn source;
    for (int i = 0; i < message.value_size(); ++i) {
        const std::optional<routing::Network> network = routing::parse_network(message.value(i));
        if (network) {
            source.networks.push_back(*network);
        } else {
            location.add_fault("value", message.value(i), "invalid network",
                               "10.0.0.0/8, 10.1.2.3, 2001:db8::/32", i);
        }
    }
    if (message.value_size() == 0) {
        parent.add_fault("source", "", "no network is given");
    }
    return {std::move(source)};
}

routing::Match read_usable_servers(const UsableServers& message, const LocatedMessage& location,
                                   const FileState& state) {
    if (!location.check_required()) {
        return {};
    }
    routing::UsableServers usable;
    usable.pool = check_pool_name(location, "pool", message.pool(), state);
    usable.min_count = location.read_number("least", message.least(), 0, kMaxServers);
    usable.max_count = location.read_number("most", message.most(), 0, kMaxServers);
    if (usable.min_count > usable.max_count) {
        location.add_fault("least", std::to_string(usable.min_count), "greater than 'most'",
                           fmt::format("0 to {}", usable.max_count));
    }
    return {std::move(usable)};
}

routing::Match read_negation(const Match& message, const LocatedMessage& location,
                             const FileState& state) {
    routing::Not negation;
    negation.conditions.push_back(read_match(message, location, state));
    return {std::move(negation)};
}

}  // namespace

routing::Match read_match(const Match& message, const LocatedMessage& location,
                          const FileState& state) {
    const auto nested = [&location](const char* field, const google::protobuf::Message& inner) {
        return location.nested(field, inner);
    };
    switch (message.is_case()) {
        case Match::kAllOf:
            return {routing::AllOf{
                read_matches(message.all_of(), nested("all_of", message.all_of()), state)}};
        case Match::kAnyOf:
            return {routing::AnyOf{
                read_matches(message.any_of(), nested("any_of", message.any_of()), state)}};
        case Match::kNot:
            return read_negation(message.not_(), nested("not", message.not_()), state);
        case Match::kHost:
            return read_host(message.host(), nested("host", message.host()));
        case Match::kPath:
            return {routing::PathIs{read_text_match(message.path(), nested("path", message.path()),
                                                    Presence::not_allowed)}};
        case Match::kMethod:
            return read_method(message.method(), location);
        case Match::kHeader:
            return read_header(message.header(), nested("header", message.header()));
        case Match::kSource:
            return read_source(message.source(), location);
        case Match::kUsableServers:
            return read_usable_servers(message.usable_servers(),
                                       nested("usable_servers", message.usable_servers()), state);
        case Match::IS_NOT_SET:
            location.add_fault("all_of", "", "empty match", "one of its fields");
    }
    return {};
}

}  // namespace micaroad::operators
