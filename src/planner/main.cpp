#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "planner/program.hpp"

namespace {

// Instants count from the Unix epoch, as list entries do, but go on evenly when the system's clock is set.
micaroad::Clock clock_from_now() {
    using std::chrono::steady_clock, std::chrono::system_clock;
    const auto epoch = std::chrono::duration_cast<micaroad::Span>(system_clock::now().time_since_epoch());
    return [epoch, begun = steady_clock::now()] {
        return micaroad::Instant{epoch +
                                 std::chrono::duration_cast<micaroad::Span>(steady_clock::now() - begun)};
    };
}

}  // namespace

int main() {
    // One core: more arenas would only hold memory.
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    // Blocked before any thread starts: only the ear below takes them.
    sigset_t heard;
    sigemptyset(&heard);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&heard, signal);
    pthread_sigmask(SIG_BLOCK, &heard, nullptr);
    micaroad::Log log(STDERR_FILENO);
    try {
        micaroad::Program program(micaroad::read_start_file(std::getenv), clock_from_now(), log);
        std::thread ear([&heard, &program] {
            int signal = 0;
            while (sigwait(&heard, &signal) == 0 && signal == SIGHUP) program.reload(std::getenv);
            program.stop();
        });
        const int code = program.run();
        if (code != 0) pthread_kill(ear.native_handle(), SIGTERM);
        ear.join();
        return code;
    } catch (const micaroad::BadStart& bad) {
        std::fprintf(stderr, "micaroad: %s\n", bad.what());
        return 2;
    }
}
