// Stand-in servers on loopback that count: each listens on a port of its own, takes one connection
// and counts what comes on it, a byte an RPC.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace micaroad::test {

class CountingServers {
 public:
    explicit CountingServers(const std::vector<std::string>& names);
    ~CountingServers();
    CountingServers(const CountingServers&) = delete;
    CountingServers& operator=(const CountingServers&) = delete;

    void send(const std::string& name);  // one RPC
    // Ends the connections, waits until all has been read, and tells what each server has counted.
    std::map<std::string, int> counts();

 private:
    struct One {
        std::thread thread;
        int to = -1;
        int counted = 0;
    };
    std::map<std::string, std::unique_ptr<One>> servers_;
};

}  // namespace micaroad::test
