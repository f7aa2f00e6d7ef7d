// Runs a whole planner process inside a test: its start configuration, a recorder of the events of
// its core, and the messages that peers send to it.
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
inline std::string acknowledgement(int proxy, int nonce) {
    return "ack sidecar=" + std::to_string(proxy) + " version=" + std::to_string(nonce) +
           " lag_ms=1\r\n";
}
inline std::string demand_report(int proxy) {
    return "demand sidecar=" + std::to_string(proxy) + " kind=lookup n=4 bad=0 window=500\r\n";
}

// Sends a probe; returns whether the planner answers it.
inline bool answers_probe(const Socket& socket) {
    socket.send_all("probe\r\n");
    return receive_bytes(socket, 7) == "alive\r\n";
}

// Closes the connection with a reset, even if nothing is unread or unsent.
inline void close_with_reset(Socket socket) {
    const linger immediately{1, 0};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

template <class Work>
auto run_async(Work work) {
    return std::async(std::launch::async, std::move(work));
}

inline StartConfiguration start_configuration(const std::string& discovery) {
    StartConfiguration start;
    start.name = "n1", start.listen = "127.0.0.1:0", start.discovery = discovery;
    start.sockets = 1024, start.memory_mb = 192, start.bounds = {8},
    start.settings = sample_settings(), start.names = names();
    start.initial_list = *protocol::EndpointListReader(start.names).read(kTwoServerList);
    return start;
}

// Records, in order, that a proxy joined, acknowledged an update or left.
struct EventRecorder : Observer {
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
            events.push_back("acknowledged");
        }
    }
    void on_decision(TimePoint, const std::vector<Order>&) override {}
    std::vector<std::string> all() {
        const std::lock_guard lock(mutex);
        return events;
    }
};

// A planner process that runs on a thread of its own and is serving once it has been constructed.
struct RunningPlanner {
    DiscardingLog quiet;
    BlockingSyncPoints sync;
    EventRecorder recorder;
    PlannerProcess process;
    std::future<int> exit_code;
    explicit RunningPlanner(const std::string& discovery = "")
        : RunningPlanner(discovery, start_configuration("")) {}
    RunningPlanner(const std::string& discovery, StartConfiguration start,
                   WatchTimeouts timeouts = {}, Clock clock = clock_now())
        : process(with_discovery(std::move(start), discovery), std::move(clock), quiet.log,
                  &recorder, &sync, timeouts),
          exit_code(run_async([this] { return process.run(); })) {
        while (process.state() != LifecycleState::serving &&
               process.state() != LifecycleState::failed) {
            std::this_thread::yield();
        }
        REQUIRE(process.state() == LifecycleState::serving);
    }
    ~RunningPlanner() { process.stop(), exit_code.wait(); }
    // Stops the process and returns how long that took.
    std::chrono::milliseconds stop() {
        const auto started = steady_clock::now();
        process.stop();
        CHECK(exit_code.get() == 0);
        exit_code = run_async([] { return 0; });
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - started);
    }

 private:
    static StartConfiguration with_discovery(StartConfiguration start,
                                             const std::string& discovery) {
        start.discovery = discovery;
        return start;
    }
};

// Reads updates until one carries a nonce to be acknowledged, and returns the nonce; -1 if none
// arrives.
inline int read_nonce(const Socket& proxy) {
    std::string text;
    proxy.set_receive_timeout(10s);
    for (char c; proxy.receive(&c, 1) == 1;) {
        text += c;
        if (const auto found = text.find("nonce_out="); c == '\n' && found != std::string::npos) {
            return std::stoi(text.substr(found + 10));
        }
    }
    return -1;
}

}  // namespace micaroad::test
