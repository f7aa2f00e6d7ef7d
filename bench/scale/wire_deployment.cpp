#include "wire_deployment.hpp"

#include <fmt/format.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <limits>
#include <system_error>
#include <utility>

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kProbeInterval{50};
constexpr int kHostsPerNetwork = 250;
// Planners use 127.64.0.0 to 127.127.255.255, discovery agents 127.128.0.0 to 127.191.255.255. The
// second byte depends on the process id, so that concurrent runs use different addresses.
constexpr std::uint32_t kPlannerNetworks = 64, kDiscoveryNetworks = 128, kNetworks = 64;

LoopbackAddress address_in(std::uint32_t networks, int number) {
    const std::uint32_t second = networks + static_cast<std::uint32_t>(getpid()) % kNetworks;
    const auto third = static_cast<std::uint32_t>(number / kHostsPerNetwork);
    const auto fourth = static_cast<std::uint32_t>(number % kHostsPerNetwork + 1);
    return {127u << 24 | second << 16 | third << 8 | fourth, 0};
}

// Probes a planner repeatedly until it answers that it is alive.
class AliveProbe : public ChannelOwner {
 public:
    AliveProbe(Loop& loop, const LoopbackAddress& address) : loop_(loop), address_(address) {
        dial();
    }
    ~AliveProbe() override {
        *exists_ = false;
        drop(loop_, channel_);
    }
    bool alive() const { return alive_; }

 private:
    void dial() {
        drop(loop_, channel_);
        Descriptor socket = begin_connect(address_);
        if (!socket.open()) {
            return dial_later();
        }
        channel_ = std::make_unique<Channel>(loop_, Role::planner, std::move(socket), true, *this);
    }
    void dial_later() {
        loop_.at(Clock::now() + kProbeInterval, Role::planner, [this, exists = exists_] {
            if (*exists) {
                dial();
            }
        });
    }
    void connected() override { channel_->send(std::string("probe\r\n")); }
    void received(std::string_view bytes) override { alive_ |= bytes.starts_with("alive"); }
    void ended() override {
        if (!alive_) {
            dial_later();
        }
    }

    Loop& loop_;
    const LoopbackAddress address_;
    std::unique_ptr<Channel> channel_;
    bool alive_ = false;
    std::shared_ptr<bool> exists_ = std::make_shared<bool>(true);
};

}  // namespace

WorkDirectory::WorkDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "micaroad-scale-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    path_ = name;
}

WorkDirectory::~WorkDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

// The control connection to one process of hollow planners, on the side of the run.
class Deployment::HollowControl : public ChannelOwner {
 public:
    HollowControl(Deployment& deployment, Descriptor socket)
        : deployment_(deployment),
          channel_(deployment.loop_, Role::planner, std::move(socket), false, *this) {}
    void send(const Pace& pace) { channel_.send(line_of(pace)); }
    const std::optional<HollowStatus>& status() const { return status_; }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) { status_ = parse_status(line); });
    }
    void ended() override { deployment_.failed_ = "a process of hollow planners has ended"; }

    Deployment& deployment_;
    LineSplitter lines_;
    std::optional<HollowStatus> status_;
    Channel channel_;
};

Deployment::Deployment(const WireOptions& options, const WireWorld& sizes)
    : sizes_(sizes),
      world_(sizes, options.seed),
      traffic_(static_cast<std::size_t>(sizes.planners())) {
    const TimePoint start = Clock::now(), limit = start + options.start_limit;
    choose_addresses();
    start_hollow(options);
    discovery_ = std::make_unique<DiscoveryAgents>(
        loop_, world_, discovery_addresses_, traffic_,
        [this](int planner, std::int64_t after, std::int64_t up_to) {
            record_announced(planner, after, up_to);
        });
    discovery_->open();
    start_real(options.planner_program);
    loop_.every(kProcessCheckInterval, Role::planner, [this] { check_processes(); });
    wait_until_alive(limit);
    proxies_ = std::make_unique<ProxyFleet>(loop_, world_, planner_addresses_, sizes_.real_planners,
                                            traffic_, in_force_);
    collectors_ = std::make_unique<CollectorFleet>(loop_, world_, planner_addresses_, traffic_);
    collectors_->dial_all();
    proxies_->dial_all();
    loop_.every(kPaceInterval, Role::planner, [this] { send_pace(); });
    wait_for_first_messages(limit);
    start_seconds_ = std::chrono::duration<double>(Clock::now() - start).count();
    if (sizes_.changes_per_second > 0) {
        schedule_changes();
    }
}

