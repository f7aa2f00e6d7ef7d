#include "wire_proxy_table.hpp"

#include <algorithm>
#include <charconv>

namespace micaroad::scale::wire {
namespace {

std::string_view next_token(std::string_view& text, char separator) {
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view piece = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return piece;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::uint64_t all_methods(const World& world) {
    const int methods = world.sizes().methods;
    return methods == kMaxMethods ? ~std::uint64_t{0} : (std::uint64_t{1} << methods) - 1;
}

bool parse_routes(std::string_view routes, const World& world, std::uint64_t& methods) {
    methods = 0;
    while (!routes.empty()) {
        const int method = world.method_of(next_token(routes, '+'));
        if (method < 0) {
            return false;
        }
        methods |= std::uint64_t{1} << method;
    }
    return methods != 0;
}

bool parse_endpoints(std::string_view list, const World& world,
                     std::vector<PushPart::Endpoint>& endpoints) {
    while (!list.empty()) {
        std::string_view endpoint = next_token(list, ',');
        const std::ptrdiff_t server = world.find(next_token(endpoint, ':'));
        const auto weight = parse_number<double>(endpoint);
        if (server < 0 || !weight || !(*weight >= 0)) {
            return false;
        }
        endpoints.push_back({static_cast<std::size_t>(server), *weight > 0});
    }
    return true;
}

bool parse_servers(std::string_view list, const World& world, std::vector<std::size_t>& servers) {
    while (!list.empty()) {
        const std::ptrdiff_t server = world.find(next_token(list, ','));
        if (server < 0) {
            return false;
        }
        servers.push_back(static_cast<std::size_t>(server));
    }
    return true;
}

bool is_non_negative(std::string_view value) {
    const auto number = parse_number<double>(value);
    return number && *number >= 0;
}

bool parse_field(std::string_view name, std::string_view value, const World& world,
                 PushPart& part) {
    if (name == "routes") {
        return parse_routes(value, world, part.methods);
    }
    if (name == "endpoints") {
        return parse_endpoints(value, world, part.endpoints);
    }
    if (name == "eject") {
        return parse_servers(value, world, part.ejected);
    }
    if (name == "restore") {
        return parse_servers(value, world, part.restored);
    }
    if (name == "full") {
        return part.full = value == "1", value == "0" || value == "1";
    }
    if (name == "continued") {
        return part.continued = value == "1", value == "0" || value == "1";
    }
    if (name == "nonce_out") {
        return (part.nonce = parse_number<int>(value)).has_value();
    }
    if (name == "admit" || name == "policy") {
        return is_non_negative(value);
    }
    return false;
}

}  // namespace

std::optional<PushPart> parse_push(std::string_view line, const World& world) {
    if (next_token(line, ' ') != "push") {
        return std::nullopt;
    }
    PushPart part;
    part.methods = all_methods(world);
    while (!line.empty()) {
        std::string_view value = next_token(line, ' ');
        const std::string_view name = next_token(value, '=');
        if (!parse_field(name, value, world, part)) {
            return std::nullopt;
        }
    }
    return part;
}

void ProxyTable::grow_to(std::size_t server) {
    if (server < methods_.size()) {
        return;
    }
    methods_.resize(server + 1);
    ejected_.resize(server + 1);
}

void ProxyTable::apply(const PushPart& part) {
    if (part.full) {
        for (std::uint64_t& methods : methods_) {
            methods &= ~part.methods;
        }
    }
    for (const auto& [server, in_use] : part.endpoints) {
        grow_to(server);
        methods_[server] =
            in_use ? methods_[server] | part.methods : methods_[server] & ~part.methods;
    }
    for (const std::size_t server : part.ejected) {
        grow_to(server);
        ejected_[server] = true;
    }
    for (const std::size_t server : part.restored) {
        grow_to(server);
        ejected_[server] = false;
    }
}

bool ProxyTable::in_use(std::size_t server) const {
    return server < methods_.size() && methods_[server] != 0 && !ejected_[server];
}

std::size_t ProxyTable::servers_in_use() const {
    std::size_t number = 0;
    for (std::size_t server = 0; server < methods_.size(); ++server) {
        number += in_use(server) ? 1 : 0;
    }
    return number;
}

}  // namespace micaroad::scale::wire
