#include "core_run.hpp"

#include <fcntl.h>
#include <xxhash.h>

#include <charconv>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "measure.hpp"
#include "planner/core.hpp"
#include "protocol/message.hpp"

namespace micaroad::scale {
namespace {

using nlohmann::json;

constexpr int kTurnsPerSecond = 10;
constexpr Duration kTurnEvery{1'000};
constexpr TimePoint kWorldStart{Duration{17'000'000'000'000}};
constexpr int kEventAfterSeconds = 1;     // of the measured time
constexpr int kZoneBackAfterSeconds = 5;  // of the measured time
constexpr int kBurstServers = 100;
constexpr double kReleasePerSecond = 0.01;  // of all servers
constexpr double kMillisecond = 1e-3;

// Seconds that the code between construction and stop() used, less what it spends in `aside`.
class Stopwatch {
 public:
    explicit Stopwatch(const double& aside)
        : aside_(aside), aside_before_(aside), before_(processor_seconds()) {}
    double stop() const { return processor_seconds() - before_ - (aside_ - aside_before_); }

 private:
    const double& aside_;
    const double aside_before_;
    const double before_;
};

// The streams of all proxies: counts what is written, answers nonces, and notes when a withdrawal
// reaches a proxy.
class Streams : public Transport {
 public:
    // Processor seconds spent here; no planner would have them.
    double aside = 0;
    std::int64_t messages = 0, bytes = 0;
    std::uint64_t digest = 0;
    std::map<StreamId, int> unanswered;  // nonces
    std::set<StreamId> reached;
    Samples delivery_ms;  // from a withdrawal told to its line written, for each proxy that is told
    std::set<std::string> written;

    void begin_turn(TimePoint now) {
        now_ = now;
        turn_began_ = processor_seconds();
        aside_before_turn_ = aside;
    }
    // Only what a table has held is withdrawn.
    void told_gone(const std::string& server, TimePoint now) {
        if (in_tables_.erase(server) > 0) {
            told_[server].at = now;
        }
    }
    std::size_t told() const { return told_.size(); }

    void write(StreamId stream, std::string_view message) override {
        const double before = processor_seconds();
        const double in_turn = before - turn_began_ - (aside - aside_before_turn_);
        ++messages;
        bytes += static_cast<std::int64_t>(message.size());
        digest = XXH64(message.data(), message.size(), digest ^ stream.value);
        reached.insert(stream);
        note_nonce(stream, message);
        for_each_of(message, " eject=", [&](std::string_view id) {
            note_withdrawal(stream, std::string(id), in_turn);
        });
        for_each_of(message, " endpoints=", [&](std::string_view line) { note_line(line); });
        aside += processor_seconds() - before;
    }
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}

 private:
    struct Gone {
        TimePoint at;
        std::set<StreamId> proxies;
    };

    void note_nonce(StreamId stream, std::string_view message) {
        constexpr std::string_view kNonce = "nonce_out=";
        const std::size_t at = message.rfind(kNonce);
        if (at == std::string_view::npos) {
            return;
        }
        std::from_chars(message.data() + at + kNonce.size(), message.data() + message.size(),
                        unanswered[stream]);
    }
    // Calls member(text) for each of the lists of this name in a message.
    template <class Member>
    static void for_each_of(std::string_view message, std::string_view name, Member member) {
        for (std::size_t at = message.find(name); at != std::string_view::npos;
             at = message.find(name, at + 1)) {
            std::string_view list = message.substr(at + name.size());
            list = list.substr(0, list.find_first_of(" \r"));
            while (!list.empty()) {
                const std::size_t comma = std::min(list.find(','), list.size());
                member(list.substr(0, comma));
                list.remove_prefix(std::min(comma + 1, list.size()));
            }
        }
    }
    void note_line(std::string_view line) {
        const std::size_t colon = std::min(line.find(':'), line.size());
        if (line.substr(colon) != ":0") {
            in_tables_.emplace(line.substr(0, colon));
        }
    }
    void note_withdrawal(StreamId stream, const std::string& server, double in_turn) {
        const auto gone = told_.find(server);
        if (gone == told_.end() || !gone->second.proxies.insert(stream).second) {
            return;
        }
        written.insert(server);
        const double waited_ms = static_cast<double>((now_ - gone->second.at).count()) / 10;
        delivery_ms.add(waited_ms + in_turn / kMillisecond);
    }

    TimePoint now_{};
    double turn_began_ = 0, aside_before_turn_ = 0;
    std::unordered_map<std::string, Gone> told_;
    std::unordered_set<std::string> in_tables_;
};

// Whole parts of a pace that is no whole number a turn.
class Pace {
 public:
    explicit Pace(double per_second) : per_turn_(per_second / kTurnsPerSecond) {}
    int next() {
        due_ += per_turn_;
        const int whole = static_cast<int>(due_ + 1e-9);
        due_ -= whole;
        return whole;
    }

