// The deployment of one point, generated from a seed: servers, their changes as discovery announces
// them, proxies, and the start file of each planner.
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
const char* name_of(ServerState state);  // as in wire messages

struct Server {
    std::string id;
    int zone = 0;
    int rack = 0;
    ServerState state = ServerState::up;
    std::int64_t started_ms = 0;  // Unix time; 0: started long ago
};

// One version of discovery's list. Servers are identified by their index.
struct Change {
    std::int64_t version = 0;
    std::vector<std::size_t> servers;
    std::vector<std::size_t> ended;  // of these, those that no longer take requests
    std::vector<std::size_t> back;   // of these, those that had ended and are up again
};

struct ProxyIdentity {
    int number = 0;   // unique over all planners
    int planner = 0;  // the planner that it joins
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
    // Index of the server, or -1 if there is none with this id.
    std::ptrdiff_t find(std::string_view id) const;

    // Each call makes one new version. The first three return the servers that no longer take
    // requests.
    std::vector<std::size_t> replace(
        int count);  // drains `count` servers and adds as many new ones
    std::vector<std::size_t> remove_rack();
    std::vector<std::size_t> remove_zone();
    void restore(const std::vector<std::size_t>& servers);  // they start cold

    // Wire messages in JSON. A list of changes has each changed server once, in its current state.
    std::string complete_list() const;
    std::string changes_since(std::int64_t version) const;
    std::string start_file(int planner, const std::string& listen,
                           const std::string& discovery) const;
    // The reports of a zone's collector: one line, with CRLF, for each server that the zone reports
    // on.
    std::string outcomes(int zone);
    std::string demand(const ProxyIdentity& proxy) const;

    static std::string zone_name(int zone);
    static std::string method_name(int method);
    // The method's number, or -1 if there is no such method.
    int method_of(std::string_view name) const;

 private:
    static constexpr int kServersPerRack = 20;
    static constexpr std::int64_t kDrainMilliseconds = 5'000;  // then a draining server is removed

    Server make_server(int zone, int rack, std::int64_t started_ms);
    void add(Server server);
    std::vector<std::size_t> remove_servers(const std::function<bool(const Server&)>& is_lost);
    void remove_drained(std::vector<std::size_t>& changed);
    void publish(Change change);
    double draw(double minimum, double maximum);

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
    std::vector<Change> changes_;  // all changes, in the order of their versions
    std::int64_t version_ = 1;
};

}  // namespace micaroad::scale::wire
