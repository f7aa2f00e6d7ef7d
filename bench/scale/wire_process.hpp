// Starts and stops child processes, and reads resource use and limits from the kernel.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace micaroad::scale::wire {

// A child process. The destructor ends it by SIGTERM, and by SIGKILL if it does not exit in time.
class ChildProcess {
 public:
    // Runs `program` with LB_CONFIG set to `start_file` and its standard error appended to `log`.
    // Throws std::system_error.
    static ChildProcess run_planner(const std::string& program,
                                    const std::filesystem::path& start_file,
                                    const std::filesystem::path& log);
    // Runs `work` in a fork of this process. It keeps only the standard file descriptors and those
    // in `kept` open.
    static ChildProcess fork_with(const std::vector<int>& kept, const std::function<int()>& work);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&&) = delete;
    ~ChildProcess();

    pid_t id() const { return id_; }
    bool running();  // false once it has exited

 private:
    static constexpr std::chrono::milliseconds kTerminateTimeout{2'000}, kPollInterval{10};
    explicit ChildProcess(pid_t id) : id_(id) {}
    pid_t id_;  // 0: no process
};

struct ProcessUsage {
    double processor_seconds = 0;         // user and system
    std::int64_t proportional_bytes = 0;  // Pss
};
std::optional<ProcessUsage> usage_of(pid_t id);  // absent if it has exited

struct MachineMemory {
    std::int64_t total_bytes = 0, available_bytes = 0;
};
MachineMemory machine_memory();
std::string processor_name();
int processors();
// Raises the limit on open files to the hard limit. Returns the new limit.
std::int64_t raise_file_limit();

}  // namespace micaroad::scale::wire