 private:
    const double per_turn_;
    double due_ = 0;
};

class CoreRun {
 public:
    CoreRun(const WorldSpec& spec, double processor_limit)
        : spec_(spec),
          processor_limit_(processor_limit),
          world_(spec),
          names_(world_.names()),
          bounds_{spec.proxies * spec.planners},
          list_reader_(names_),
          log_(::open("/dev/null", O_WRONLY | O_CLOEXEC)),
          changes_(spec.changes_per_second),
          reports_(spec.reports_per_second),
          demands_(spec.reports_per_second > 0 && spec.demand ? spec.services : 0) {}

    json run() {
        const std::string first_list = world_.whole_list();
        list_bytes_ = first_list.size();
        baseline_bytes_ = resident_bytes();
        start(first_list);
        for (int turn = 0; turn < spec_.quiet_seconds * kTurnsPerSecond && !stopped_; ++turn) {
            play_quiet_turn();
        }
        for (int turn = 0; turn < spec_.warmup_seconds * kTurnsPerSecond && !stopped_; ++turn) {
            play_turn(false);
        }
        const Totals before = totals();
        for (int turn = 0; turn < spec_.seconds * kTurnsPerSecond && !stopped_; ++turn) {
            begin_scenario(turn);
            play_turn(true);
        }
        return result(before);
    }

 private:
    struct Totals {
        std::int64_t messages_in, bytes_in, messages_out, bytes_out;
    };

    Totals totals() const { return {messages_in_, bytes_in_, streams_.messages, streams_.bytes}; }

    void start(const std::string& first_list) {
        const Stopwatch making(streams_.aside);
        core_.emplace(world_.terms(), names_, spec_.seed, streams_, log_);
        start_seconds_ += making.stop();
        say_list(first_list);
        start_seconds_ += turn();
        start_turn_seconds_ = last_turn_seconds_;
        begin_streams();
        start_seconds_ += turn();
        start_turn_seconds_ = std::max(start_turn_seconds_, last_turn_seconds_);
        note_limit();
    }

    void begin_streams() {
        for (int proxy = 0; proxy < spec_.proxies; ++proxy) {
            const StreamId stream{next_stream_++};
            proxy_of_[stream] = proxy;
            hear_line(stream, world_.join_line(proxy));
        }
    }

    void begin_scenario(int turn) {
        const int second = turn / kTurnsPerSecond;
        const bool whole_second = turn % kTurnsPerSecond == 0;
        const bool due = whole_second && second == kEventAfterSeconds;
        if (spec_.scenario == Scenario::burst && due) {
            say_change(world_.replace(std::min(kBurstServers, spec_.servers / 2), now_));
        }
        if (spec_.scenario == Scenario::zone_loss && due) {
            say_change(world_.lose_zone(0));
        }
        if (spec_.scenario == Scenario::zone_loss && whole_second &&
            second == kZoneBackAfterSeconds) {
            say_change(world_.restore_zone(now_));
        }
        if (spec_.scenario == Scenario::mass_join && due) {
            renew_streams();
        }
        if (spec_.scenario == Scenario::release && whole_second && second >= kEventAfterSeconds) {
            say_change(world_.replace_draining(now_));
            say_change(
                world_.drain(std::max(1, static_cast<int>(kReleasePerSecond * spec_.servers))));
        }
    }