Deployment::~Deployment() = default;

// A real planner binds its address itself, so its listener is closed again here: the port was free
// a moment ago. Hollow planners inherit their listeners.
void Deployment::choose_addresses() {
    std::vector<Descriptor> reserved;
    for (int planner = 0; planner < sizes_.planners(); ++planner) {
        planner_addresses_.push_back(address_in(kPlannerNetworks, planner));
        Descriptor listener = listen_at(planner_addresses_.back());
        if (!real(static_cast<std::size_t>(planner))) {
            hollow_listeners_.push_back(std::move(listener));
        }
        discovery_addresses_.push_back(address_in(kDiscoveryNetworks, planner));
        reserved.push_back(listen_at(discovery_addresses_.back()));
    }
}

void Deployment::start_hollow(const WireOptions& options) {
    const auto each = static_cast<std::size_t>(options.hollow_per_process);
    for (std::size_t first = 0; first < hollow_listeners_.size(); first += each) {
        int ends[2];
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0) {
            throw std::system_error(errno, std::generic_category(), "socketpair");
        }
        Descriptor local_end(ends[0]), remote_end(ends[1]);
        std::vector<HollowPlanner> planners;
        std::vector<int> kept{remote_end.get()};
        for (std::size_t i = first; i < std::min(first + each, hollow_listeners_.size()); ++i) {
            const std::size_t planner = static_cast<std::size_t>(sizes_.real_planners) + i;
            kept.push_back(hollow_listeners_[i].get());
            planners.push_back({std::move(hollow_listeners_[i]), discovery_addresses_[planner]});
        }
        hollow_.push_back(ChildProcess::fork_with(kept, [&] {
            return serve_hollow(std::move(planners), std::move(remote_end), sizes_);
        }));
        controls_.push_back(std::make_unique<HollowControl>(*this, std::move(local_end)));
    }
}

void Deployment::start_real(const std::string& program) {
    for (int planner = 0; planner < sizes_.real_planners; ++planner) {
        const auto at = static_cast<std::size_t>(planner);
        const auto start_file = directory_.path() / fmt::format("planner-{}.json", planner);
        const auto log = directory_.path() / fmt::format("planner-{}.log", planner);
        std::ofstream(start_file) << world_.start_file(planner, planner_addresses_[at].text(),
                                                       discovery_addresses_[at].text());
        real_.push_back(ChildProcess::run_planner(program, start_file, log));
    }
}

bool Deployment::run(const std::function<bool()>& done, Milliseconds limit) {
    const bool reached = loop_.run([&] { return failed_ || done(); }, Clock::now() + limit);
    if (failed_) {
        throw PointFailed(*failed_);
    }
    return reached;
}

void Deployment::run_for(Milliseconds time) {
    run([] { return false; }, time);
}

void Deployment::run_to_next_pace() {
    run([this, paces_before = paces_sent_] { return paces_sent_ > paces_before; },
        4 * kPaceInterval);
}

void Deployment::wait_until_alive(TimePoint limit) {
    std::vector<std::unique_ptr<AliveProbe>> probes;
    for (const LoopbackAddress& address : planner_addresses_) {
        probes.push_back(std::make_unique<AliveProbe>(loop_, address));
    }
    const auto all_alive = [&probes] {
        return std::all_of(probes.begin(), probes.end(),
                           [](const auto& probe) { return probe->alive(); });
    };
    if (!run(all_alive, std::chrono::ceil<Milliseconds>(limit - Clock::now()))) {
        throw PointFailed("not all planners answered 'alive' in time");
    }
}

