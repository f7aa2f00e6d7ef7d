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
constexpr Duration kTurnInterval{1'000};
constexpr TimePoint kWorldStart{Duration{17'000'000'000'000}};
constexpr int kEventAfterSeconds = 1;     // of the measured time
constexpr int kZoneBackAfterSeconds = 5;  // of the measured time
constexpr int kBurstServers = 100;
constexpr double kReleasePerSecond = 0.01;  // of all servers
constexpr double kMillisecond = 1e-3;

// Measures the processor seconds used between construction and stop(), without those that were
// added to `excluded_seconds` meanwhile.
class Stopwatch {
 public:
    explicit Stopwatch(const double& excluded_seconds)
        : excluded_seconds_(excluded_seconds),
          excluded_before_(excluded_seconds),
          before_(processor_seconds()) {}
    double stop() const {
        return processor_seconds() - before_ - (excluded_seconds_ - excluded_before_);
    }

 private:
    const double& excluded_seconds_;
    const double excluded_before_;
    const double before_;
};

// Stands in for the streams to all proxies: counts the messages written, keeps the nonces to be
// acknowledged, and records when a withdrawal is written to a proxy.
class RecordingTransport : public Transport {
 public:
    // Processor seconds spent in this class. They are the cost of measuring, not of a planner.
    double excluded_seconds = 0;
    std::int64_t messages = 0, bytes = 0;
    std::uint64_t digest = 0;
    std::map<StreamId, int> unanswered_nonces;
    std::set<StreamId> reached_streams;
    Samples delivery_ms;  // from discovery's message until the withdrawal is written to a proxy
    std::set<std::string> withdrawn_servers;

    void begin_turn(TimePoint now) {
        now_ = now;
        turn_start_ = processor_seconds();
        excluded_before_turn_ = excluded_seconds;
    }
    // Servers that no table has held are not withdrawn, so they are not recorded.
    void server_ended(const std::string& server, TimePoint now) {
        if (servers_in_tables_.erase(server) > 0) {
            withdrawals_[server].at = now;
        }
    }
    std::size_t withdrawal_count() const { return withdrawals_.size(); }

    void write(StreamId stream, std::string_view message) override {
        const double before = processor_seconds();
        const double in_turn = before - turn_start_ - (excluded_seconds - excluded_before_turn_);
        ++messages;
        bytes += static_cast<std::int64_t>(message.size());
        digest = XXH64(message.data(), message.size(), digest ^ stream.value);
        reached_streams.insert(stream);
        record_nonce(stream, message);
        for_each_item(message, " eject=", [&](std::string_view id) {
            record_withdrawal(stream, std::string(id), in_turn);
        });
        for_each_item(message, " endpoints=", [&](std::string_view line) { record_entry(line); });
        excluded_seconds += processor_seconds() - before;
    }
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}

 private:
    struct Withdrawal {
        TimePoint at;
        std::set<StreamId> proxies;
    };

    void record_nonce(StreamId stream, std::string_view message) {
        constexpr std::string_view kNonce = "nonce_out=";
        const std::size_t at = message.rfind(kNonce);
        if (at == std::string_view::npos) {
            return;
        }
        std::from_chars(message.data() + at + kNonce.size(), message.data() + message.size(),
                        unanswered_nonces[stream]);
    }
    // Calls visit(item) for each item of each list that starts with `name` in a message.
    template <class Visitor>
    static void for_each_item(std::string_view message, std::string_view name, Visitor visit) {
        for (std::size_t at = message.find(name); at != std::string_view::npos;
             at = message.find(name, at + 1)) {
            std::string_view list = message.substr(at + name.size());
            list = list.substr(0, list.find_first_of(" \r"));
            while (!list.empty()) {
                const std::size_t comma = std::min(list.find(','), list.size());
                visit(list.substr(0, comma));
                list.remove_prefix(std::min(comma + 1, list.size()));
            }
        }
    }
    void record_entry(std::string_view line) {
        const std::size_t colon = std::min(line.find(':'), line.size());
        if (line.substr(colon) != ":0") {
            servers_in_tables_.emplace(line.substr(0, colon));
        }
    }
    void record_withdrawal(StreamId stream, const std::string& server, double in_turn) {
        const auto found = withdrawals_.find(server);
        if (found == withdrawals_.end() || !found->second.proxies.insert(stream).second) {
            return;
        }
        withdrawn_servers.insert(server);
        const double elapsed_ms = static_cast<double>((now_ - found->second.at).count()) / 10;
        delivery_ms.add(elapsed_ms + in_turn / kMillisecond);
    }

    TimePoint now_{};
    double turn_start_ = 0, excluded_before_turn_ = 0;
    std::unordered_map<std::string, Withdrawal> withdrawals_;
    std::unordered_set<std::string> servers_in_tables_;
};