    void renew_streams() {
        for (const auto& [stream, proxy] : proxy_of_) {
            items_.push_back({now_, core_event::StreamClosed{stream, "renewed"}});
        }
        proxy_of_.clear();
        streams_.unanswered.clear();
        streams_.reached.clear();
        begin_streams();
    }

    void play_turn(bool measured) {
        if (const int changes = changes_.next(); changes > 0) {
            say_change(world_.replace(changes, now_));
        }
        for (const std::string& line : world_.report_lines(reports_.next())) {
            hear_line(StreamId{}, line);
        }
        for (const std::string& line : world_.demand_lines(demands_.next())) {
            hear_line(StreamId{}, line);
        }
        answer_nonces();
        const double used = turn();
        if (measured) {
            busy_seconds_ += used;
            turn_ms_.add(last_turn_seconds_ / kMillisecond);
        }
        note_limit();
    }

    void play_quiet_turn() {
        answer_nonces();
        turn();
        if (bound_seconds_ == 0 && streams_.reached.size() == proxy_of_.size()) {
            bound_seconds_ = std::chrono::duration<double>(now_ - kWorldStart).count();
        }
        note_limit();
    }

    void answer_nonces() {
        for (const auto& [stream, nonce] : std::exchange(streams_.unanswered, {})) {
            hear_line(stream, World::answer_line(proxy_of_.at(stream), nonce));
        }
    }

    void note_limit() { stopped_ = stopped_ || processor_seconds() > processor_limit_; }

    void say_change(const World::Change& change) {
        for (const std::string& server : change.gone) {
            streams_.told_gone(server, now_);
        }
        say_list(change.list);
    }

    void say_list(const std::string& text) {
        ++messages_in_;
        bytes_in_ += static_cast<std::int64_t>(text.size()) + 1;
        const Stopwatch reading(streams_.aside);
        items_.push_back({now_, core_event::EndpointListReceived{list_reader_.read(text).value()}});
        reading_seconds_ += reading.stop();
    }

    // Lines end with CRLF on the wire.
    void hear_line(StreamId stream, const std::string& line) {
        ++messages_in_;
        bytes_in_ += static_cast<std::int64_t>(line.size()) + 2;
        lines_.emplace_back(stream, line);
    }

    void read_lines() {
        const Stopwatch reading(streams_.aside);
        for (const auto& [stream, line] : lines_) {
            const auto verdict = protocol::parse_message(line, names_, bounds_);
            const auto& message = std::get<protocol::Message>(verdict);
            if (const auto* joined = std::get_if<event::ProxyJoined>(&message)) {
                items_.push_back({now_, core_event::StreamOpened{stream, *joined}});
            } else if (const auto* applied = std::get_if<event::Acknowledgement>(&message)) {
                items_.push_back({now_, core_event::StreamAcknowledged{stream, *applied}});
            } else if (const auto* met = std::get_if<event::EndpointLoadReport>(&message)) {
                items_.push_back({now_, core_event::ReportReceived{*met}});
            } else if (const auto* came = std::get_if<event::DemandReport>(&message)) {
                items_.push_back({now_, core_event::ReportReceived{*came}});
            }
        }
        reading_seconds_ += reading.stop();
        lines_.clear();
    }

    // Seconds that reading and the turn took.
    double turn() {
        read_lines();
        streams_.begin_turn(now_);
        const Stopwatch deciding(streams_.aside);
        core_->process(items_, now_);
        last_turn_seconds_ = deciding.stop();
        items_.clear();
        now_ += kTurnEvery;
        return last_turn_seconds_ + std::exchange(reading_seconds_, 0);
    }

