// Stored data: a recording, an operator's file and a start file that an earlier version of the
// program wrote or read, and that must stay readable. Each is read and compared with a golden file
// or with values in this file.
//
// In tests/data/:
//   recording/         two runs of a planner. It must replay to the same orders, and recording the
//                      same runs again must give the same records.
//   recording-spoilt/  the first run with one order changed, and a segment that is cut. The replay
//                      must report both.
//   operator.txtpb     is read, and written back to the bytes of golden/operator.txtpb.
//   start.json         is read; the expected values are in this file.
//
// With MICAROAD_WRITE_GOLDENS=1 the test writes the recordings and the golden file anew and then
// fails, so that no run passes by writing. Renew them only with an intended change of behaviour
// that the commit states: a recording or a file in use must stay readable. A replaced recording
// must be read by a test of its own from then on.
//
// The compressed bytes of a recording are not compared, because they depend on the version of zstd.
// The records in them are compared byte for byte.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "daemon/start_configuration.hpp"
#include "helpers.hpp"
#include "operators/file.hpp"
#include "record/block.hpp"
#include "record/recorder.hpp"
#include "record/replay.hpp"
#include "record/segment_name.hpp"
#include "record/settings_conversion.hpp"

using namespace micaroad;
namespace fs = std::filesystem;