// Distributes a rate over the turns: next() returns a whole number, and the fraction is carried
// over to the next turn.
class TurnRate {
 public:
    explicit TurnRate(double per_second) : per_turn_(per_second / kTurnsPerSecond) {}
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
    CoreRun(const WorldSpec& spec, double max_processor_seconds)
        : spec_(spec),
          max_processor_seconds_(max_processor_seconds),
          world_(spec),
          names_(world_.names()),
          bounds_{spec.proxies * spec.planners},
          list_reader_(names_),
          log_(::open("/dev/null", O_WRONLY | O_CLOEXEC)),
          change_rate_(spec.changes_per_second),
          report_rate_(spec.reports_per_second),
          demand_rate_(spec.reports_per_second > 0 && spec.demand ? spec.services : 0) {}

    json run() {
        const std::string first_list = world_.complete_list();
        list_bytes_ = first_list.size();
        baseline_bytes_ = resident_bytes();
        start(first_list);
        for (int turn = 0; turn < spec_.quiet_seconds * kTurnsPerSecond && !stopped_; ++turn) {
            run_quiet_turn();
        }
        for (int turn = 0; turn < spec_.warmup_seconds * kTurnsPerSecond && !stopped_; ++turn) {
            run_turn(false);
        }
        const Totals before = totals();
        for (int turn = 0; turn < spec_.seconds * kTurnsPerSecond && !stopped_; ++turn) {
            apply_scenario(turn);
            run_turn(true);
        }
        return result(before);
    }

 private:
    struct Totals {
        std::int64_t messages_in, bytes_in, messages_out, bytes_out;
    };

    Totals totals() const {
        return {messages_in_, bytes_in_, transport_.messages, transport_.bytes};
    }

    void start(const std::string& first_list) {
        const Stopwatch construction(transport_.excluded_seconds);
        core_.emplace(world_.deployment_settings(), names_, spec_.seed, transport_, log_);
        start_seconds_ += construction.stop();
        add_list(first_list);
        start_seconds_ += turn();
        start_turn_seconds_ = last_turn_seconds_;
        open_streams();
        start_seconds_ += turn();
        start_turn_seconds_ = std::max(start_turn_seconds_, last_turn_seconds_);
        check_processor_limit();
    }

    void open_streams() {
        for (int proxy = 0; proxy < spec_.proxies; ++proxy) {
            const StreamId stream{next_stream_++};
            proxy_of_[stream] = proxy;
            add_line(stream, world_.join_line(proxy));
        }
    }

    void apply_scenario(int turn) {
        const int second = turn / kTurnsPerSecond;
        const bool whole_second = turn % kTurnsPerSecond == 0;
        const bool due = whole_second && second == kEventAfterSeconds;
        if (spec_.scenario == Scenario::burst && due) {
            add_change(world_.replace(std::min(kBurstServers, spec_.servers / 2), now_));
        }
        if (spec_.scenario == Scenario::zone_loss && due) {
            add_change(world_.remove_zone(0));
        }
        if (spec_.scenario == Scenario::zone_loss && whole_second &&
            second == kZoneBackAfterSeconds) {
            add_change(world_.restore_zone(now_));
        }
        if (spec_.scenario == Scenario::mass_join && due) {
            reopen_streams();
        }
        if (spec_.scenario == Scenario::release && whole_second && second >= kEventAfterSeconds) {
            add_change(world_.replace_draining(now_));
            add_change(
                world_.drain(std::max(1, static_cast<int>(kReleasePerSecond * spec_.servers))));
        }
    }

