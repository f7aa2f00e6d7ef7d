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
        auto* const at = reinterpret_cast<sockaddr*>(&address);
        if (::bind(listener, at, size) != 0 || ::listen(listener, 1) != 0 ||
            ::getsockname(listener, at, &size) != 0) {
            throw std::runtime_error("no port on loopback");
        }
        auto one = std::make_unique<One>();
        one->thread = std::thread([listener, counted = &one->counted] {
            const int from = ::accept(listener, nullptr, nullptr);
            char bytes[4096];
            for (ssize_t n; (n = ::read(from, bytes, sizeof bytes)) > 0;) {
                *counted += static_cast<int>(n);
            }
            ::close(from);
            ::close(listener);
        });
        one->to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(one->to, at, size) != 0) {
            throw std::runtime_error("no connection on loopback");
        }
        servers_[name] = std::move(one);
    }
}

void CountingServers::send(const std::string& name) {
    const char rpc = 'r';
    if (::write(servers_.at(name)->to, &rpc, 1) != 1) {
        throw std::runtime_error("an RPC was not taken");
    }
}

std::map<std::string, int> CountingServers::counts() {
    std::map<std::string, int> counts;
    for (auto& [name, one] : servers_) {
        if (one->to >= 0) {
            ::close(std::exchange(one->to, -1));
        }
        if (one->thread.joinable()) {
            one->thread.join();
        }
        counts[name] = one->counted;
    }
    return counts;
}

CountingServers::~CountingServers() {
    (void)counts();
}

}  // namespace micaroad::test
