// Recordings: conversion of every kind of event and order, blocks that are cut, corrupted or
// repeated, a recorder whose directory calls fail, gaps, retention by age and size, and replays
// that report the first decision that differs. Also the scheduler of background jobs.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <random>

#include "background/job_scheduler.hpp"
#include "helpers.hpp"
#include "planner/core.hpp"
#include "record/block.hpp"
#include "record/event_conversion.hpp"
#include "record/order_conversion.hpp"
#include "record/recorder.hpp"
#include "record/replay.hpp"
#include "record/segment_name.hpp"
#include "record/settings_conversion.hpp"

using namespace micaroad;
using namespace micaroad::record;

namespace {

constexpr Duration s(double seconds) {
    return Duration{static_cast<Duration::rep>(seconds * 10'000)};
}

// A directory in memory that can simulate failures: call number `fails_at` fails, and all later
// calls too if `keeps_failing` is set. With `writes_half`, a failed append writes half of its
// bytes.
struct MemoryDirectory : Directory {
    std::map<std::string, std::string> files;
    int calls = 0, fails_at = -1;
    bool keeps_failing = false, writes_half = false;
    bool fails() {
        const int call = calls++;
        return fails_at >= 0 && (call == fails_at || (keeps_failing && call > fails_at));
    }
    struct MemoryFile : File {
        MemoryDirectory& directory;
        const std::string name;
        MemoryFile(MemoryDirectory& directory, std::string name)
            : directory(directory), name(std::move(name)) {}
        bool append(std::string_view bytes) override {
            const bool failed = directory.fails();
            if (!failed || directory.writes_half) {
                directory.files[name] += failed ? bytes.substr(0, bytes.size() / 2) : bytes;
            }
            return !failed;
        }
        bool sync() override { return !directory.fails(); }
    };
    std::unique_ptr<File> create(const std::string& name) override {
        if (fails() || files.contains(name)) {
            return nullptr;
        }
        files[name];
        return std::make_unique<MemoryFile>(*this, name);
    }
    bool remove(const std::string& name) override { return !fails() && files.erase(name) > 0; }
    std::vector<Entry> list() override {
        std::vector<Entry> entries;
        for (const auto& [name, bytes] : files) {
            entries.push_back({name, bytes.size()});
        }
        return entries;
    }
    std::optional<std::string> read(const std::string& name, std::uint64_t from,
                                    std::size_t max_bytes) override {
        const auto found = files.find(name);
        if (found == files.end()) {
            return std::nullopt;
        }
        return found->second.substr(std::min<std::size_t>(from, found->second.size()), max_bytes);
    }
};

// A recorded core on a manual clock. Its input contains proxies that join, reports that change the
// weights, a drain, and a stream that breaks.
struct RecordedCore : Transport {
    test::DiscardingLog discarding_log;
    test::ManualClock clock;
    Recorder recorder;
    Core core;
    std::uint64_t streams = 0;
    std::mt19937_64 rng;
    void write(StreamId, std::string_view) override {}
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}

    RecordedCore(Directory& directory, std::uint64_t seed, RetentionPolicy retention = {})
        : recorder(
              directory, retention,
              make_header(test::sample_settings(), test::names(), seed, "n0", "test", clock.now()),
              nullptr),
          core(test::sample_settings(), test::names(), seed, *this, discarding_log.log, &recorder),
          rng(seed) {
        turn({endpoint_list("up", 41, true)});
        for (int p = 0; p < 6; ++p) {
            turn({core_event::StreamOpened{{++streams}, {{p}, {p % 2}, 5, p % 3 == 0}}});
        }
    }
    static CoreEvent endpoint_list(const char* state, int version, bool full) {
        std::string text = R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                           (full ? "true" : "false") + R"(,"servers":[)";
        for (int i = 1; i <= (full ? 5 : 1); ++i) {
            text += (i > 1 ? std::string(",") : std::string()) + R"({"id":"s-)" +
                    std::to_string(i) + R"(","addr":"h:1","zone":"a","kind":"m1","state":")" +
                    state + R"("})";
        }
        return core_event::EndpointListReceived{
            protocol::EndpointListReader(test::names()).read(text + "]}").value()};
    }
    void turn(std::vector<CoreEvent> inputs) {
        std::vector<Inbox::Item> items;
        for (auto& input : inputs) {
            items.push_back({clock.now(), std::move(input)});
        }
        core.process(items, clock.now());
    }
    void run(int seconds, bool run_worker = true) {
        for (int i = 0; i < seconds * 10; ++i) {
            clock.ticks += 1'000;
            std::vector<CoreEvent> inputs;
            if (i % 5 == 0) {
                for (int k = 1; k <= 5; ++k) {
                    inputs.push_back(core_event::ReportReceived{
                        event::EndpointLoadReport{{"s-" + std::to_string(k)},
                                                  {k % 2},
                                                  20.0 + static_cast<double>(rng() % 9),
                                                  static_cast<double>(rng() % 3),
                                                  s(0.05 + 0.1 * static_cast<double>(rng() % 20)),
                                                  s(0.5)}});
                }
                inputs.push_back(
                    core_event::ReportReceived{event::DemandReport{{static_cast<int>(rng() % 6)},
                                                                   {static_cast<int>(rng() % 2)},
                                                                   10.5,
                                                                   1,
                                                                   s(0.5)}});
            }
            if (i == 50) {
                inputs.push_back(endpoint_list("draining", 42, false));
            }
            if (i == 90) {
                inputs.push_back(core_event::StreamClosed{{3}, "reset"});
            }
            if (i == 95) {
                inputs.push_back(core_event::StreamOpened{{++streams}, {{2}, {0}, 7, false}});
            }
            turn(std::move(inputs));
            if (run_worker) {
                while (recorder.work().has_more_work) {
                }
            }
        }
    }
};