    void reopen_streams() {
        for (const auto& [stream, proxy] : proxy_of_) {
            items_.push_back({now_, core_event::StreamClosed{stream, "renewed"}});
        }
        proxy_of_.clear();
        transport_.unanswered_nonces.clear();
        transport_.reached_streams.clear();
        open_streams();
    }

    void run_turn(bool measured) {
        if (const int changes = change_rate_.next(); changes > 0) {
            add_change(world_.replace(changes, now_));
        }
        for (const std::string& line : world_.report_lines(report_rate_.next())) {
            add_line(StreamId{}, line);
        }
        for (const std::string& line : world_.demand_lines(demand_rate_.next())) {
            add_line(StreamId{}, line);
        }
        acknowledge_nonces();
        const double used = turn();
        if (measured) {
            busy_seconds_ += used;
            turn_ms_.add(last_turn_seconds_ / kMillisecond);
        }
        check_processor_limit();
    }

    void run_quiet_turn() {
        acknowledge_nonces();
        turn();
        if (all_reached_seconds_ == 0 && transport_.reached_streams.size() == proxy_of_.size()) {
            all_reached_seconds_ = std::chrono::duration<double>(now_ - kWorldStart).count();
        }
        check_processor_limit();
    }

    void acknowledge_nonces() {
        for (const auto& [stream, nonce] : std::exchange(transport_.unanswered_nonces, {})) {
            add_line(stream, World::acknowledgement_line(proxy_of_.at(stream), nonce));
        }
    }

    void check_processor_limit() {
        stopped_ = stopped_ || processor_seconds() > max_processor_seconds_;
    }

    void add_change(const World::Change& change) {
        for (const std::string& server : change.gone) {
            transport_.server_ended(server, now_);
        }
        add_list(change.list);
    }

    void add_list(const std::string& text) {
        ++messages_in_;
        bytes_in_ += static_cast<std::int64_t>(text.size()) + 1;
        const Stopwatch parsing(transport_.excluded_seconds);
        items_.push_back({now_, core_event::EndpointListReceived{list_reader_.read(text).value()}});
        parse_seconds_ += parsing.stop();
    }

    // Lines end with CRLF on the wire.
    void add_line(StreamId stream, const std::string& line) {
        ++messages_in_;
        bytes_in_ += static_cast<std::int64_t>(line.size()) + 2;
        lines_.emplace_back(stream, line);
    }

    void parse_lines() {
        const Stopwatch parsing(transport_.excluded_seconds);
        for (const auto& [stream, line] : lines_) {
            const auto parsed = protocol::parse_message(line, names_, bounds_);
            const auto& message = std::get<protocol::Message>(parsed);
            if (const auto* join = std::get_if<event::ProxyJoined>(&message)) {
                items_.push_back({now_, core_event::StreamOpened{stream, *join}});
            } else if (const auto* acknowledgement =
                           std::get_if<event::Acknowledgement>(&message)) {
                items_.push_back({now_, core_event::StreamAcknowledged{stream, *acknowledgement}});
            } else if (const auto* load_report = std::get_if<event::EndpointLoadReport>(&message)) {
                items_.push_back({now_, core_event::ReportReceived{*load_report}});
            } else if (const auto* demand_report = std::get_if<event::DemandReport>(&message)) {
                items_.push_back({now_, core_event::ReportReceived{*demand_report}});
            }
        }
        parse_seconds_ += parsing.stop();
        lines_.clear();
    }

    // Runs one turn. Returns the seconds that parsing and the turn took.
    double turn() {
        parse_lines();
        transport_.begin_turn(now_);
        const Stopwatch processing(transport_.excluded_seconds);
        core_->process(items_, now_);
        last_turn_seconds_ = processing.stop();
        items_.clear();
        now_ += kTurnInterval;
        return last_turn_seconds_ + std::exchange(parse_seconds_, 0);
    }

