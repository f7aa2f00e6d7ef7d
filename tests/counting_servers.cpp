#include "counting_servers.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace micaroad::test {

CountingServers::CountingServers(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto* const socket_address = reinterpret_cast<sockaddr*>(&address);
        if (::bind(listener, socket_address, size) != 0 || ::listen(listener, 1) != 0 ||
            ::getsockname(listener, socket_address, &size) != 0) {
            throw std::runtime_error("can't listen on a loopback port");
        }
        auto server = std::make_unique<CountingServer>();
        server->thread = std::thread([listener, rpcs = &server->rpcs] {
            const int from = ::accept(listener, nullptr, nullptr);
            char bytes[4096];
            for (ssize_t n; (n = ::read(from, bytes, sizeof bytes)) > 0;) {
                *rpcs += static_cast<int>(n);
            }
            ::close(from);
            ::close(listener);
        });
        server->client_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(server->client_fd, socket_address, size) != 0) {
            throw std::runtime_error("can't connect to the server on loopback");
        }
        servers_[name] = std::move(server);
    }
}

void CountingServers::send(const std::string& name) {
    const char rpc = 'r';
    if (::write(servers_.at(name)->client_fd, &rpc, 1) != 1) {
        throw std::runtime_error("can't send the RPC to the server");
    }
}

std::map<std::string, int> CountingServers::counts() {
    std::map<std::string, int> counts;
    for (auto& [name, server] : servers_) {
        if (server->client_fd >= 0) {
            ::close(std::exchange(server->client_fd, -1));
        }
        if (server->thread.joinable()) {
            server->thread.join();
        }
        counts[name] = server->rpcs;
    }
    return counts;
}

CountingServers::~CountingServers() {
    (void)counts();
}

}  // namespace micaroad::test
