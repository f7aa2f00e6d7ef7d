#include "point_process.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <iostream>

#include "core_run.hpp"
#include "routing_run.hpp"

namespace micaroad::scale {
namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr double kKillTimeoutFactor =
    2;  // wall-clock time, as a multiple of the processor time limit

struct Child {
    pid_t pid = -1;
    int output = -1;
};

Child start_child(const WorldSpec& spec, const PointLimits& limits) {
    std::array<int, 2> pipe_fds{};
    if (::pipe(pipe_fds.data()) != 0) {
        throw std::runtime_error("can't create a pipe for the process of a point");
    }
    const std::string text = json(spec).dump(),
                      seconds = fmt::format("{}", limits.processor_seconds),
                      memory = fmt::format("{}", limits.memory_bytes);
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw std::runtime_error("can't start the process of a point");
    }
    if (pid == 0) {
        ::dup2(pipe_fds[1], STDOUT_FILENO);
        ::close(pipe_fds[0]);
        ::close(pipe_fds[1]);
        ::execl("/proc/self/exe", "micaroad_scale", "point", "--spec", text.c_str(),
                "--point-seconds", seconds.c_str(), "--memory-bytes", memory.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ::close(pipe_fds[1]);
    return {pid, pipe_fds[0]};
}

// Reads the output of the child until it closes the pipe. Returns false at the deadline.
bool read_all(int fd, SteadyClock::time_point deadline, std::string& text) {
    std::array<char, 4'096> buffer{};
    while (true) {
        const auto remaining_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock::now())
                .count();
        pollfd readable{fd, POLLIN, 0};
        if (remaining_ms <= 0 || ::poll(&readable, 1, static_cast<int>(remaining_ms)) == 0) {
            return false;
        }
        const ssize_t received = ::read(fd, buffer.data(), buffer.size());
        if (received <= 0) {
            return true;
        }
        text.append(buffer.data(), static_cast<std::size_t>(received));
    }
}

json outcome_of(int wait_status, const std::string& output) {
    if (WIFSIGNALED(wait_status)) {
        return {{"status", "failed"},
                {"why", fmt::format("ended by signal {}", WTERMSIG(wait_status))}};
    }
    if (WEXITSTATUS(wait_status) != 0) {
        return {{"status", "failed"},
                {"why", fmt::format("exit code {}", WEXITSTATUS(wait_status))}};
    }
    json result = json::parse(output, nullptr, false);
    if (result.is_discarded()) {
        return {{"status", "failed"}, {"why", "its output can't be read"}};
    }
    result["status"] = result.at("stopped").get<bool>() ? "stopped" : "done";
    result.erase("stopped");
    return result;
}

}  // namespace

json run_point_process(const WorldSpec& spec, const PointLimits& limits) {
    const Child child = start_child(spec, limits);
    const auto timeout =
        std::chrono::duration<double>(kKillTimeoutFactor * limits.processor_seconds);
    std::string output;
    const auto deadline =
        SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(timeout);
    const bool ended = read_all(child.output, deadline, output);
    if (!ended) {
        ::kill(child.pid, SIGKILL);
    }
    int status = 0;
    ::waitpid(child.pid, &status, 0);
    ::close(child.output);
    if (!ended) {
        return {{"status", "killed"},
                {"why", fmt::format("not ended after {:.0f} s", timeout.count())}};
    }
    return outcome_of(status, output);
}

int point_main(const std::string& spec_json, const PointLimits& limits) {
    if (limits.memory_bytes > 0) {
        const auto max_bytes = static_cast<rlim_t>(limits.memory_bytes);
        const rlimit limit{max_bytes, max_bytes};
        ::setrlimit(RLIMIT_AS, &limit);
    }
    WorldSpec spec;
    try {
        spec = json::parse(spec_json).get<WorldSpec>();
    } catch (const json::exception& bad) {
        throw BadWorld(bad.what());
    }
    const json result = spec.workload == Workload::core
                            ? run_core(spec, limits.processor_seconds)
                            : run_routing(spec, limits.processor_seconds);
    std::cout << result.dump() << std::endl;
    return 0;
}

}  // namespace micaroad::scale
