// `micaroad serve --operators`: runs the daemon with an operator's file. SIGHUP reloads the file;
// SIGTERM and SIGINT stop the daemon.
#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <thread>

#include "command/exit_code.hpp"
#include "command/planner_service.hpp"
#include "command/subcommand.hpp"
#include "daemon/clock.hpp"
#include "operators/file.hpp"

namespace micaroad::command {
namespace {

// Blocks the signals in this thread and the threads that it starts, so that only the signal thread
// receives them.
sigset_t block_signals() {
    signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void reload(const std::string& file, PlannerService& service, Log& log) {
    const operators::ReadResult result = operators::read_file(file);
    for (const operators::Fault& fault : result.faults) {
        log.error("configuration: fault in file text=\"{}\"", fault.text());
    }
    if (!result.faults.empty()) {
        log.error("configuration: reload rejected file={} reason=\"faults in the file\"", file);
    } else if (!service.replace(result.plan)) {
        log.error(
            "configuration: reload rejected file={} reason=\"its pools differ, which needs a "
            "restart\"",
            file);
    } else {
        log.info("configuration: reloaded file={}", file);
    }
}

class Serve : public Subcommand {
 public:
    explicit Serve(CLI::App* parser) : Subcommand(parser) {
        app()
            .add_option("--operators", file_,
                        "Serve an operator's file instead of a start file: its pools are the "
                        "methods, and its health rules apply to its servers")
            ->required();
        app().footer("Example: micaroad serve --operators deploy/operator.txtpb");
    }

    int run(std::ostream&, std::ostream& err) override {
        const sigset_t signals = block_signals();
        const operators::ReadResult result = operators::read_file(file_);
        for (const operators::Fault& fault : result.faults) {
            err << fault.text() << "\n";
        }
        if (!result.faults.empty()) {
            return kInvalidInput;
        }
        Log log(STDERR_FILENO);
        for (const std::string& notice : result.notices) {
            log.warn("configuration: notice file={} text=\"{}\"", file_, notice);
        }
        PlannerService service(result.plan, clock_from_now(), log);
        std::thread signal_thread([&] { handle_signals(signals, service, log); });
        const int code = service.run();
        if (code != 0) {
            // The service failed without a signal, so the signal thread still waits for one.
            // NOLINTNEXTLINE(bugprone-bad-signal-to-kill-thread): blocked, and received by sigwait.
            pthread_kill(signal_thread.native_handle(), SIGTERM);
        }
        signal_thread.join();
        return code;
    }

 private:
    void handle_signals(const sigset_t& signals, PlannerService& service, Log& log) const {
        int number = 0;
        while (sigwait(&signals, &number) == 0 && number == SIGHUP) {
            reload(file_, service, log);
        }
        service.stop();
    }

    std::string file_;
};

}  // namespace

std::unique_ptr<Subcommand> add_serve(CLI::App& program) {
    return std::make_unique<Serve>(program.add_subcommand(
        "serve", "Run the daemon. Without options, LB_CONFIG names its start file."));
}

}  // namespace micaroad::command
