// The whole program in a test: its start file, what its module hears, and what peers say to it.
#pragma once

#include <netinet/in.h>

#include <future>

#include "daemon/clock.hpp"
#include "daemon/planner_process.hpp"
#include "net_helpers.hpp"

namespace micaroad::test {

using std::chrono::steady_clock;

inline std::string hello(int proxy) {
    return "hello sidecar=" + std::to_string(proxy) + " az=a share=2 standing=1\r\n";
}
inline std::string answer(int proxy, int mark) {
    return "ack sidecar=" + std::to_string(proxy) + " version=" + std::to_string(mark) +
           " lag_ms=1\r\n";
}
inline std::string usage(int proxy) {
    return "demand sidecar=" + std::to_string(proxy) + " kind=lookup n=4 bad=0 window=500\r\n";
}

inline bool alive(const Socket& socket) {
    socket.send_all("probe\r\n");
    return read_some(socket, 7) == "alive\r\n";
}

// Has a connection end in a reset, whatever it has left unread or unsent.
inline void reset(Socket socket) {
    const linger at_once{1, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

template <class Work>
auto beside(Work work) {
    return std::async(std::launch::async, std::move(work));
}

inline StartConfiguration start_file(const std::string& discovery) {
    StartConfiguration start;
    start.name = "n1", start.listen = "127.0.0.1:0", start.discovery = discovery;
    start.sockets = 1024, start.memory_mb = 192, start.bounds = {8},
    start.settings = sample_settings(), start.names = names();
    start.initial_list = *protocol::EndpointListReader(start.names).read(kTwoServerList);
    return start;
}

struct Heard : Observer {
    std::mutex mutex;
    std::vector<std::string> events;
    void on_event(const Event& event) override {
        const std::lock_guard lock(mutex);
        if (std::holds_alternative<event::ProxyJoined>(event)) {
            events.push_back("joined");
        }
        if (std::holds_alternative<event::ProxyLeft>(event)) {
            events.push_back("left");
        }
        if (std::holds_alternative<event::Acknowledgement>(event)) {
            events.push_back("answered");
        }
    }
    void on_decision(TimePoint, const std::vector<Order>&) override {}
    std::vector<std::string> all() {
        const std::lock_guard lock(mutex);
        return events;
    }
};

struct Running {
    DiscardingLog quiet;
    Holder sync;
    Heard heard;
    PlannerProcess program;
    std::future<int> code;
    explicit Running(const std::string& discovery = "") : Running(discovery, start_file("")) {}
    Running(const std::string& discovery, StartConfiguration start, WatchTimeouts timeouts = {},
            Clock clock = clock_now())
        : program(following(std::move(start), discovery), std::move(clock), quiet.log, &heard,
                  &sync, timeouts),
          code(beside([this] { return program.run(); })) {
        while (program.state() != LifecycleState::serving &&
               program.state() != LifecycleState::failed) {
            std::this_thread::yield();
        }
        REQUIRE(program.state() == LifecycleState::serving);
    }
    ~Running() { program.stop(), code.wait(); }
    // How long it takes to its end from the word on.
    std::chrono::milliseconds stop() {
        const auto begun = steady_clock::now();
        program.stop();
        CHECK(code.get() == 0);
        code = beside([] { return 0; });
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begun);
    }

 private:
    static StartConfiguration following(StartConfiguration start, const std::string& discovery) {
        start.discovery = discovery;
        return start;
    }
};

// Reads orders until a mark comes that is to be answered: that mark.
inline int read_mark(const Socket& proxy) {
    std::string text;
    proxy.set_receive_timeout(10s);
    for (char c; proxy.receive(&c, 1) == 1;) {
        text += c;
        if (const auto at = text.find("nonce_out="); c == '\n' && at != std::string::npos) {
            return std::stoi(text.substr(at + 10));
        }
    }
    return -1;
}

}  // namespace micaroad::test
