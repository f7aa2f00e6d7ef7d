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

constexpr Milliseconds kProbeEvery{50};
constexpr int kHostsPerNetwork = 250;
// 127.64.0.0 to 127.127.255.255 for planners, 127.128.0.0 to 127.191.255.255 for the agents of
// discovery. Which second byte goes by our process, so that runs side by side keep apart.
constexpr std::uint32_t kPlannerNetworks = 64, kDiscoveryNetworks = 128, kNetworks = 64;

LoopbackAddress address_in(std::uint32_t networks, int number) {
    const std::uint32_t second = networks + static_cast<std::uint32_t>(getpid()) % kNetworks;
    const auto third = static_cast<std::uint32_t>(number / kHostsPerNetwork);
    const auto fourth = static_cast<std::uint32_t>(number % kHostsPerNetwork + 1);
    return {127u << 24 | second << 16 | third << 8 | fourth, 0};
}

// Asks a planner whether it serves, again and again until it says so.
class AliveProbe : public ChannelOwner {
 public:
    AliveProbe(Loop& loop, const LoopbackAddress& address) : loop_(loop), address_(address) {
        dial();
    }
    ~AliveProbe() override {
        *here_ = false;
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
        loop_.at(Clock::now() + kProbeEvery, Role::planner, [this, here = here_] {
            if (*here) {
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
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
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

// The run's end of the line to one process of hollow planners.
class Deployment::HollowControl : public ChannelOwner {
 public:
    HollowControl(Deployment& deployment, Descriptor socket)
        : deployment_(deployment),
          channel_(deployment.loop_, Role::planner, std::move(socket), false, *this) {}
    void give(const Pace& pace) { channel_.send(line_of(pace)); }
    const std::optional<HollowStatus>& status() const { return status_; }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) { status_ = read_status(line); });
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
    const TimePoint begun = Clock::now(), limit = begun + options.start_limit;
    choose_addresses();
    start_hollow(options);
    discovery_ = std::make_unique<DiscoveryAgents>(
        loop_, world_, discovery_addresses_, traffic_,
        [this](int planner, std::int64_t after, std::int64_t upto) {
            note_told(planner, after, upto);
        });
    discovery_->open();
    start_real(options.planner_program);
    loop_.every(kLookEvery, Role::planner, [this] { look_after_processes(); });
    await_alive(limit);
    proxies_ = std::make_unique<ProxyFleet>(loop_, world_, planner_addresses_, sizes_.real_planners,
                                            traffic_, in_force_);
    collectors_ = std::make_unique<CollectorFleet>(loop_, world_, planner_addresses_, traffic_);
    collectors_->dial_all();
    proxies_->dial_all();
    loop_.every(kPaceEvery, Role::planner, [this] { give_pace(); });
    await_first_messages(limit);
    start_seconds_ = std::chrono::duration<double>(Clock::now() - begun).count();
    if (sizes_.changes_per_second > 0) {
        change_now_and_then();
    }
}

Deployment::~Deployment() = default;

// A real planner binds its address itself: its port is one that was free a moment ago.
void Deployment::choose_addresses() {
    std::vector<Descriptor> held;
    for (int planner = 0; planner < sizes_.planners(); ++planner) {
        planner_addresses_.push_back(address_in(kPlannerNetworks, planner));
        Descriptor listener = listen_at(planner_addresses_.back());
        if (!real(static_cast<std::size_t>(planner))) {
            hollow_listeners_.push_back(std::move(listener));
        }
        discovery_addresses_.push_back(address_in(kDiscoveryNetworks, planner));
        held.push_back(listen_at(discovery_addresses_.back()));
    }
}

void Deployment::start_hollow(const WireOptions& options) {
    const auto each = static_cast<std::size_t>(options.hollow_per_process);
    for (std::size_t first = 0; first < hollow_listeners_.size(); first += each) {
        int ends[2];
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0) {
            throw std::system_error(errno, std::generic_category(), "socketpair");
        }
        Descriptor ours(ends[0]), theirs(ends[1]);
        std::vector<HollowPlanner> planners;
        std::vector<int> kept{theirs.get()};
        for (std::size_t i = first; i < std::min(first + each, hollow_listeners_.size()); ++i) {
            const std::size_t planner = static_cast<std::size_t>(sizes_.real_planners) + i;
            kept.push_back(hollow_listeners_[i].get());
            planners.push_back({std::move(hollow_listeners_[i]), discovery_addresses_[planner]});
        }
        hollow_.push_back(ChildProcess::fork_with(
            kept, [&] { return serve_hollow(std::move(planners), std::move(theirs), sizes_); }));
        controls_.push_back(std::make_unique<HollowControl>(*this, std::move(ours)));
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
    run([this, paces = paces_] { return paces_ > paces; }, 4 * kPaceEvery);
}

void Deployment::await_alive(TimePoint limit) {
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

void Deployment::await_first_messages(TimePoint limit) {
    const int proxies = sizes_.planners() * sizes_.proxies;
    const auto all_ordered = [this, proxies] { return proxies_ordered() == proxies; };
    if (!run(all_ordered, std::chrono::ceil<Milliseconds>(limit - Clock::now()))) {
        throw PointFailed(fmt::format("{} of {} proxies had a first message in time",
                                      proxies_ordered(), proxies));
    }
}

int Deployment::proxies_ordered() const {
    int number = 0;
    for (int planner = 0; planner < sizes_.planners(); ++planner) {
        number += proxies_->ordered(planner);
    }
    return number;
}

void Deployment::change_now_and_then() {
    const auto period = std::chrono::ceil<Milliseconds>(
        std::chrono::duration<double>(1 / sizes_.changes_per_second));
    loop_.every(period, Role::discovery, [this] {
        if (changes_paused_) {
            return;
        }
        world_.replace_some(1);
        discovery_->publish();
    });
}

// Once for each planner and version: what has ended is awaited at its proxies, what is back is
// awaited no more.
void Deployment::note_told(int planner, std::int64_t after, std::int64_t upto) {
    if (!real(static_cast<std::size_t>(planner)) || proxies_ == nullptr) {
        return;
    }
    std::vector<std::size_t> ended;
    for (const Change& change : world_.changes()) {
        if (change.version <= after || change.version > upto) {
            continue;
        }
        ended.insert(ended.end(), change.ended.begin(), change.ended.end());
        for (const std::size_t server : change.back) {
            in_force_.came_back(server);
        }
    }
    std::erase_if(ended, [this](std::size_t server) {
        return world_.servers()[server].state == ServerState::up;
    });
    told_ += static_cast<std::int64_t>(ended.size());
    proxies_->told(planner, ended, Clock::now());
}

// What the real planners wrote since the last time, in the mean, is what each hollow one is to
// write now.
void Deployment::give_pace() {
    Traffic written;
    for (std::size_t planner = 0; real(planner); ++planner) {
        written += of(traffic_[planner], Role::proxy);
    }
    const Traffic since = written - std::exchange(paced_, written);
    const double planners = sizes_.real_planners;
    const Pace pace{static_cast<double>(since.messages_out) / planners,
                    static_cast<double>(since.bytes_out) / planners,
                    static_cast<double>(since.nonces_out) / planners};
    for (const auto& control : controls_) {
        control->give(pace);
    }
    ++paces_;
}

void Deployment::look_after_processes() {
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
        all.nonces_open += status.nonces_open;
        all.listed = std::min(all.listed, status.listed);
        all.version = std::min(all.version, status.version);
    }
    return all;
}

}  // namespace micaroad::scale::wire