    json result(const Totals& before) const {
        const Totals after = totals();
        const double measured_seconds = static_cast<double>(turn_ms_.size()) / kTurnsPerSecond;
        const auto a_second = [&](std::int64_t from, std::int64_t to) {
            return measured_seconds > 0 ? static_cast<double>(to - from) / measured_seconds : 0;
        };
        json counts{{"list_bytes", list_bytes_},
                    {"messages_in", after.messages_in},
                    {"bytes_in", after.bytes_in},
                    {"messages_out", after.messages_out},
                    {"bytes_out", after.bytes_out},
                    {"withdrawals_told", streams_.told()},
                    {"withdrawals_written", streams_.written.size()},
                    {"proxies_reached", streams_.reached.size()},
                    {"digest", std::to_string(streams_.digest)}};
        json measured{{"measured_seconds", measured_seconds},
                      {"start_seconds", start_seconds_},
                      {"start_turn_ms", start_turn_seconds_ / kMillisecond},
                      {"resident_mb", megabytes(resident_bytes())},
                      {"core_mb", megabytes(resident_bytes() - baseline_bytes_)},
                      {"peak_resident_mb", megabytes(peak_resident_bytes())}};
        if (bound_seconds_ > 0) {
            measured["bound_seconds"] = bound_seconds_;
        }
        if (measured_seconds > 0) {
            measured["processor_share"] = busy_seconds_ / measured_seconds;
            measured["turn_ms_50"] = turn_ms_.quantile(0.5);
            measured["turn_ms_99"] = turn_ms_.quantile(0.99);
            measured["turn_ms_100"] = turn_ms_.quantile(1);
            measured["bytes_in_per_second"] = a_second(before.bytes_in, after.bytes_in);
            measured["bytes_out_per_second"] = a_second(before.bytes_out, after.bytes_out);
            measured["messages_in_per_second"] = a_second(before.messages_in, after.messages_in);
            measured["messages_out_per_second"] = a_second(before.messages_out, after.messages_out);
        }
        if (streams_.delivery_ms.size() > 0) {
            measured["deliveries"] = streams_.delivery_ms.size();
            measured["delivery_ms_50"] = streams_.delivery_ms.quantile(0.5);
            measured["delivery_ms_99"] = streams_.delivery_ms.quantile(0.99);
            measured["delivery_ms_100"] = streams_.delivery_ms.quantile(1);
        }
        return {{"stopped", stopped_},
                {"counts", std::move(counts)},
                {"measured", std::move(measured)}};
    }

    static double megabytes(std::int64_t bytes) { return static_cast<double>(bytes) / 1e6; }

    const WorldSpec spec_;
    const double processor_limit_;
    World world_;
    const SymbolTable names_;
    const protocol::Bounds bounds_;
    protocol::EndpointListReader list_reader_;
    Log log_;
    Streams streams_;
    std::optional<Core> core_;
    TimePoint now_ = kWorldStart;
    std::vector<Inbox::Item> items_;
    std::vector<std::pair<StreamId, std::string>> lines_;
    std::map<StreamId, int> proxy_of_;
    std::uint64_t next_stream_ = 1;
    Pace changes_, reports_, demands_;
    std::int64_t messages_in_ = 0, bytes_in_ = 0, baseline_bytes_ = 0;
    std::size_t list_bytes_ = 0;  // of the whole list
    double reading_seconds_ = 0, last_turn_seconds_ = 0, busy_seconds_ = 0;
    double start_seconds_ = 0, start_turn_seconds_ = 0, bound_seconds_ = 0;
    Samples turn_ms_;
    bool stopped_ = false;
};

}  // namespace

json run_core(const WorldSpec& spec, double processor_limit) {
    return CoreRun(spec, processor_limit).run();
}

}  // namespace micaroad::scale
