// The deployment of one point, drawn by seed: servers and their changes as discovery tells them,
// proxies, and the start file of each planner.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire_options.hpp"

namespace micaroad::scale::wire {

enum class ServerState { up, draining, removed };
const char* name_of(ServerState state);  // as the wire has it

struct Server {
    std::string id;
    int zone = 0;
    int rack = 0;
    ServerState state = ServerState::up;
    std::int64_t started_ms = 0;  // Unix time; 0: long ago
};

// What discovery tells as one version. Servers by their index.
struct Change {
    std::int64_t version = 0;
    std::vector<std::size_t> servers;
    std::vector<std::size_t> ended;  // among them: those that take no requests from now on
    std::vector<std::size_t> back;   // among them: those that had ended and are up again
};

struct ProxyIdentity {
    int number = 0;   // over all planners
    int planner = 0;  // that it joins
    int zone = 0;
    double requests_per_second = 1;
};

class World {
 public:
    World(const WireWorld& sizes, std::uint32_t seed);

    const WireWorld& sizes() const { return sizes_; }
    const std::vector<Server>& servers() const { return servers_; }
    const std::vector<ProxyIdentity>& proxies() const { return proxies_; }
    std::int64_t version() const { return version_; }
    const std::vector<Change>& changes() const { return changes_; }
    // Index of the server, or a negative number.
    std::ptrdiff_t find(std::string_view id) const;

    // Each returns the servers that take no requests any more. One version each.
    std::vector<std::size_t> replace_some(int count);  // that many drain, as many fresh ones come
    std::vector<std::size_t> lose_rack();
    std::vector<std::size_t> lose_zone();
    void bring_back(const std::vector<std::size_t>& servers);  // cold

    // JSON objects of the wire. A change object names each server once, as it stands now.
    std::string whole_list() const;
    std::string changes_since(std::int64_t version) const;
    std::string start_file(int planner, const std::string& listen,
                           const std::string& discovery) const;
    // Lines of the collector of a zone: one on each server of which it is the reporter, CRLF
    // included.
    std::string outcomes(int zone);
    std::string demand(const ProxyIdentity& proxy) const;

    static std::string zone_name(int zone);
    static std::string method_name(int method);
    // The method's number, or a negative number.
    int method_of(std::string_view name) const;

 private:
    static constexpr int kServersPerRack = 20;
    static constexpr std::int64_t kDrainMilliseconds = 5'000;  // then a drained server is removed

    Server make_server(int zone, int rack, std::int64_t started_ms);
    void add(Server server);
    std::vector<std::size_t> lose(const std::function<bool(const Server&)>& lost);
    void remove_drained(std::vector<std::size_t>& changed);
    void publish(Change change);
    double draw(double least, double most);

    struct Draining {
        std::size_t server = 0;
        std::int64_t since_ms = 0;
    };
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };

    const WireWorld sizes_;
    std::minstd_rand random_;
    std::vector<Server> servers_;
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> index_;
    std::vector<ProxyIdentity> proxies_;
    std::vector<Draining> draining_;
    std::vector<Change> changes_;  // in order of versions, all of them
    std::int64_t version_ = 1;
};

}  // namespace micaroad::scale::wire
