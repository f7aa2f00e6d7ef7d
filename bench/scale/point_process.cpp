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

constexpr double kKilledAfter = 2;  // times its processor time, on the clock

struct Child {
    pid_t pid = -1;
    int output = -1;
};

Child start_child(const WorldSpec& spec, const PointLimits& limits) {
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0) {
        throw std::runtime_error("no pipe");
    }
    const std::string text = json(spec).dump(),
                      seconds = fmt::format("{}", limits.processor_seconds),
                      memory = fmt::format("{}", limits.memory_bytes);
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw std::runtime_error("no process");
    }
    if (pid == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        ::execl("/proc/self/exe", "micaroad_scale", "point", "--spec", text.c_str(),
                "--point-seconds", seconds.c_str(), "--memory-bytes", memory.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ::close(ends[1]);
    return {pid, ends[0]};
}

// All that the child writes until it ends; false once the time is over.
bool read_all(int fd, SteadyClock::time_point until, std::string& text) {
    std::array<char, 4'096> buffer{};
    while (true) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - SteadyClock::now())
                .count();
        pollfd readable{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) == 0) {
            return false;
        }
        const ssize_t got = ::read(fd, buffer.data(), buffer.size());
        if (got <= 0) {
            return true;
        }
        text.append(buffer.data(), static_cast<std::size_t>(got));
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
    const auto patience = std::chrono::duration<double>(kKilledAfter * limits.processor_seconds);
    std::string output;
    const auto until =
        SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(patience);
    const bool ended = read_all(child.output, until, output);
    if (!ended) {
        ::kill(child.pid, SIGKILL);
    }
    int status = 0;
    ::waitpid(child.pid, &status, 0);
    ::close(child.output);
    if (!ended) {
        return {{"status", "killed"},
                {"why", fmt::format("not ended after {:.0f} s", patience.count())}};
    }
    return outcome_of(status, output);
}

int point_main(const std::string& spec_json, const PointLimits& limits) {
    if (limits.memory_bytes > 0) {
        const auto most = static_cast<rlim_t>(limits.memory_bytes);
        const rlimit limit{most, most};
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