namespace {

const fs::path kData = TEST_DATA;

bool write_goldens() {
    return std::getenv("MICAROAD_WRITE_GOLDENS") != nullptr;
}

std::string bytes_of(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// One recorded run of a planner on a manual clock: it receives events of every kind, its timers
// expire, and its nonces are acknowledged.
class RecordedPlanner {
 public:
    RecordedPlanner(record::Directory& directory, const DeploymentSettings& settings,
                    std::uint64_t seed, std::int64_t start_offset)
        : recorder_(directory, {},
                    record::make_header(settings, test::names(), seed, "planner-0", "golden",
                                        start_time(start_offset)),
                    nullptr),
          planner_(settings, seed),
          rng_(seed) {
        clock_.ticks += start_offset;
    }

    void run(int tenths_of_seconds) {
        handle(list(event::EndpointListUpdate::Form::restored, EndpointPhase::ready));
        handle(list(event::EndpointListUpdate::Form::complete, EndpointPhase::ready));
        for (int proxy = 0; proxy < 4; ++proxy) {
            handle(event::ProxyJoined{{proxy}, {proxy % 2}, 50.0 + proxy, proxy == 3});
        }
        decide();
        for (int step = 0; step < tenths_of_seconds; ++step) {
            clock_.ticks += 1'000;
            if (step % 5 == 0) {
                report();
            }
            if (step == 60) {
                handle(event::EndpointListUpdate{event::EndpointListUpdate::Form::incremental,
                                                 {server(1, EndpointPhase::draining)}});
            }
            if (step == 90) {
                handle(event::ProxyLeft{{2}});
            }
            if (step == 100) {
                handle(event::ProxyJoined{{2}, {0}, 7, false});
            }
            if (step == 110) {
                handle(event::EndpointListUpdate{event::EndpointListUpdate::Form::unavailable, {}});
            }
            if (step == 130) {
                handle(list(event::EndpointListUpdate::Form::complete, EndpointPhase::gone));
            }
            if (step == 150) {
                handle(event::PeerMessage{{1}, "a word of a peer"});
            }
            expire_due_timers();
            decide();
        }
        recorder_.close();
    }

 private:
    static TimePoint start_time(std::int64_t start_offset) {
        return test::ManualClock().now() + Duration{start_offset};
    }

    static ListedEndpoint server(int number, EndpointPhase phase) {
        return {{"s-" + std::to_string(number)},
                {number % 2},
                {number % 2},
                {number},
                phase,
                1.0 + 0.25 * number,
                std::nullopt};
    }

    // A list of all five servers; the last one has the given phase.
    static event::EndpointListUpdate list(event::EndpointListUpdate::Form form,
                                          EndpointPhase last) {
        event::EndpointListUpdate list{form, {}};
        for (int number = 1; number <= 5; ++number) {
            list.servers.push_back(server(number, number == 5 ? last : EndpointPhase::ready));
        }
        return list;
    }

    double random_below(std::uint64_t bound) { return static_cast<double>(rng_() % bound); }

    void report() {
        for (int number = 1; number <= 5; ++number) {
            const ServerId server{"s-" + std::to_string(number)};
            const double attempts = 20.0 + random_below(9);
            const double failures = random_below(3);
            const Duration mean{500 + static_cast<Duration::rep>(rng_() % 20'000)};
            handle(event::EndpointLoadReport{
                server, {number % 2}, attempts, failures, mean, Duration{5'000}});
        }
        const int method = static_cast<int>(rng_() % 2);
        handle(event::DemandReport{
            {static_cast<int>(rng_() % 4)}, {method}, 10.5, random_below(2), Duration{5'000}});
        handle(event::SliceDemandReport{{3}, {method}, 4, 1, Duration{5'000}});
        handle(event::SliceAssigned{{3}, true});
        handle(event::SliceOwnerReported{{3}, {"s-2"}, 0.1 + 0.2});
        handle(event::HealthCheckResult{{"s-4"}, rng_() % 4 != 0, Duration{30}});
    }

    void expire_due_timers() {
        while (!timers_.empty() && timers_.begin()->first <= clock_.now()) {
            const TimerId timer = timers_.begin()->second;
            timers_.erase(timers_.begin());
            handle(event::TimerExpired{timer});
        }
    }

    void handle(const Event& event) {
        recorder_.on_event(event);
        planner_.handle(event);
    }

    void decide() {
        const std::vector<Order> orders = planner_.decide(clock_.now());
        recorder_.on_decision(clock_.now(), orders);
        for (const Order& order : orders) {
            if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
                timers_.emplace(clock_.now() + timer->after, timer->timer);
            }
            if (const auto* send_nonce = std::get_if<order::SendNonce>(&order)) {
                for (int proxy = 0; proxy < 4; ++proxy) {
                    handle(event::Acknowledgement{{proxy}, send_nonce->nonce});
                }
            }
        }
        while (recorder_.work().has_more_work) {
        }
    }

    test::ManualClock clock_;
    record::Recorder recorder_;
    Planner planner_;
    std::mt19937_64 rng_;
    std::multimap<TimePoint, TimerId> timers_;
};

// Records a run with a shared table and one with slices and admission by rate, in separate
// segments.
void record_two_runs(const fs::path& folder) {
    const auto directory = record::open_directory(folder.string());
    RecordedPlanner(*directory, test::sample_settings(), 5, 0).run(200);
    DeploymentSettings slice_settings = test::sample_settings();
    slice_settings.admission_kind = AdmissionKind::rate;
    slice_settings.slice_count = 8;
    slice_settings.subscription_required = true;
    slice_settings.methods[1].own_zone_only = true;
    RecordedPlanner(*directory, slice_settings, 0x8c1f30d27a5be964, 1'000'000).run(200);
}

std::vector<std::string> records_of(const fs::path& folder) {
    std::vector<std::string> records;
    const auto directory = record::open_directory(folder.string());
    record::read_recording(*directory, [&records](const records::Record& record) {
        records.push_back(record.SerializeAsString());
    });
    return records;
}

// Writes a damaged copy of a recording: its first run with one weight changed, and the first half
// of its second segment.
void write_damaged_copy(const fs::path& recording, const fs::path& damaged) {
    fs::remove_all(damaged);
    fs::create_directories(damaged);
    std::vector<std::string> records;
    bool changed = false;
    int headers = 0;
    const auto directory = record::open_directory(recording.string());
    record::read_recording(*directory, [&](const records::Record& record) {
        headers += record.has_head() ? 1 : 0;
        if (headers > 1) {
            return;
        }
        records::Record copy = record;
        for (int i = 0; !changed && records.size() > 20 && i < record.turn().order_size(); ++i) {
            if (record.turn().order(i).kind() != records::Order::SET_LINE) {
                continue;
            }
            copy.mutable_turn()->mutable_order(i)->set_figure(0.25);
            changed = true;
        }
        records.push_back(copy.SerializeAsString());
    });
    REQUIRE(changed);
    std::ofstream(damaged / record::segment_name(0), std::ios::binary)
        << record::encode_block(records, 0);
    const std::string second = directory->list().at(1).name;
    const std::string bytes = bytes_of(recording / second);
    std::ofstream(damaged / second, std::ios::binary) << bytes.substr(0, bytes.size() / 2);
}

}  // namespace

TEST_CASE(
    "golden: the stored recording replays to the same orders, and the same runs give the same "
    "records") {
    const fs::path stored = kData / "recording";
    if (write_goldens()) {
        fs::remove_all(stored);
        record_two_runs(stored);
        write_damaged_copy(stored, kData / "recording-spoilt");
        FAIL("written, not compared: " << stored);
    }
    REQUIRE(fs::is_directory(stored));
    const auto directory = record::open_directory(stored.string());
    const record::ReplayResult result = record::replay(*directory);
    INFO((result.fault ? record::describe(*result.fault) : ""));
    CHECK(result.matches());
    CHECK(result.skipped_turns == 0);
    CHECK(result.replayed_turns == 402);
    CHECK(result.summary.turns == 402);
    CHECK(result.summary.headers == 2);
    CHECK(result.summary.missing_turns == 0);
    CHECK(result.summary.faults.empty());

    // The recording contains every kind of event and these kinds of orders.
    std::set<int> events;
    std::set<int> orders;
    record::read_recording(*directory, [&events, &orders](const records::Record& record) {
        for (const auto& event : record.turn().event()) {
            events.insert(event.kind());
        }
        for (const auto& order : record.turn().order()) {
            orders.insert(order.kind());
        }
    });
    CHECK(events.size() == std::variant_size_v<Event>);
    CHECK(orders == std::set<int>{records::Order::SET_LINE, records::Order::BIND,
                                  records::Order::SET_LEVEL, records::Order::WITHDRAW,
                                  records::Order::MARK, records::Order::START_TIMER,
                                  records::Order::SUBSCRIBE});

    const fs::path new_recording =
        fs::temp_directory_path() / ("micaroad-golden-" + std::to_string(::getpid()));
    record_two_runs(new_recording);
    const std::vector<std::string> records = records_of(new_recording);
    const std::vector<std::string> expected = records_of(stored);
    fs::remove_all(new_recording);
    REQUIRE(records.size() == expected.size());
    const auto first_difference =
        std::mismatch(records.begin(), records.end(), expected.begin()).first;
    INFO("index of the first record that differs: " << first_difference - records.begin());
    CHECK(first_difference == records.end());
}

TEST_CASE(
    "golden: the damaged recording reports its first order that differs and its truncated block") {
    const auto directory = record::open_directory((kData / "recording-spoilt").string());
    const record::ReplayResult result = record::replay(*directory);
    CHECK(!result.matches());
    CHECK(result.replayed_turns == 82);
    REQUIRE(result.fault);
    CHECK(record::describe(*result.fault) ==
          "order 4: recorded SET_LINE table 1 s-1 0.25, now SET_LINE table 1 s-1 0");
    REQUIRE(result.summary.faults.size() == 1);
    CHECK(result.summary.faults[0].description == "truncated block");
}

TEST_CASE("golden: the stored operator's file is written back to the same bytes") {
    const operators::ReadResult result = operators::read_file((kData / "operator.txtpb").string());
    for (const auto& fault : result.faults) {
        UNSCOPED_INFO(fault.text());
    }
    REQUIRE(result.faults.empty());
    const std::string text =
        operators::write_text(result.plan, "Written back by tests/golden_stored_test.cpp.");
    const fs::path golden = kData / "golden" / "operator.txtpb";
    if (write_goldens()) {
        std::ofstream(golden, std::ios::binary) << text;
        FAIL("written, not compared: " << golden);
    }
    CHECK(text == bytes_of(golden));
    const operators::ReadResult back = operators::read_file(golden.string());
    CHECK(back.faults.empty());
    CHECK(back.plan == result.plan);
}

TEST_CASE("golden: the stored start file is read with all its values") {
    const auto no_environment = [](const char*) -> const char* { return nullptr; };
    const StartConfiguration start =
        parse_start_configuration(bytes_of(kData / "start.json"), no_environment);
    CHECK(start.name == "planner-3");
    CHECK(start.listen == "127.0.0.1:3003");
    CHECK(start.discovery == "127.0.0.1:8503");
    CHECK(start.seed == 0x8c1f30d27a5be964);
    CHECK(start.memory_mb == 160);
    CHECK(start.sockets == 768);
    CHECK(start.names.methods == std::vector<std::string>{"lookup", "order"});
    CHECK(start.names.zones == std::vector<std::string>{"a", "b"});
    CHECK(start.names.kinds == std::vector<std::string>{"m1", "m2"});

    CHECK(start.initial_list.version == 12);
    CHECK(start.initial_list.list.form == event::EndpointListUpdate::Form::complete);
    CHECK(start.initial_list.addresses.size() == 3);
    CHECK(start.initial_list.addresses.at({"s-2"}) == "127.0.0.1:4002");
    CHECK(start.initial_list.dropped.empty());
    REQUIRE(start.initial_list.list.servers.size() == 3);
    const ListedEndpoint& second = start.initial_list.list.servers[1];
    CHECK(second.server == ServerId{"s-2"});
    CHECK(second.zone == ZoneId{1});
    CHECK(second.kind == KindId{1});
    CHECK(second.cell == CellId{1});
    CHECK(second.phase == EndpointPhase::draining);
    CHECK(second.size == 1.5);

    const DeploymentSettings& settings = start.settings;
    REQUIRE(settings.methods.size() == 2);
    CHECK(settings.methods[0].soft_deadline == Duration{15'000});
    CHECK(settings.methods[1].criticality == 9);
    CHECK(!settings.methods[0].own_zone_only);
    CHECK(settings.methods[1].own_zone_only);
    CHECK(settings.zone_count == 2);
    CHECK(settings.proxy_count == 9);
    CHECK(settings.channel_lines_per_second == 1600);
    CHECK(settings.overhead_lines_per_message == 3);
    CHECK(settings.max_pending_lines == 1600);
    CHECK(settings.report_interval == Duration{5'000});
    CHECK(settings.max_message_delay == Duration{4'425});
    CHECK(settings.drain_grace == Duration{20'000});
    CHECK(settings.warm_up_duration == Duration{180'000});
    CHECK(settings.cold_capacity_fraction == 0.17);
    CHECK(settings.overload_factor == 3);
    CHECK(settings.overload_window == Duration{15'000});
    CHECK(settings.admission_kind == AdmissionKind::fraction);
    CHECK(settings.default_retry_policy == RetryPolicy::once_if_not_executed);
    CHECK(start.bounds.proxies == 9);
    CHECK(start.bounds.max_window == Duration{600'000});
    CHECK(start.bounds.max_mean_latency == Duration{80'000});
}
