// Starts, runs and stops all processes and stand-ins of one point.
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

// A point could not be started or completed. The message gives the reason.
struct PointFailed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A temporary directory for start files and logs. The destructor removes it.
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

// The deployment of one point. Planners are numbered, with the real ones first.
class Deployment {
 public:
    static constexpr Milliseconds kPaceInterval{
        250};  // hollow planners repeat what real ones wrote in the last interval

    // Starts everything and waits until each proxy has its first message. Throws PointFailed or
    // std::system_error.
    Deployment(const WireOptions& options, const WireWorld& sizes);
    ~Deployment();

    // Runs the loop until done() or the limit, and returns whether done() holds. Throws PointFailed
    // if a process has ended.
    bool run(const std::function<bool()>& done, Milliseconds limit);
    void run_for(Milliseconds time);
    // Runs the loop until the next pace is sent to the hollow planners.
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
    // Number of ended servers announced, counted once per real planner.
    std::int64_t announced() const { return announced_; }
    double start_seconds() const { return start_seconds_; }
    bool real(std::size_t planner) const {
        return planner < static_cast<std::size_t>(sizes_.real_planners);
    }
    std::vector<pid_t> real_processes() const;
    std::vector<pid_t> hollow_processes() const;
    // Combines the last status of all hollow processes: sums, and minima of servers and version.
    HollowStatus hollow_status() const;

 private:
    class HollowControl;
    static constexpr Milliseconds kProcessCheckInterval{200};

    void choose_addresses();
    void start_hollow(const WireOptions& options);
    void start_real(const std::string& program);
    void wait_until_alive(TimePoint limit);
    void wait_for_first_messages(TimePoint limit);
    int proxies_with_first_message() const;
    void schedule_changes();
    void record_announced(int planner, std::int64_t after, std::int64_t up_to);
    void send_pace();
    void check_processes();
    std::string last_log_line(std::size_t planner) const;

    const WireWorld sizes_;
    World world_;
    Loop loop_;  // used by all members below, so it is destroyed after them
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
    std::int64_t paces_sent_ = 0;
    Traffic traffic_at_last_pace_;  // from the real planners to their proxies
    bool changes_paused_ = true;
    std::int64_t announced_ = 0;
    double start_seconds_ = 0;
    std::optional<std::string> failed_;
};

}  // namespace micaroad::scale::wire
