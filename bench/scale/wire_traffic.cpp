#include "wire_traffic.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace micaroad::scale::wire {

Traffic& Traffic::operator+=(const Traffic& other) {
    bytes_in += other.bytes_in;
    bytes_out += other.bytes_out;
    messages_in += other.messages_in;
    messages_out += other.messages_out;
    nonces_out += other.nonces_out;
    return *this;
}

Traffic Traffic::operator-(const Traffic& other) const {
    Traffic difference;
    difference.bytes_in = bytes_in - other.bytes_in;
    difference.bytes_out = bytes_out - other.bytes_out;
    difference.messages_in = messages_in - other.messages_in;
    difference.messages_out = messages_out - other.messages_out;
    difference.nonces_out = nonces_out - other.nonces_out;
    return difference;
}

void InForce::announced(int proxy, std::size_t server, TimePoint now, bool in_use) {
    if (!in_use) {
        ++result_.not_in_use;
        return;
    }
    if (awaited_[proxy].try_emplace(server, now).second) {
        ++pending_;
    }
}

void InForce::closed(int proxy, std::size_t server, TimePoint now) {
    const auto servers = awaited_.find(proxy);
    if (servers == awaited_.end()) {
        return;
    }
    const auto found = servers->second.find(server);
    if (found == servers->second.end()) {
        return;
    }
    const std::chrono::duration<double, std::milli> delay = now - found->second;
    result_.milliseconds.push_back(delay.count());
    servers->second.erase(found);
    --pending_;
}

void InForce::server_returned(std::size_t server) {
    for (auto& [proxy, servers] : awaited_) {
        const auto erased = static_cast<std::int64_t>(servers.erase(server));
        pending_ -= erased;
        result_.overtaken += erased;
    }
}

const std::map<std::size_t, TimePoint>* InForce::awaited(int proxy) const {
    const auto found = awaited_.find(proxy);
    return found == awaited_.end() || found->second.empty() ? nullptr : &found->second;
}

InForce::Result InForce::take() {
    Result result = std::exchange(result_, {});
    std::sort(result.milliseconds.begin(), result.milliseconds.end());
    return result;
}

double percentile(const std::vector<double>& sorted, double percent) {
    if (sorted.empty()) {
        return 0;
    }
    const double rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

}  // namespace micaroad::scale::wire
