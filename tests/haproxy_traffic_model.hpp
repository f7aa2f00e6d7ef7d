/// A reference model of how HAProxy splits traffic over the servers of a pool. It is written from
/// HAProxy's public manual (2.8) and shares no code with the importer: it parses the pools of a
/// configuration itself and selects servers by the rules of each `balance` algorithm.
///
/// Where the manual does not define the order of selection, the model uses the simplest one,
/// because tests compare only the split. `leastconn` and `first` depend on the load: RPCs arrive at
/// a constant rate, and their durations are drawn from one exponential distribution.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

namespace micaroad::test {

class HaproxyTrafficModel {
 public:
    struct Server {
        std::string name;
        int weight = 1;
        bool backup = false, disabled = false;
        int max_conn = 0;
        double slow_start = 0, check_interval = 2;  // seconds
        bool down = false;
        double seconds_up = 1e9;
        int running = 0;
        double round_robin_credit = 0;
    };
    struct Pool {
        std::string name, balance = "roundrobin";
        bool all_backups = false, disabled = false;
        std::vector<Server> servers;
    };
    struct Client {
        std::string source, path, query, header;
    };

    // Parses the pools of a configuration, by name. They include servers that the importer drops:
    // those whose line HAProxy itself refuses, and those whose address needs a DNS look-up.
    static std::map<std::string, Pool> read(const std::string& text);

    // Returns the number of RPCs by server for one RPC of each client; "" counts the RPCs for which
    // no server was available.
    static std::map<std::string, int> spread(Pool pool, const std::vector<Client>& clients,
                                             std::mt19937_64& rng);
};

}  // namespace micaroad::test
