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

constexpr int kCantLoad = 2;

// Commands other than the daemon stand in a library beside the program, which only they load: the
// daemon holds no parser and no schema (docs/haproxy-import.md has what linking them would cost).
int command(int argc, char** argv) {
    std::error_code failed;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", failed);
    const std::string library = (self.parent_path() / "libmicaroad_command.so").string();
    void* const loaded = failed ? nullptr : dlopen(library.c_str(), RTLD_NOW | RTLD_LOCAL);
    using Command = int (*)(int, char**);
    const auto run =
        loaded == nullptr ? nullptr : reinterpret_cast<Command>(dlsym(loaded, "micaroad_command"));
    if (run == nullptr) {
        std::fprintf(stderr, "micaroad: %s\n", failed ? failed.message().c_str() : dlerror());
        return kCantLoad;
    }
    return run(argc, argv);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 2 || (argc == 2 && std::strcmp(argv[1], "serve") != 0)) {
        return command(argc, argv);
    }
    // One core: more arenas would only hold memory.
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    // Blocked before any thread starts: only the ear below takes them.
    sigset_t heard;
    sigemptyset(&heard);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&heard, signal);
    }
    pthread_sigmask(SIG_BLOCK, &heard, nullptr);
    micaroad::Log log(STDERR_FILENO);
    try {
        micaroad::PlannerProcess program(micaroad::load_start_configuration(std::getenv),
                                         micaroad::clock_from_now(), log);
        std::thread ear([&heard, &program] {
            int signal = 0;
            while (sigwait(&heard, &signal) == 0 && signal == SIGHUP) {
                program.reload(std::getenv);
            }
            program.stop();
        });
        const int code = program.run();
        // It is blocked everywhere, and waited for by that thread: nothing is terminated by it.
        if (code != 0) {
            // NOLINTNEXTLINE(bugprone-bad-signal-to-kill-thread)
            pthread_kill(ear.native_handle(), SIGTERM);
        }
        ear.join();
        return code;
    } catch (const micaroad::ConfigurationError& bad) {
        std::fprintf(stderr, "micaroad: %s\n", bad.what());
        return 2;
    }
}
