#include "routing/sticky_key.hpp"

#include <algorithm>

#include "routing/match.hpp"

namespace micaroad::routing {
namespace {

// The first directories of a path, each with the slash before it.
std::string leading_directories(const std::string& path, int count) {
    std::size_t slash = path.find('/');
    for (int directory = 0; directory < count && slash != std::string::npos; ++directory) {
        slash = path.find('/', slash + 1);
    }
    return path.substr(0, slash);
}

std::string path_key(const Stickiness& stickiness, const Rpc& rpc) {
    std::string path = rpc.path;
    if (stickiness.include_query && !rpc.query.empty()) {
        path += "?" + rpc.query;
    }
    if (stickiness.path_length > 0) {
        path.resize(std::min<std::size_t>(path.size(), stickiness.path_length));
    }
    return stickiness.path_depth > 0 ? leading_directories(path, stickiness.path_depth) : path;
}

std::string query_value(const std::string& query, const std::string& name) {
    std::size_t begin = 0;
    while (begin <= query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string parameter = query.substr(begin, end - begin);
        const std::size_t equals = parameter.find('=');
        if (equals != std::string::npos && parameter.substr(0, equals) == name) {
            return parameter.substr(equals + 1);
        }
        begin = end + 1;
    }
    return "";
}

std::string header_value(const Rpc& rpc, const std::string& name) {
    const std::string lower_name = to_lower(name);
    const auto header =
        std::find_if(rpc.headers.begin(), rpc.headers.end(),
                     [&lower_name](const auto& field) { return field.first == lower_name; });
    return header == rpc.headers.end() ? "" : header->second;
}

std::string cookie_value(const Rpc& rpc, const std::string& name) {
    const auto cookie = rpc.cookies.find(name);
    return cookie == rpc.cookies.end() ? "" : cookie->second;
}

}  // namespace

std::string sticky_key(const Stickiness& stickiness, const Rpc& rpc) {
    using By = Stickiness::By;
    switch (stickiness.by) {
        case By::none:
            return "";
        case By::source:
            return rpc.source.text();
        case By::path:
            return path_key(stickiness, rpc);
        case By::query:
            return query_value(rpc.query, stickiness.name);
        case By::header:
            return header_value(rpc, stickiness.name);
        case By::cookie:
            return cookie_value(rpc, stickiness.name);
        case By::request_hash:
            return rpc.method + " " + rpc.host + " " + rpc.path + "?" + rpc.query + " " +
                   rpc.source.text();
    }
    return "";
}

}  // namespace micaroad::routing