    json result(const Totals& before) const {
        const Totals after = totals();
        const double measured_seconds = static_cast<double>(turn_ms_.size()) / kTurnsPerSecond;
        const auto rate = [&](std::int64_t from, std::int64_t to) {
            return measured_seconds > 0 ? static_cast<double>(to - from) / measured_seconds : 0;
        };
        json counts{{"list_bytes", list_bytes_},
                    {"messages_in", after.messages_in},
                    {"bytes_in", after.bytes_in},
                    {"messages_out", after.messages_out},
                    {"bytes_out", after.bytes_out},
                    {"withdrawals_told", transport_.withdrawal_count()},
                    {"withdrawals_written", transport_.withdrawn_servers.size()},
                    {"proxies_reached", transport_.reached_streams.size()},
                    {"digest", std::to_string(transport_.digest)}};
        json measured{{"measured_seconds", measured_seconds},
                      {"start_seconds", start_seconds_},
                      {"start_turn_ms", start_turn_seconds_ / kMillisecond},
                      {"resident_mb", megabytes(resident_bytes())},
                      {"core_mb", megabytes(resident_bytes() - baseline_bytes_)},
                      {"peak_resident_mb", megabytes(peak_resident_bytes())}};
        if (all_reached_seconds_ > 0) {
            measured["bound_seconds"] = all_reached_seconds_;
        }
        if (measured_seconds > 0) {
            measured["processor_share"] = busy_seconds_ / measured_seconds;
            measured["turn_ms_50"] = turn_ms_.quantile(0.5);
            measured["turn_ms_99"] = turn_ms_.quantile(0.99);
            measured["turn_ms_100"] = turn_ms_.quantile(1);
            measured["bytes_in_per_second"] = rate(before.bytes_in, after.bytes_in);
            measured["bytes_out_per_second"] = rate(before.bytes_out, after.bytes_out);
            measured["messages_in_per_second"] = rate(before.messages_in, after.messages_in);
            measured["messages_out_per_second"] = rate(before.messages_out, after.messages_out);
        }
        if (transport_.delivery_ms.size() > 0) {
            measured["deliveries"] = transport_.delivery_ms.size();
            measured["delivery_ms_50"] = transport_.delivery_ms.quantile(0.5);
            measured["delivery_ms_99"] = transport_.delivery_ms.quantile(0.99);
            measured["delivery_ms_100"] = transport_.delivery_ms.quantile(1);
        }
        return {{"stopped", stopped_},
                {"counts", std::move(counts)},
                {"measured", std::move(measured)}};
    }

    static double megabytes(std::int64_t bytes) { return static_cast<double>(bytes) / 1e6; }

    const WorldSpec spec_;
    const double max_processor_seconds_;
    World world_;
    const SymbolTable names_;
    const protocol::Bounds bounds_;
    protocol::EndpointListReader list_reader_;
    Log log_;
    RecordingTransport transport_;
    std::optional<Core> core_;
    TimePoint now_ = kWorldStart;
    std::vector<Inbox::Item> items_;
    std::vector<std::pair<StreamId, std::string>> lines_;
    std::map<StreamId, int> proxy_of_;
    std::uint64_t next_stream_ = 1;
    TurnRate change_rate_, report_rate_, demand_rate_;
    std::int64_t messages_in_ = 0, bytes_in_ = 0, baseline_bytes_ = 0;
    std::size_t list_bytes_ = 0;  // size of the complete list
    double parse_seconds_ = 0, last_turn_seconds_ = 0, busy_seconds_ = 0;
    double start_seconds_ = 0, start_turn_seconds_ = 0, all_reached_seconds_ = 0;
    Samples turn_ms_;
    bool stopped_ = false;
};

}  // namespace

json run_core(const WorldSpec& spec, double max_processor_seconds) {
    return CoreRun(spec, max_processor_seconds).run();
}

}  // namespace micaroad::scale