void Deployment::wait_for_first_messages(TimePoint limit) {
    const int proxies = sizes_.planners() * sizes_.proxies;
    const auto all_have_first_message = [this, proxies] {
        return proxies_with_first_message() == proxies;
    };
    if (!run(all_have_first_message, std::chrono::ceil<Milliseconds>(limit - Clock::now()))) {
        throw PointFailed(fmt::format("{} of {} proxies had a first message in time",
                                      proxies_with_first_message(), proxies));
    }
}

int Deployment::proxies_with_first_message() const {
    int number = 0;
    for (int planner = 0; planner < sizes_.planners(); ++planner) {
        number += proxies_->with_first_message(planner);
    }
    return number;
}

void Deployment::schedule_changes() {
    const auto period = std::chrono::ceil<Milliseconds>(
        std::chrono::duration<double>(1 / sizes_.changes_per_second));
    loop_.every(period, Role::discovery, [this] {
        if (changes_paused_) {
            return;
        }
        world_.replace(1);
        discovery_->publish();
    });
}

// Called once per planner and version. Starts waiting until the planner's proxies stop using the
// servers that ended, and stops waiting for servers that are up again.
void Deployment::record_announced(int planner, std::int64_t after, std::int64_t up_to) {
    if (!real(static_cast<std::size_t>(planner)) || proxies_ == nullptr) {
        return;
    }
    std::vector<std::size_t> ended;
    for (const Change& change : world_.changes()) {
        if (change.version <= after || change.version > up_to) {
            continue;
        }
        ended.insert(ended.end(), change.ended.begin(), change.ended.end());
        for (const std::size_t server : change.back) {
            in_force_.server_returned(server);
        }
    }
    std::erase_if(ended, [this](std::size_t server) {
        return world_.servers()[server].state == ServerState::up;
    });
    announced_ += static_cast<std::int64_t>(ended.size());
    proxies_->announced(planner, ended, Clock::now());
}

// Tells each hollow planner to write as much as the mean of the real planners since the last call.
void Deployment::send_pace() {
    Traffic written;
    for (std::size_t planner = 0; real(planner); ++planner) {
        written += of(traffic_[planner], Role::proxy);
    }
    const Traffic since = written - std::exchange(traffic_at_last_pace_, written);
    const double planners = sizes_.real_planners;
    const Pace pace{static_cast<double>(since.messages_out) / planners,
                    static_cast<double>(since.bytes_out) / planners,
                    static_cast<double>(since.nonces_out) / planners};
    for (const auto& control : controls_) {
        control->send(pace);
    }
    ++paces_sent_;
}

void Deployment::check_processes() {
    for (std::size_t i = 0; i < real_.size(); ++i) {
        if (!real_[i].running()) {
            failed_ = fmt::format("real planner {} has ended: {}", i, last_log_line(i));
        }
    }
}

std::string Deployment::last_log_line(std::size_t planner) const {
    std::ifstream log(directory_.path() / fmt::format("planner-{}.log", planner));
    std::string last;
    for (std::string line; std::getline(log, line);) {
        last = line;
    }
    return last;
}

namespace {

std::vector<pid_t> ids_of(const std::vector<ChildProcess>& processes) {
    std::vector<pid_t> ids;
    for (const ChildProcess& process : processes) {
        ids.push_back(process.id());
    }
    return ids;
}

}  // namespace

std::vector<pid_t> Deployment::real_processes() const {
    return ids_of(real_);
}
std::vector<pid_t> Deployment::hollow_processes() const {
    return ids_of(hollow_);
}

HollowStatus Deployment::hollow_status() const {
    HollowStatus all;
    all.listed = all.version = std::numeric_limits<std::int64_t>::max();
    for (const auto& control : controls_) {
        const HollowStatus status = control->status().value_or(HollowStatus{});
        all.streams += status.streams;
        all.messages_written += status.messages_written;
        all.unanswered_nonces += status.unanswered_nonces;
        all.listed = std::min(all.listed, status.listed);
        all.version = std::min(all.version, status.version);
    }
    return all;
}

}  // namespace micaroad::scale::wire
