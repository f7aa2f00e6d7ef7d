/// A reference model of how HAProxy splits traffic over the servers of a pool, written from its
/// public manual (2.8) and sharing no code with the importer: it reads a configuration by itself,
/// as far as pools go, and picks servers by the rules of each `balance` kind.
///
/// Where the manual leaves the order open the simplest is taken: only the split counts here.
/// `leastconn` and `first` need a load: RPCs come evenly and each stays for a time drawn from one
/// exponential distribution.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

namespace micaroad::test {

class HaproxyTrafficModel {
 public:
    struct Node {
        std::string name;
        int weight = 1;
        bool backup = false, disabled = false;
        int max_conn = 0;
        double slow_start = 0, check_every = 2;  // seconds
        bool down = false;
        double up_for = 1e9;  // seconds since it came up
        int running = 0;
        double turn = 0;  // of the weighted round
    };
    struct Pool {
        std::string name, balance = "roundrobin";
        bool all_backups = false, disabled = false;
        std::vector<Node> nodes;
    };
    struct Client {
        std::string source, path, query, header;
    };

    // Pools by name. Servers whose line HAProxy itself refuses, or whose address needs a
    // look-up, are left out by `known`.
    static std::map<std::string, Pool> read(const std::string& text);

    // The servers' counts after so many RPCs; "" counts those that nobody took.
    static std::map<std::string, int> spread(Pool pool, const std::vector<Client>& clients,
                                             std::mt19937_64& chance);
};

}  // namespace micaroad::test
