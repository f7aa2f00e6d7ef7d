/// A fake proxy that speaks the protocol over a socket: joins, reads its orders on a thread of its
/// own, acknowledges nonces, and records for each server when it might send there. Servers that it
/// was ordered to eject stay ejected across streams.
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

    // A table with at least one server that is not shut out, for each method it has been told of.
    bool has_table() const {
        const std::lock_guard lock(mutex_);
        if (tables_.empty()) {
            return false;
        }
        for (const auto& [method, table] : tables_) {
            bool any = false;
            for (const auto& [server, weight] : table) {
                any |= weight > 0 && !ejected_.contains(server);
            }
            if (!any) {
                return false;
            }
        }
        return true;
    }
    bool may_send_to(const std::string& server) const {
        const std::lock_guard lock(mutex_);
        return sends_to(server);
    }
    // Whether an order has let it send there since that instant.
    bool was_let_send_to(const std::string& server, steady_clock::time_point since) const {
        const std::lock_guard lock(mutex_);
        for (const Order& order : orders_) {
            if (order.at >= since && order.open.contains(server)) {
                return true;
            }
        }
        return false;
    }
    // For a failing test: its orders since that instant, one a line.
    std::string story(steady_clock::time_point since) const {
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
        std::set<std::string> open;  // where it may send from then on
    };
    static std::vector<std::string> split(const std::string& text, char by) {
        std::vector<std::string> parts;
        std::istringstream in(text);
        for (std::string part; std::getline(in, part, by);) {
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
        std::map<std::string, std::string> words;
        for (const std::string& word : split(line, ' ')) {
            if (const auto at = word.find('='); at != std::string::npos) {
                words[word.substr(0, at)] = word.substr(at + 1);
            }
        }
        const std::lock_guard lock(mutex_);
        for (const std::string& method : split(words["routes"], '+')) {
            auto& table = tables_[method];
            if (words["full"] == "1") {
                table.clear();
            }
            for (const std::string& pair : split(words["endpoints"], ',')) {
                table[pair.substr(0, pair.find(':'))] = std::stod(pair.substr(pair.find(':') + 1));
            }
        }
        for (const std::string& server : split(words["eject"], ',')) {
            ejected_.insert(server);
        }
        for (const std::string& server : split(words["restore"], ',')) {
            ejected_.erase(server);
        }
        if (const std::string& nonce = words["nonce_out"]; !nonce.empty()) {
            socket_.send_all(acknowledgement(number_, std::stoi(nonce)));
        }
        Order order{steady_clock::now(), line, {}};
        for (const auto& [method, table] : tables_) {
            for (const auto& [server, weight] : table) {
                if (sends_to(server)) {
                    order.open.insert(server);
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

// The oracle: waits until it holds for every proxy, or names those for which it did not in time,
// and what they were told.
template <class Holds>
void require_of_all(const Proxies& proxies, std::chrono::milliseconds within,
                    const std::string& what, Holds holds) {
    const auto begun = steady_clock::now();
    for (;;) {
        std::string missing;
        const bool late = steady_clock::now() > begun + within;
        for (const auto& proxy : proxies) {
            if (!holds(*proxy)) {
                missing += late ? proxy->story(begun) : "?";
            }
        }
        if (missing.empty()) {
            return;
        }
        if (late) {
            FAIL(what << " within " << within.count() << " ms:\n" << missing);
        }
        std::this_thread::sleep_for(5ms);
    }
}

// The rule on drains: nobody is let send there again.
inline void check_nobody_was_let(const Proxies& proxies, const std::string& server,
                                 steady_clock::time_point since) {
    for (const auto& proxy : proxies) {
        if (proxy->was_let_send_to(server, since)) {
            FAIL_CHECK(server << " was given again:\n" << proxy->story(since));
        }
    }
}

}  // namespace micaroad::test
