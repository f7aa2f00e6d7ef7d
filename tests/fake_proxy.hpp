/// A fake proxy that speaks the protocol over a socket. It joins, reads its orders on a thread of
/// its own, acknowledges nonces, and records after each order to which servers it may send.
/// Servers that it was ordered to eject stay ejected across streams.
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "program_helpers.hpp"

namespace micaroad::test {

class FakeProxy {
 public:
    FakeProxy(const Address& planner, int number)
        : number_(number), socket_(dial(planner)), reader_([this] { read(); }) {
        socket_.send_all(hello(number));
    }
    ~FakeProxy() {
        socket_.shut_down();
        reader_.join();
    }

    // Whether its tables, one for each method that it was told of, all have a server that is not
    // ejected.
    bool has_table() const {
        const std::lock_guard lock(mutex_);
        if (tables_.empty()) {
            return false;
        }
        for (const auto& [method, table] : tables_) {
            bool has_open_server = false;
            for (const auto& [server, weight] : table) {
                has_open_server |= weight > 0 && !ejected_.contains(server);
            }
            if (!has_open_server) {
                return false;
            }
        }
        return true;
    }
    bool may_send_to(const std::string& server) const {
        const std::lock_guard lock(mutex_);
        return sends_to(server);
    }
    // Whether it was allowed to send to the server after any order since that time.
    bool was_allowed_to_send_to(const std::string& server, steady_clock::time_point since) const {
        const std::lock_guard lock(mutex_);
        for (const Order& order : orders_) {
            if (order.at >= since && order.allowed_servers.contains(server)) {
                return true;
            }
        }
        return false;
    }
    // Its orders since that time, one a line, for the message of a failing test.
    std::string order_history(steady_clock::time_point since) const {
        const std::lock_guard lock(mutex_);
        std::ostringstream text;
        for (const Order& order : orders_) {
            const auto at =
                std::chrono::duration_cast<std::chrono::milliseconds>(order.at - since).count();
            text << "proxy " << number_ << " at " << at << " ms: " << order.line.substr(0, 200)
                 << "\n";
        }
        if (ended_) {
            text << "proxy " << number_ << ": its stream has ended\n";
        }
        return text.str();
    }

 private:
    struct Order {
        steady_clock::time_point at;
        std::string line;
        std::set<std::string> allowed_servers;  // from this order on
    };
    static std::vector<std::string> split(const std::string& text, char separator) {
        std::vector<std::string> parts;
        std::istringstream in(text);
        for (std::string part; std::getline(in, part, separator);) {
            parts.push_back(part);
        }
        return parts;
    }
    bool sends_to(const std::string& server) const {
        if (ejected_.contains(server)) {
            return false;
        }
        for (const auto& [method, table] : tables_) {
            if (const auto line = table.find(server); line != table.end() && line->second > 0) {
                return true;
            }
        }
        return false;
    }
    void read() {
        std::string line;
        for (char c; socket_.receive(&c, 1) == 1;) {
            if (c != '\n') {
                if (c != '\r') {
                    line += c;
                }
                continue;
            }
            apply(std::exchange(line, {}));
        }
        const std::lock_guard lock(mutex_);
        ended_ = true;
    }
    void apply(const std::string& line) {
        std::map<std::string, std::string> fields;
        for (const std::string& word : split(line, ' ')) {
            if (const auto at = word.find('='); at != std::string::npos) {
                fields[word.substr(0, at)] = word.substr(at + 1);
            }
        }
        const std::lock_guard lock(mutex_);
        for (const std::string& method : split(fields["routes"], '+')) {
            auto& table = tables_[method];
            if (fields["full"] == "1") {
                table.clear();
            }
            for (const std::string& pair : split(fields["endpoints"], ',')) {
                table[pair.substr(0, pair.find(':'))] = std::stod(pair.substr(pair.find(':') + 1));
            }
        }
        for (const std::string& server : split(fields["eject"], ',')) {
            ejected_.insert(server);
        }
        for (const std::string& server : split(fields["restore"], ',')) {
            ejected_.erase(server);
        }
        if (const std::string& nonce = fields["nonce_out"]; !nonce.empty()) {
            socket_.send_all(acknowledgement(number_, std::stoi(nonce)));
        }
        Order order{steady_clock::now(), line, {}};
        for (const auto& [method, table] : tables_) {
            for (const auto& [server, weight] : table) {
                if (sends_to(server)) {
                    order.allowed_servers.insert(server);
                }
            }
        }
        orders_.push_back(std::move(order));
    }

    const int number_;
    const Socket socket_;
    mutable std::mutex mutex_;
    std::map<std::string, std::map<std::string, double>> tables_;
    std::set<std::string> ejected_;
    std::vector<Order> orders_;
    bool ended_ = false;
    std::thread reader_;
};

using Proxies = std::vector<std::unique_ptr<FakeProxy>>;

// Waits until a condition holds for every proxy. Fails with the orders of the proxies for which
// it does not hold in time.
template <class Condition>
void require_for_all(const Proxies& proxies, std::chrono::milliseconds timeout,
                     const std::string& what, Condition condition) {
    const auto start = steady_clock::now();
    for (;;) {
        std::string unmet;
        const bool timed_out = steady_clock::now() > start + timeout;
        for (const auto& proxy : proxies) {
            if (!condition(*proxy)) {
                unmet += timed_out ? proxy->order_history(start) : "?";
            }
        }
        if (unmet.empty()) {
            return;
        }
        if (timed_out) {
            FAIL(what << " within " << timeout.count() << " ms:\n" << unmet);
        }
        std::this_thread::sleep_for(5ms);
    }
}

// Checks the rule on drains: since that time no proxy was allowed to send to the server.
inline void check_never_allowed(const Proxies& proxies, const std::string& server,
                                steady_clock::time_point since) {
    for (const auto& proxy : proxies) {
        if (proxy->was_allowed_to_send_to(server, since)) {
            FAIL_CHECK(server << " was allowed again:\n" << proxy->order_history(since));
        }
    }
}

}  // namespace micaroad::test