std::uint64_t count_turns(MemoryDirectory& directory, ReadSummary* summary = nullptr) {
    const ReadSummary all = read_recording(directory, [](const records::Record&) {});
    if (summary != nullptr) {
        *summary = all;
    }
    return all.turns;
}

std::string fault_text(const ReplayResult& result) {
    return result.fault ? describe(*result.fault) : "";
}

}  // namespace

TEST_CASE("every kind of event and order is recorded without loss") {
    const double inexact = 0.1 + 0.2;
    const std::vector<Event> events{
        event::EndpointListUpdate{
            event::EndpointListUpdate::Form::restored,
            {{{"a"}, {1}, {2}, {3}, EndpointPhase::draining, inexact, TimePoint{Duration{-7}}},
             {{"b"}, {0}, {0}, {0}, EndpointPhase::gone, 1, std::nullopt}}},
        event::TimerExpired{{1LL << 40}},
        event::ProxyJoined{{3}, {1}, inexact, true},
        event::ProxyLeft{{3}},
        event::Acknowledgement{{3}, {65'535}},
        event::EndpointLoadReport{{"a"}, {1}, 12, 3.5, s(1), s(2)},
        event::DemandReport{{1}, {1}, 4, inexact, s(1)},
        event::SliceDemandReport{{117}, {1}, 4, 1, s(1)},
        event::SliceAssigned{{117}, true},
        event::SliceOwnerReported{{117}, {"a"}, inexact},
        event::HealthCheckResult{{"a"}, true, s(3)},
        event::PeerMessage{{2}, std::string("\0\xff", 2)}};
    CHECK(events.size() == std::variant_size_v<Event>);
    for (const Event& event : events) {
        const records::Event record = to_record(event);
        records::Event read;
        REQUIRE(read.ParseFromString(record.SerializeAsString()));
        const auto converted = event_from_record(read);
        REQUIRE(converted);
        CHECK(converted->index() == event.index());
        CHECK(to_record(*converted).SerializeAsString() == record.SerializeAsString());
    }
    CHECK(std::get<event::EndpointLoadReport>(*event_from_record(to_record(events[5]))).failures ==
          3.5);
    CHECK(std::get<event::ProxyJoined>(*event_from_record(to_record(events[2]))).rpcs_per_second ==
          inexact);
    CHECK(std::get<event::EndpointListUpdate>(*event_from_record(to_record(events[0])))
              .servers[0]
              .last_start == TimePoint{Duration{-7}});
    const std::vector<Order> orders{
        order::SetTableEntry{{1}, {"a"}, inexact},
        order::ClearTable{{1}},
        order::BindProxy{{1}, {{0}, {1}}, {4}},
        order::SetAdmission{std::nullopt, {{1}}, inexact, RetryPolicy::never},
        order::SetWithdrawn{{"a"}, false},
        order::SendNonce{{4}, true},
        order::StartTimer{{1}, s(0.1)},
        order::CheckHealth{{"a"}},
        order::Subscribe{false},
        order::FetchList{},
        order::SendPeerMessage{PlannerId{1}, "x"},
        order::LogLine{"y"}};
    CHECK(orders.size() == std::variant_size_v<Order>);
    std::set<std::string> texts;
    for (const Order& order : orders) {
        texts.insert(to_record(order).SerializeAsString());
    }
    CHECK(texts.size() == orders.size());
    DeploymentSettings settings = test::sample_settings();
    settings.methods[0].only_kinds = {{1}}, settings.methods[1].own_zone_only = true,
    settings.single_owner = true, settings.write_lifetime = s(5);
    CHECK(to_record(settings_from_record(to_record(settings))).SerializeAsString() ==
          to_record(settings).SerializeAsString());
}

TEST_CASE(
    "a cut segment is read up to its last whole block, and a corrupted one from the next whole "
    "block on") {
    std::string bytes;
    std::vector<std::size_t> ends{0};
    for (int block = 0; block < 6; ++block) {
        std::vector<std::string> records;
        for (int i = 0; i < 5; ++i) {
            records.push_back("record " + std::to_string(block * 5 + i) +
                              std::string(static_cast<std::size_t>(block * 7), 'x'));
        }
        bytes += encode_block(records, static_cast<std::uint64_t>(block) * 5);
        ends.push_back(bytes.size());
    }
    const auto read = [](std::string_view text, std::size_t piece,
                         std::vector<Damage>* damages = nullptr) {
        std::vector<std::uint64_t> sequences;
        BlockReader reader([&](std::uint64_t sequence, std::string_view record) {
            if (record.starts_with("record " + std::to_string(sequence))) {
                sequences.push_back(sequence);
            }
        });
        for (std::size_t at = 0; at < text.size(); at += piece) {
            reader.feed(text.substr(at, piece));
        }
        reader.finish();
        if (damages != nullptr) {
            *damages = reader.damages();
        }
        return sequences;
    };
    for (std::size_t length = 0; length <= bytes.size(); ++length) {
        const auto whole = static_cast<std::size_t>(
                               std::upper_bound(ends.begin(), ends.end(), length) - ends.begin()) -
                           1;
        REQUIRE(read(std::string_view(bytes).substr(0, length), 1 + length % 37).size() ==
                whole * 5);
    }
    std::vector<Damage> damages;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string flipped = bytes;
        flipped[at] = static_cast<char>(flipped[at] ^ 1 << at % 8);
        const auto sequences = read(flipped, 64, &damages);
        CAPTURE(at);
        REQUIRE(sequences.size() == 25);  // the records of the other five blocks
        REQUIRE(!damages.empty());
    }
    // A block that is repeated, and noise between blocks.
    const std::string first = bytes.substr(0, ends[1]);
    CHECK(read(first + first + "noise MRB1 noise" + bytes.substr(ends[1]), 11).size() == 35);
}

TEST_CASE(
    "a recording replays to identical orders, and a replay that differs reports its first "
    "different decision") {
    MemoryDirectory directory;
    RecordedCore recorded_core(directory, 5);
    recorded_core.run(40);
    recorded_core.recorder.close();
    const auto started_at = std::chrono::steady_clock::now();
    const ReplayResult result = replay(directory);
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    CAPTURE(fault_text(result));
    CHECK((result.matches() && result.replayed_turns == result.summary.turns &&
           result.skipped_turns == 0 && result.summary.missing_turns == 0));
    CHECK((result.summary.turns > 400 && result.summary.orders > 500 &&
           result.summary.headers == 1 && result.summary.faults.empty()));

    WARN(result.summary.turns << " turns, " << result.summary.events << " events and "
                              << result.summary.orders << " orders in " << result.summary.bytes
                              << " bytes; replayed in " << seconds << " s");

    // The same recording with one order changed, and with the events of one turn removed, as
    // if the replaying build decided differently.
    for (const bool event : {false, true}) {
        std::vector<std::string> records;
        std::int64_t changed_at = 0;
        read_recording(directory, [&](const records::Record& record) {
            records::Record copy = record;
            auto* turn = copy.mutable_turn();
            if (record.has_turn() && changed_at == 0 && turn->order_size() > 3 &&
                records.size() > 100) {
                changed_at = turn->at();
                if (event) {
                    turn->clear_event();
                } else {
                    turn->mutable_order(2)->set_figure(turn->order(2).figure() + 1e-9);
                }
            }
            records.push_back(record.has_turn() ? copy.SerializeAsString()
                                                : record.SerializeAsString());
        });
        MemoryDirectory changed;
        changed.files[segment_name(0)] = encode_block(records, 0);
        const ReplayResult changed_replay = replay(changed);
        CHECK(!changed_replay.matches());
        CHECK(changed_replay.last_turn_at.time_since_epoch().count() >= changed_at);
        if (!event) {
            CHECK((changed_replay.last_turn_at.time_since_epoch().count() == changed_at &&
                   fault_text(changed_replay).find("order 3: recorded") != std::string::npos));
        }
    }
}

TEST_CASE(
    "turns that find the queue full are counted and recorded as a gap, and the turns before it "
    "replay") {
    MemoryDirectory directory;
    RecordedCore recorded_core(directory, 9);
    recorded_core.run(5);
    const auto before = recorded_core.recorder.counts();
    CHECK(before.lost == 0);
    // The background job does not run while the queue fills.
    for (std::size_t i = 0; i < Recorder::kMaxQueuedItems / 100; ++i) {
        for (int k = 0; k < 120; ++k) {
            recorded_core.recorder.on_event(event::TimerExpired{{7}});
        }
        recorded_core.recorder.on_decision(recorded_core.clock.now(), {});
    }
    const auto after = recorded_core.recorder.counts();
    CHECK(after.lost > 100);
    while (recorded_core.recorder.work().has_more_work) {
    }
    recorded_core.run(5);
    recorded_core.recorder.close();
    ReadSummary summary;
    count_turns(directory, &summary);
    CHECK(summary.missing_turns == after.lost);
    CHECK(summary.turns == recorded_core.recorder.counts().turns);
    const ReplayResult result = replay(directory);
    CHECK((result.skipped_turns > 40 &&
           result.replayed_turns + result.skipped_turns == summary.turns));
}

TEST_CASE("whichever directory call fails, the core continues and everything written can be read") {
    int most_calls = 0;
    for (const bool keeps_failing : {false, true}) {
        for (const bool writes_half : {false, true}) {
            for (int failing_call = 0; failing_call < 40; ++failing_call) {
                MemoryDirectory directory;
                directory.fails_at = failing_call;
                directory.keeps_failing = keeps_failing;
                directory.writes_half = writes_half;
                RetentionPolicy retention;
                retention.segment_bytes = 4'000;
                retention.total_bytes = 40'000;
                RecordedCore recorded_core(directory, 3, retention);
                recorded_core.run(20);
                recorded_core.recorder.close();
                const auto counts = recorded_core.recorder.counts();
                ReadSummary summary;
                count_turns(directory, &summary);
                CAPTURE(keeps_failing, writes_half, failing_call);
                REQUIRE(summary.turns <= counts.turns);
                if (!keeps_failing && summary.headers == 1) {
                    REQUIRE(summary.turns + summary.missing_turns >= counts.turns);
                }
                if (!writes_half) {
                    REQUIRE(summary.faults.empty());
                }
                // The turns before the first gap replay.
                REQUIRE(replay(directory).matches());
                most_calls = std::max(most_calls, directory.calls);
            }
        }
    }
    CHECK(most_calls > 40);  // every failing call was reached
}

TEST_CASE(
    "the oldest segments are deleted by size and by age, and a restart continues the recording") {
    MemoryDirectory directory;
    directory.files["notes.txt"] = "not ours";
    RetentionPolicy retention;
    retention.segment_bytes = 3'000;
    retention.total_bytes = 12'000;
    {
        RecordedCore recorded_core(directory, 3, retention);
        recorded_core.run(60);
        recorded_core.recorder.close();
        CHECK(recorded_core.recorder.counts().segments > 8);
    }
    std::uint64_t all = 0;
    for (const auto& entry : directory.list()) {
        all += entry.bytes;
    }
    CHECK(all <= 12'000 + 3'000);
    CHECK(directory.files.contains("notes.txt"));
    const std::string last = std::prev(directory.files.end(), 2)->first;
    {
        RecordedCore recorded_core(directory, 4, retention);
        recorded_core.run(3);
        recorded_core.recorder.close();
    }
    CHECK(directory.files.contains(last));
    ReadSummary summary;
    count_turns(directory, &summary);
    CHECK((summary.headers == 1 &&
           summary.faults.empty()));  // the segment with the first run's header was deleted
    const ReplayResult result = replay(directory);
    CHECK((result.matches() && result.skipped_turns > 0 && result.replayed_turns > 30));

    MemoryDirectory aged;
    retention.total_bytes = 1 << 20;
    retention.max_age = s(10);
    retention.segment_age = s(2);
    RecordedCore recorded_core(aged, 5, retention);
    recorded_core.run(40);
    recorded_core.recorder.close();
    CHECK((aged.files.size() >= 4 && aged.files.size() <= 8));
}

TEST_CASE("a newer schema is rejected, and segment names contain sequence numbers") {
    MemoryDirectory directory;
    RecordedCore recorded_core(directory, 2);
    recorded_core.recorder.close();
    records::Record record;
    *record.mutable_head() =
        make_header(test::sample_settings(), test::names(), 1, "n", "b", TimePoint{});
    record.mutable_head()->set_schema(kSchemaVersion + 1);
    MemoryDirectory newer;
    newer.files[segment_name(0)] = encode_block({record.SerializeAsString()}, 0);
    CHECK(fault_text(replay(newer)).find("schema 2") != std::string::npos);
    CHECK(!replay(newer).matches());
    CHECK(parse_segment_name(segment_name(77)) == 77u);
    for (const char* invalid :
         {"", "x", "0000000000000042.mre", "000000000000004.mrec", "zz00000000000042.mrec"}) {
        CHECK(!parse_segment_name(invalid));
    }
    // A directory of the file system.
    const auto path =
        std::filesystem::temp_directory_path() / ("micaroad-record-" + std::to_string(::getpid()));
    {
        const auto real = open_directory(path.string());
        RecordedCore kept(*real, 2);
        kept.run(3);
        kept.recorder.close();
        CHECK((replay(*real).matches() && replay(*real).replayed_turns > 30));
        CHECK(!real->create(real->list().at(0).name));
    }
    std::filesystem::remove_all(path);
}

TEST_CASE("background jobs keep to their budget, run by priority, and none starves") {
    using namespace micaroad::background;
    TimePoint now{s(100)};
    JobScheduler scheduler({1'000, 0.1}, now);
    const JobId low = scheduler.add(1), high = scheduler.add(5);
    CHECK(!scheduler.next(now));
    scheduler.wake(low, now), scheduler.wake(high, now);
    CHECK(scheduler.next(now) == high);
    scheduler.charge(high, {5'000, 0, true}, now);
    CHECK(!scheduler.next(now));
    CHECK(scheduler.available_at(now) == now + s(5));
    now += s(5.1);
    CHECK(scheduler.next(now) == high);
    scheduler.charge(
        high, {0, 1.0, false},
        now);  // 1 s of processor time is 10 s of the budget, less the tokens left in the bucket
    now += s(4);
    CHECK(!scheduler.next(now));
    now += s(6);
    CHECK(scheduler.next(now) == low);
    // A job that always has work does not starve one of lower priority.
    Duration longest_wait{};
    TimePoint last_run_at = now;
    for (int i = 0; i < 2'000; ++i, now += s(0.1)) {
        scheduler.wake(high, now), scheduler.wake(low, now);
        const auto job = scheduler.next(now);
        if (!job) {
            continue;
        }
        if (*job == low) {
            longest_wait = std::max(longest_wait, now - last_run_at);
            last_run_at = now;
        }
        scheduler.charge(*job, {50, 0.001, true}, now);
    }
    CHECK((longest_wait > s(20) && longest_wait < s(35)));
    // Over a long time the bytes keep to the budget of 1,000 per second.
    double bytes = 0;
    const TimePoint started_at = now;
    for (; now < started_at + s(100); now += s(0.01)) {
        scheduler.wake(high, now);
        if (scheduler.next(now)) {
            bytes += 700;
            scheduler.charge(high, {700, 0, true}, now);
        }
    }
    CHECK(bytes < 103'000);
    CHECK(bytes > 95'000);
}
