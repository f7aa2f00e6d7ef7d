/// The program `micaroad`. It contains the daemon; the other commands are in a shared library,
/// which is loaded from the program's directory.
///
/// Exit codes of the daemon: 0 stopped by a signal, 1 failed, 2 invalid configuration. Exit code 2
/// also means that the library of the other commands can't be loaded.

#include <dlfcn.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <thread>

#include "daemon/clock.hpp"
#include "daemon/planner_process.hpp"

namespace {

constexpr int kExitCannotLoad = 2;
constexpr int kExitBadConfiguration = 2;

// Commands other than the daemon are in a shared library that is loaded only for them. This keeps
// their parsers and schemas out of the daemon's memory; docs/haproxy-import.md has the cost of
// linking them.
int run_command(int argc, char** argv) {
    using Command = int (*)(int, char**);
    std::error_code error;
    const auto program = std::filesystem::read_symlink("/proc/self/exe", error);
    if (error) {
        std::fprintf(stderr, "micaroad: %s\n", error.message().c_str());
        return kExitCannotLoad;
    }
    const std::string path = (program.parent_path() / "libmicaroad_command.so").string();
    void* const library = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    void* const symbol = library == nullptr ? nullptr : dlsym(library, "micaroad_command");
    if (symbol == nullptr) {
        std::fprintf(stderr, "micaroad: %s\n", dlerror());
        return kExitCannotLoad;
    }
    return reinterpret_cast<Command>(symbol)(argc, argv);
}

// The signals that the signal thread waits for: SIGHUP reloads the configuration, the others stop
// the daemon.
sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

void handle_signals(const sigset_t& signals, micaroad::PlannerProcess& process) {
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        process.reload(std::getenv);
    }
    process.stop();
}

// Throws ConfigurationError.
int serve(const sigset_t& signals, micaroad::Log& log) {
    micaroad::PlannerProcess process(micaroad::load_start_configuration(std::getenv),
                                     micaroad::clock_from_now(), log);
    std::thread signal_thread([&signals, &process] { handle_signals(signals, process); });
    const int code = process.run();
    // After a failure no signal has arrived, so the signal thread still waits for one. The signal
    // sent here is blocked in all threads and therefore terminates none of them.
    if (code != 0) {
        // NOLINTNEXTLINE(bugprone-bad-signal-to-kill-thread)
        pthread_kill(signal_thread.native_handle(), SIGTERM);
    }
    signal_thread.join();
    return code;
}

}  // namespace

int main(int argc, char** argv) {
    const bool is_daemon = argc < 2 || (argc == 2 && std::strcmp(argv[1], "serve") == 0);
    if (!is_daemon) {
        return run_command(argc, argv);
    }
    // The daemon uses one processor core, so further malloc arenas would only waste memory.
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    // Blocked before any thread starts, so that only the signal thread receives them.
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    micaroad::Log log(STDERR_FILENO);
    try {
        return serve(signals, log);
    } catch (const micaroad::ConfigurationError& error) {
        std::fprintf(stderr, "micaroad: %s\n", error.what());
        return kExitBadConfiguration;
    }
}
