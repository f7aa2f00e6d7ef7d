// Processes that the run starts and ends by their id, and what the kernel tells of them.
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

// Ended with the object: SIGTERM, then SIGKILL.
class ChildProcess {
 public:
    // Runs `program` with LB_CONFIG naming `start_file` and its standard error in `log`. Throws
    // std::system_error.
    static ChildProcess run_planner(const std::string& program,
                                    const std::filesystem::path& start_file,
                                    const std::filesystem::path& log);
    // Runs `work` in a copy of this process, which keeps of its files only the standard ones and
    // `kept`.
    static ChildProcess fork_with(const std::vector<int>& kept, const std::function<int()>& work);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&&) = delete;
    ~ChildProcess();

    pid_t id() const { return id_; }
    bool running();  // false once it has ended by itself

 private:
    static constexpr std::chrono::milliseconds kEndLimit{2'000}, kLookEvery{10};
    explicit ChildProcess(pid_t id) : id_(id) {}
    pid_t id_;  // 0: none
};

struct ProcessUsage {
    double processor_seconds = 0;         // user and system
    std::int64_t proportional_bytes = 0;  // Pss
};
std::optional<ProcessUsage> usage_of(pid_t id);  // absent: it has ended

struct MachineMemory {
    std::int64_t total_bytes = 0, available_bytes = 0;
};
MachineMemory machine_memory();
std::string processor_name();
int processors();
// Raises the limit on open files as far as it goes. Returns what it is.
std::int64_t raise_file_limit();

}  // namespace micaroad::scale::wire
