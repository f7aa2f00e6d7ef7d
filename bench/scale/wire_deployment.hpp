// All processes and stand-ins of one point, from start to end.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <stdexcept>
#include <vector>

#include "wire_channel.hpp"
#include "wire_collectors.hpp"
#include "wire_discovery.hpp"
#include "wire_hollow.hpp"
#include "wire_process.hpp"
#include "wire_proxies.hpp"
#include "wire_result.hpp"

namespace micaroad::scale::wire {

// A point can't be played, or not to its end; the text says why.
struct PointFailed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A directory of its own for start files and logs, removed with the object.
class WorkDirectory {
 public:
    WorkDirectory();  // throws std::system_error
    ~WorkDirectory();
    WorkDirectory(const WorkDirectory&) = delete;
    WorkDirectory& operator=(const WorkDirectory&) = delete;
    const std::filesystem::path& path() const { return path_; }

 private:
    std::filesystem::path path_;
};

// Planners are numbered: the real ones first.
class Deployment {
 public:
    static constexpr Milliseconds kPaceEvery{
        250};  // hollow planners write what real ones wrote in the last so long

    // Starts all and waits until each proxy has its first message. Throws PointFailed or
    // std::system_error.
    Deployment(const WireOptions& options, const WireWorld& sizes);
    ~Deployment();

    // Runs the loop. Throws PointFailed if a process has ended.
    bool run(const std::function<bool()>& done, Milliseconds limit);
    void run_for(Milliseconds time);
    // Until the next pace is given to the hollow planners.
    void run_to_next_pace();

    void publish() { discovery_->publish(); }
    void pause_changes(bool paused) { changes_paused_ = paused; }

    World& world() { return world_; }
    InForce& in_force() { return in_force_; }
    DiscoveryAgents& discovery() { return *discovery_; }
    ProxyFleet& proxies() { return *proxies_; }
    const CollectorFleet& collectors() const { return *collectors_; }
    const Loop& loop() const { return loop_; }
    const WireWorld& sizes() const { return sizes_; }
    const std::vector<TrafficByRole>& traffic() const { return traffic_; }
    std::int64_t told() const { return told_; }  // server ends, once for each real planner
    double start_seconds() const { return start_seconds_; }
    bool real(std::size_t planner) const {
        return planner < static_cast<std::size_t>(sizes_.real_planners);
    }
    std::vector<pid_t> real_processes() const;
    std::vector<pid_t> hollow_processes() const;
    HollowStatus hollow_status() const;  // as last told, over all hollow processes

 private:
    class HollowControl;
    static constexpr Milliseconds kLookEvery{200};

    void choose_addresses();
    void start_hollow(const WireOptions& options);
    void start_real(const std::string& program);
    void await_alive(TimePoint limit);
    void await_first_messages(TimePoint limit);
    int proxies_ordered() const;
    void change_now_and_then();
    void note_told(int planner, std::int64_t after, std::int64_t upto);
    void give_pace();
    void look_after_processes();
    std::string last_log_line(std::size_t planner) const;

    const WireWorld sizes_;
    World world_;
    Loop loop_;  // of all below: destroyed after them
    WorkDirectory directory_;
    std::vector<LoopbackAddress> planner_addresses_, discovery_addresses_;
    std::vector<Descriptor> hollow_listeners_;
    std::vector<TrafficByRole> traffic_;
    InForce in_force_;
    std::vector<ChildProcess> real_, hollow_;
    std::vector<std::unique_ptr<HollowControl>> controls_;
    std::unique_ptr<DiscoveryAgents> discovery_;
    std::unique_ptr<ProxyFleet> proxies_;
    std::unique_ptr<CollectorFleet> collectors_;
    std::int64_t paces_ = 0;  // given so far
    Traffic paced_;           // of the real planners to their proxies, up to the last pace given
    bool changes_paused_ = true;
    std::int64_t told_ = 0;
    double start_seconds_ = 0;
    std::optional<std::string> failed_;
};

}  // namespace micaroad::scale::wire
