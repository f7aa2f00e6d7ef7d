// The program from start to exit, as one object whose stages have names. The core has a thread of
// its own.
#pragma once

#include <atomic>

#include "daemon/limits.hpp"
#include "daemon/start_configuration.hpp"
#include "log/log.hpp"
#include "net/acceptor.hpp"
#include "net/discovery_watch.hpp"
#include "net/prober.hpp"
#include "planner/core.hpp"

namespace micaroad {

// made -> hearing_known -> serving -> ending -> ended; failed where it can't serve.
enum class Stage { made, hearing_known, serving, ending, ended, failed };
const char* name_of(Stage stage);

class PlannerProcess : private Transport {
 public:
    PlannerProcess(StartConfiguration start, Clock clock, Log& log, Observer* observer = nullptr,
                   SyncPoints* sync = nullptr, net::WatchTimeouts timeouts = {});

    // Serves until stop() is called, by any thread. The program's exit code.
    int run();
    void stop();
    // A list from elsewhere than discovery, which `start.discovery` leaves empty then. Any thread.
    void handle(protocol::EndpointListMessage said) {
        inbox_.put(core_event::EndpointListReceived{std::move(said)});
    }
    // Reads the start file again, on the caller's thread. One that can't be used changes nothing.
    void reload(const Environment& environment);
    Stage stage() const { return stage_; }
    net::Address address() const { return acceptor_.address(); }

 private:
    static constexpr std::size_t kCoreStack = 1024 * 1024;
    static constexpr std::size_t kReaders = 64;  // the event loop, discovery, probes

    void write(StreamId stream, std::string_view message) override {
        acceptor_.write(stream, message);
    }
    void close(StreamId stream) override { acceptor_.close(stream); }
    void probe(const ServerId& server, const std::string& address) override {
        prober_.ask(server, address);
    }
    void fetch_list() override { watch_.fetch(); }
    void follow(const std::string& discovery) override;
    void enter(Stage stage);
    bool begin_serving(std::string& why);
    void decide_on();

    StartConfiguration start_;
    const Clock clock_;
    Log& log_;
    const net::Address listen_;
    std::atomic<Stage> stage_{Stage::made};
    const Limits limits_;
    protocol::BufferPool reading_, lines_, writing_;
    Inbox inbox_;
    net::Acceptor acceptor_;
    net::Prober prober_;
    net::DiscoveryWatch watch_;
    Core core_;
    std::atomic<bool> broken_{false};
    SyncPoints* const sync_;
    net::ThreadGroup core_thread_{1, kCoreStack};
};

}  // namespace micaroad
