// Fake servers on loopback that count RPCs: each listens on a port of its own, accepts one
// connection and counts the bytes received on it, one byte for each RPC.
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

    // Sends one RPC to the server of that name.
    void send(const std::string& name);
    // Closes the connections, waits until the servers have read everything, and returns the number
    // of RPCs of each server. send() must not be called afterwards.
    std::map<std::string, int> counts();

 private:
    struct CountingServer {
        std::thread thread;
        int client_fd = -1;
        int rpcs = 0;
    };
    std::map<std::string, std::unique_ptr<CountingServer>> servers_;
};

}  // namespace micaroad::test
