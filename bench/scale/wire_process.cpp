#include "wire_process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <thread>
#include <utility>

namespace micaroad::scale::wire {
namespace {

constexpr int kExitCantRun = 127;
constexpr std::int64_t kKibibyte = 1'024;

pid_t fork_or_throw() {
    const pid_t parent = getpid();
    const pid_t id = fork();
    if (id < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (id > 0) {
        return id;
    }
    // The kernel kills the child when the run ends, even if the run crashes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(kExitCantRun);
    }
    return 0;
}

void close_all_but(const std::vector<int>& kept) {
    std::vector<int> open;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        open.push_back(std::atoi(entry.path().filename().c_str()));
    }
    for (const int fd : open) {
        if (fd > STDERR_FILENO && std::find(kept.begin(), kept.end(), fd) == kept.end()) {
            close(fd);
        }
    }
}

// The value in KiB of `name` in a file with lines "name: value kB"; 0 if there is no such line.
std::int64_t kibibytes_in(const std::string& path, const std::string& name) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":")) {
            return std::atoll(line.c_str() + name.size() + 1);
        }
    }
    return 0;
}

}  // namespace

ChildProcess ChildProcess::run_planner(const std::string& program,
                                       const std::filesystem::path& start_file,
                                       const std::filesystem::path& log) {
    const pid_t id = fork_or_throw();
    if (id > 0) {
        return ChildProcess(id);
    }
    const int log_fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (log_fd < 0 || dup2(log_fd, STDERR_FILENO) < 0) {
        _exit(kExitCantRun);
    }
    close_all_but({});
    setenv("LB_CONFIG", start_file.c_str(), 1);
    for (const char* variable : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY"}) {
        unsetenv(variable);
    }
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(kExitCantRun);
}

ChildProcess ChildProcess::fork_with(const std::vector<int>& kept,
                                     const std::function<int()>& work) {
    const pid_t id = fork_or_throw();
    if (id > 0) {
        return ChildProcess(id);
    }
    close_all_but(kept);
    int code = kExitCantRun;
    try {
        code = work();
    } catch (const std::exception& failed) {
        fmt::print(stderr, "hollow planners: {}\n", failed.what());
    }
    _exit(code);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept : id_(std::exchange(other.id_, 0)) {}

bool ChildProcess::running() {
    if (id_ == 0) {
        return false;
    }
    if (waitpid(id_, nullptr, WNOHANG) == 0) {
        return true;
    }
    id_ = 0;
    return false;
}

ChildProcess::~ChildProcess() {
    if (!running()) {
        return;
    }
    kill(id_, SIGTERM);
    const auto limit = std::chrono::steady_clock::now() + kTerminateTimeout;
    while (running() && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(kPollInterval);
    }
    if (id_ == 0) {
        return;
    }
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
}

// Reads the CPU clock of the process, which has a resolution of nanoseconds; /proc/PID/stat counts
// ticks of 10 ms.
std::optional<ProcessUsage> usage_of(pid_t id) {
    clockid_t clock{};
    timespec used{};
    if (clock_getcpuclockid(id, &clock) != 0 || clock_gettime(clock, &used) != 0) {
        return std::nullopt;
    }
    ProcessUsage usage;
    usage.processor_seconds =
        static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
    usage.proportional_bytes =
        kibibytes_in(fmt::format("/proc/{}/smaps_rollup", id), "Pss") * kKibibyte;
    return usage;
}

MachineMemory machine_memory() {
    return {kibibytes_in("/proc/meminfo", "MemTotal") * kKibibyte,
            kibibytes_in("/proc/meminfo", "MemAvailable") * kKibibyte};
}

std::string processor_name() {
    std::ifstream file("/proc/cpuinfo");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("model name")) {
            return line.substr(std::min(line.find(':') + 2, line.size()));
        }
    }
    return "unknown";
}

int processors() {
    return static_cast<int>(std::thread::hardware_concurrency());
}

std::int64_t raise_file_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::int64_t>(limit.rlim_cur);
}

}  // namespace micaroad::scale::wire
