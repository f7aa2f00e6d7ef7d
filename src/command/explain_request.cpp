#include "command/explain_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "routing/match.hpp"

namespace micaroad::command {
namespace {

// An arbitrary time after the epoch, which stands for servers that have been up for long.
constexpr TimePoint kNow{std::chrono::seconds(1'000)};

constexpr char kHeaderSeparator = ':';
constexpr char kCookieSeparator = '=';

struct NameAndValue {
    std::string name;
    std::string value;  // without leading spaces
};

// Splits a word at the first separator. Absent if the name or the separator is missing.
std::optional<NameAndValue> split(const std::string& word, char separator) {
    const std::size_t at = word.find(separator);
    if (at == std::string::npos || at == 0) {
        return std::nullopt;
    }
    const std::size_t value_begin = std::min(word.find_first_not_of(' ', at + 1), word.size());
    return NameAndValue{word.substr(0, at), word.substr(value_begin)};
}

// Finds a server by its full name, or by its own name if that is unique. Returns the full name.
tl::expected<std::string, OptionError> find_server(const std::string& word,
                                                   const routing::Plan& plan) {
    std::vector<std::string> found;
    for (const routing::Pool& pool : plan.pools) {
        for (const routing::Server& server : pool.servers) {
            const std::string name = full_name(pool, server);
            if (name == word || server.name == word) {
                found.push_back(name);
            }
        }
    }
    if (found.empty()) {
        return tl::unexpected(OptionError{OptionError::Kind::unknown_server, word, {}});
    }
    if (found.size() > 1) {
        return tl::unexpected(
            OptionError{OptionError::Kind::ambiguous_server, word, std::move(found)});
    }
    return found.front();
}

}  // namespace

std::string describe(const OptionError& error) {
    using Kind = OptionError::Kind;
    switch (error.kind) {
        case Kind::unknown_listener:
            return fmt::format("--listener '{}': unknown listener; allowed: {}", error.value,
                               fmt::join(error.candidates, ", "));
        case Kind::bad_source:
            return fmt::format("--source '{}': invalid address", error.value);
        case Kind::bad_header:
            return fmt::format("'{}': must be NAME{}VALUE", error.value, kHeaderSeparator);
        case Kind::bad_cookie:
            return fmt::format("'{}': must be NAME{}VALUE", error.value, kCookieSeparator);
        case Kind::unknown_server:
            return fmt::format("'{}': unknown server", error.value);
        case Kind::ambiguous_server:
            return fmt::format("'{}': ambiguous server name: {}", error.value,
                               fmt::join(error.candidates, ", "));
    }
    return "?";
}

tl::expected<std::string, OptionError> find_listener(const ExplainOptions& options,
                                                     const routing::Plan& plan) {
    std::vector<std::string> names;
    names.reserve(plan.listeners.size());
    for (const routing::Listener& listener : plan.listeners) {
        names.push_back(listener.name);
    }
    if (options.listener.empty() && names.size() == 1) {
        return names.front();
    }
    if (std::find(names.begin(), names.end(), options.listener) == names.end()) {
        return tl::unexpected(
            OptionError{OptionError::Kind::unknown_listener, options.listener, std::move(names)});
    }
    return options.listener;
}

tl::expected<routing::Rpc, OptionError> make_rpc(const ExplainOptions& options) {
    routing::Rpc rpc;
    rpc.method = options.method;
    rpc.host = options.host;
    const std::size_t question_mark = options.path.find('?');
    rpc.path = options.path.substr(0, question_mark);
    if (question_mark != std::string::npos) {
        rpc.query = options.path.substr(question_mark + 1);
    }
    const std::optional<routing::Address> source = routing::parse_address(options.source);
    if (!source) {
        return tl::unexpected(OptionError{OptionError::Kind::bad_source, options.source, {}});
    }
    rpc.source = *source;
    for (const std::string& word : options.headers) {
        const std::optional<NameAndValue> header = split(word, kHeaderSeparator);
        if (!header) {
            return tl::unexpected(OptionError{OptionError::Kind::bad_header, word, {}});
        }
        rpc.headers.emplace_back(routing::to_lower(header->name), header->value);
    }
    for (const std::string& word : options.cookies) {
        const std::optional<NameAndValue> cookie = split(word, kCookieSeparator);
        if (!cookie) {
            return tl::unexpected(OptionError{OptionError::Kind::bad_cookie, word, {}});
        }
        rpc.cookies[cookie->name] = cookie->value;
    }
    return rpc;
}

tl::expected<routing::View, OptionError> make_view(const ExplainOptions& options,
                                                   const routing::Plan& plan) {
    routing::View view;
    view.now = kNow;
    for (const std::string& word : options.down) {
        const tl::expected<std::string, OptionError> name = find_server(word, plan);
        if (!name) {
            return tl::unexpected(name.error());
        }
        view.servers[*name].up = false;
    }
    for (const std::string& word : options.draining) {
        const tl::expected<std::string, OptionError> name = find_server(word, plan);
        if (!name) {
            return tl::unexpected(name.error());
        }
        routing::ServerState& server = view.servers[*name];
        server.state_override = routing::State::draining;
        server.draining_since = view.now;
    }
    return view;
}

}  // namespace micaroad::command
