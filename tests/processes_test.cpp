// Runs many planner processes at a time, each with its own start file and all with one discovery.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>

#include "fake_proxy.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

constexpr int kPlanners = 20, kProxiesPerPlanner = 2, kServers = 6;

// Returns a port that was free a moment ago. Each process has a loopback address of its own, so
// that no process can take another one's port.
Address free_address(int number) {
    const Socket socket =
        Socket::listen(*address_of("127.0.1." + std::to_string(number + 1) + ":0")).value();
    REQUIRE(socket.is_open());
    return socket.local();
}

std::string list_text(int version, int cold, const std::string& state_of_all_but_one) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":true,\"servers\":[";
    for (int n = 0; n < kServers; ++n) {
        text += n > 0 ? "," : "";
        text +=
            "{\"id\":\"s-" + std::to_string(n) +
            "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":0,\"state\":\"" +
            (n + 1 < kServers ? state_of_all_but_one : "up") +
            "\",\"weight\":1.0,\"started_ms\":" + std::to_string(n < cold ? started : 0) + "}";
    }
    return text + "]}";
}

class Process {
 public:
    Process(const std::filesystem::path& folder, int number, const std::string& discovery,
            const std::string& initial_list)
        : address(free_address(number)) {
        const std::string file = folder / ("start-" + std::to_string(number) + ".json");
        std::ofstream(file)
            << R"({"name":"n)" << number << R"(","listen":")" << text_of(address)
            << R"(","discovery":")" << discovery << R"(","seed":")" << number + 1
            << R"(","limits":{"sockets":256,"memory_mb":32},"known":)" << initial_list
            << R"(,"settings":{"classes":[{"name":"lookup","aim_us":1500000,"credit":3.0}],"zones":["a"],)"
            << R"("kinds":["m1"],"family_info":{"admission":"share","base_mode":1,"channel_rate":1600.0,)"
            << R"("data_plane_size":)" << kPlanners * kProxiesPerPlanner
            << R"(,"head":3.0,"queue_cap":1600.0,"report_every_us":500000,"stays_local":[false],"transit_max_us":442500},)"
            << R"("rules":{"fall_multiple":3.0,"fall_us":1500000,"start_capacity":0.17,)"
            << R"("stop_sending_within_us":2000000,"warm_after_us":18000000}}})";
        const std::string variable = "LB_CONFIG=" + file;
        char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        char program[] = MICAROAD_PROGRAM;
        char* arguments[] = {program, nullptr};
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
        REQUIRE(::posix_spawn(&pid_, program, &actions, nullptr, arguments, environment) == 0);
        ::posix_spawn_file_actions_destroy(&actions);
    }
    ~Process() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            exit_code();
        }
    }
    bool serves() const {
        const Socket socket = Socket::unconnected(address);
        return const_cast<Socket&>(socket).connect(address, 1s) && answers_probe(socket);
    }
    void terminate() { ::kill(pid_, SIGTERM); }
    // Waits for the process to end; -1 if a signal ended it.
    int exit_code() {
        int status = 0;
        ::waitpid(std::exchange(pid_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    const Address address;

 private:
    pid_t pid_ = -1;
};

}  // namespace

TEST_CASE(
    "twenty processes of 32 MB each respond and serve their proxies, however many servers are "
    "cold") {
    const int cold = GENERATE(2, kServers);
    char name[] = "/tmp/micaroad-processes-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    const std::filesystem::path folder = name;
    FakeHttpServer discovery(std::vector<std::string>(
        kPlanners, kWatchHeader + chunk(list_text(42, cold, "up") + "\n")));
    discovery.start();
    std::vector<std::unique_ptr<Process>> planners;
    for (int n = 0; n < kPlanners; ++n) {
        planners.push_back(std::make_unique<Process>(folder, n, text_of(discovery.listener.local()),
                                                     list_text(41, cold, "up")));
    }
    const auto deadline = steady_clock::now() + 20s;
    for (const auto& planner : planners) {
        while (!planner->serves() && steady_clock::now() < deadline) {
            std::this_thread::sleep_for(10ms);
        }
        CHECK(planner->serves());
    }
    Proxies proxies;
    for (int n = 0; n < kPlanners * kProxiesPerPlanner; ++n) {
        proxies.push_back(std::make_unique<FakeProxy>(
            planners[static_cast<std::size_t>(n / kProxiesPerPlanner)]->address, n));
    }
    require_for_all(proxies, 10s, "a table",
                    [](const FakeProxy& proxy) { return proxy.has_table(); });
    const std::string drain = chunk(list_text(43, cold, "draining") + "\n");
    for (std::size_t n = 0; n < kPlanners; ++n) {
        REQUIRE(discovery.connection(n).send_all(drain));
    }
    require_for_all(proxies, 2s, "the drain of all but one", [](const FakeProxy& proxy) {
        bool any_allowed = false;
        for (int n = 0; n + 1 < kServers; ++n) {
            any_allowed |= proxy.may_send_to("s-" + std::to_string(n));
        }
        return !any_allowed && proxy.has_table();
    });
    for (const auto& planner : planners) {
        planner->terminate();
    }
    for (const auto& planner : planners) {
        CHECK(planner->exit_code() == 0);
    }
    std::filesystem::remove_all(folder);
}
