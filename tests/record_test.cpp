// Recordings: every kind of event and order there and back, blocks under cuts, flips and doubles, a
// recorder over a directory whose calls fail, gaps, ages and sizes, and replays that report the
// first decision that differs. Then whose turn background work has.
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

// A folder in memory, each of whose calls can be made to fail: the one with that number, and all
// behind it if `stays`.
struct Memory : Directory {
    std::map<std::string, std::string> files;
    int calls = 0, fails_at = -1;
    bool stays = false, half = false;  // half: a failed append leaves half of its bytes
    bool fails() {
        const int call = calls++;
        return fails_at >= 0 && (call == fails_at || (stays && call > fails_at));
    }
    struct Open : File {
        Memory& disk;
        const std::string name;
        Open(Memory& disk, std::string name) : disk(disk), name(std::move(name)) {}
        bool append(std::string_view bytes) override {
            const bool failed = disk.fails();
            if (!failed || disk.half) {
                disk.files[name] += failed ? bytes.substr(0, bytes.size() / 2) : bytes;
            }
            return !failed;
        }
        bool sync() override { return !disk.fails(); }
    };
    std::unique_ptr<File> create(const std::string& name) override {
        if (fails() || files.contains(name)) {
            return nullptr;
        }
        files[name];
        return std::make_unique<Open>(*this, name);
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
                                    std::size_t most) override {
        const auto at = files.find(name);
        if (at == files.end()) {
            return std::nullopt;
        }
        return at->second.substr(std::min<std::size_t>(from, at->second.size()), most);
    }
};

// A core on a clock moved by hand, recorded: proxies, reports that make weights move, drains and
// stream breaks.
struct Day : Transport {
    test::DiscardingLog quiet;
    test::ManualClock clock;
    Recorder recorder;
    Core core;
    std::uint64_t streams = 0;
    std::mt19937_64 chance;
    void write(StreamId, std::string_view) override {}
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}

    Day(Directory& disk, std::uint64_t seed, RetentionPolicy retention = {})
        : recorder(
              disk, retention,
              make_header(test::sample_settings(), test::names(), seed, "n0", "test", clock.now()),
              nullptr),
          core(test::sample_settings(), test::names(), seed, *this, quiet.log, &recorder),
          chance(seed) {
        turn({told("up", 41, true)});
        for (int p = 0; p < 6; ++p) {
            turn({core_event::StreamOpened{{++streams}, {{p}, {p % 2}, 5, p % 3 == 0}}});
        }
    }
    static CoreEvent told(const char* state, int version, bool full) {
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
    void turn(std::vector<CoreEvent> arrivals) {
        std::vector<Inbox::Item> items;
        for (auto& arrival : arrivals) {
            items.push_back({clock.now(), std::move(arrival)});
        }
        core.process(items, clock.now());
    }
    void run(int seconds, bool work = true) {
        for (int i = 0; i < seconds * 10; ++i) {
            clock.ticks += 1'000;
            std::vector<CoreEvent> arrivals;
            if (i % 5 == 0) {
                for (int k = 1; k <= 5; ++k) {
                    arrivals.push_back(core_event::ReportReceived{event::EndpointLoadReport{
                        {"s-" + std::to_string(k)},
                        {k % 2},
                        20.0 + static_cast<double>(chance() % 9),
                        static_cast<double>(chance() % 3),
                        s(0.05 + 0.1 * static_cast<double>(chance() % 20)),
                        s(0.5)}});
                }
                arrivals.push_back(
                    core_event::ReportReceived{event::DemandReport{{static_cast<int>(chance() % 6)},
                                                                   {static_cast<int>(chance() % 2)},
                                                                   10.5,
                                                                   1,
                                                                   s(0.5)}});
            }
            if (i == 50) {
                arrivals.push_back(told("draining", 42, false));
            }
            if (i == 90) {
                arrivals.push_back(core_event::StreamClosed{{3}, "reset"});
            }
            if (i == 95) {
                arrivals.push_back(core_event::StreamOpened{{++streams}, {{2}, {0}, 7, false}});
            }
            turn(std::move(arrivals));
            if (work) {
                while (recorder.work().has_more_work) {
                }
            }
        }
    }
};

std::uint64_t turns_in(Memory& disk, ReadSummary* summary = nullptr) {
    const ReadSummary all = read_recording(disk, [](const records::Record&) {});
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
    const double odd = 0.1 + 0.2;
    const std::vector<Event> events{
        event::EndpointListUpdate{
            event::EndpointListUpdate::Form::restored,
            {{{"a"}, {1}, {2}, {3}, EndpointPhase::draining, odd, TimePoint{Duration{-7}}},
             {{"b"}, {0}, {0}, {0}, EndpointPhase::gone, 1, std::nullopt}}},
        event::TimerExpired{{1LL << 40}},
        event::ProxyJoined{{3}, {1}, odd, true},
        event::ProxyLeft{{3}},
        event::Acknowledgement{{3}, {65'535}},
        event::EndpointLoadReport{{"a"}, {1}, 12, 3.5, s(1), s(2)},
        event::DemandReport{{1}, {1}, 4, odd, s(1)},
        event::SliceDemandReport{{117}, {1}, 4, 1, s(1)},
        event::SliceAssigned{{117}, true},
        event::SliceOwnerReported{{117}, {"a"}, odd},
        event::HealthCheckResult{{"a"}, true, s(3)},
        event::PeerMessage{{2}, std::string("\0\xff", 2)}};
    CHECK(events.size() == std::variant_size_v<Event>);
    for (const Event& event : events) {
        const records::Event record = to_record(event);
        records::Event read;
        REQUIRE(read.ParseFromString(record.SerializeAsString()));
        const auto back = event_from_record(read);
        REQUIRE(back);
        CHECK(back->index() == event.index());
        CHECK(to_record(*back).SerializeAsString() == record.SerializeAsString());
    }
    CHECK(std::get<event::EndpointLoadReport>(*event_from_record(to_record(events[5]))).failures ==
          3.5);
    CHECK(std::get<event::ProxyJoined>(*event_from_record(to_record(events[2]))).rpcs_per_second ==
          odd);
    CHECK(std::get<event::EndpointListUpdate>(*event_from_record(to_record(events[0])))
              .servers[0]
              .last_start == TimePoint{Duration{-7}});
    const std::vector<Order> orders{
        order::SetTableEntry{{1}, {"a"}, odd},
        order::ClearTable{{1}},
        order::BindProxy{{1}, {{0}, {1}}, {4}},
        order::SetAdmission{std::nullopt, {{1}}, odd, RetryPolicy::never},
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
    "a segment reads up to its last whole block wherever it is cut, and past damage from the next "
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
        REQUIRE(sequences.size() == 25);  // the other five blocks
        REQUIRE(!damages.empty());
    }
    // A block twice, and noise between blocks.
    const std::string first = bytes.substr(0, ends[1]);
    CHECK(read(first + first + "noise MRB1 noise" + bytes.substr(ends[1]), 11).size() == 35);
}

TEST_CASE(
    "a recording replays to the byte, and another module is told at its first decision that "
    "differs") {
    Memory disk;
    Day day(disk, 5);
    day.run(40);
    day.recorder.close();
    const auto begun = std::chrono::steady_clock::now();
    const ReplayResult result = replay(disk);
    const double took =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    CAPTURE(fault_text(result));
    CHECK((result.matches() && result.replayed_turns == result.summary.turns &&
           result.skipped_turns == 0 && result.summary.missing_turns == 0));
    CHECK((result.summary.turns > 400 && result.summary.orders > 500 &&
           result.summary.headers == 1 && result.summary.faults.empty()));

    WARN(result.summary.turns << " turns, " << result.summary.events << " events and "
                              << result.summary.orders << " orders in " << result.summary.bytes
                              << " bytes; replayed in " << took << " s");

    // The same recording with one order another, and with one event another: what a changed build
    // would show.
    for (const bool event : {false, true}) {
        std::vector<std::string> records;
        std::int64_t at = 0;
        read_recording(disk, [&](const records::Record& record) {
            records::Record copy = record;
            auto* turn = copy.mutable_turn();
            if (record.has_turn() && at == 0 && turn->order_size() > 3 && records.size() > 100) {
                at = turn->at();
                if (event) {
                    turn->clear_event();
                } else {
                    turn->mutable_order(2)->set_figure(turn->order(2).figure() + 1e-9);
                }
            }
            records.push_back(record.has_turn() ? copy.SerializeAsString()
                                                : record.SerializeAsString());
        });
        Memory other;
        other.files[segment_name(0)] = encode_block(records, 0);
        const ReplayResult differs = replay(other);
        CHECK(!differs.matches());
        CHECK(differs.last_turn_at.time_since_epoch().count() >= at);
        if (!event) {
            CHECK((differs.last_turn_at.time_since_epoch().count() == at &&
                   fault_text(differs).find("order 3: recorded") != std::string::npos));
        }
    }
}

TEST_CASE(
    "a turn that finds the queue full is counted and shows as a gap; what precedes it still "
    "replays") {
    Memory disk;
    Day day(disk, 9);
    day.run(5);
    const auto before = day.recorder.counts();
    CHECK(before.lost == 0);
    for (std::size_t i = 0; i < Recorder::kMaxQueuedItems / 100; ++i) {  // nobody works meanwhile
        for (int k = 0; k < 120; ++k) {
            day.recorder.on_event(event::TimerExpired{{7}});
        }
        day.recorder.on_decision(day.clock.now(), {});
    }
    const auto after = day.recorder.counts();
    CHECK(after.lost > 100);
    while (day.recorder.work().has_more_work) {
    }
    day.run(5);
    day.recorder.close();
    ReadSummary summary;
    turns_in(disk, &summary);
    CHECK(summary.missing_turns == after.lost);
    CHECK(summary.turns == day.recorder.counts().turns);
    const ReplayResult result = replay(disk);
    CHECK((result.skipped_turns > 40 &&
           result.replayed_turns + result.skipped_turns == summary.turns));
}

TEST_CASE(
    "whichever call of the directory fails, the core goes on and all that was written can be "
    "read") {
    int most = 0;
    for (const bool stays : {false, true}) {
        for (const bool half : {false, true}) {
            for (int at = 0; at < 40; ++at) {
                Memory disk;
                disk.fails_at = at;
                disk.stays = stays;
                disk.half = half;
                RetentionPolicy retention;
                retention.segment_bytes = 4'000;
                retention.total_bytes = 40'000;
                Day day(disk, 3, retention);
                day.run(20);
                day.recorder.close();
                const auto counts = day.recorder.counts();
                ReadSummary summary;
                turns_in(disk, &summary);
                CAPTURE(stays, half, at);
                REQUIRE(summary.turns <= counts.turns);
                if (!stays && summary.headers == 1) {
                    REQUIRE(summary.turns + summary.missing_turns >= counts.turns);
                }
                if (!half) {
                    REQUIRE(summary.faults.empty());
                }
                // What was read whole up to the first gap replays.
                REQUIRE(replay(disk).matches());
                most = std::max(most, disk.calls);
            }
        }
    }
    CHECK(most > 40);  // the failures lay within the day
}

TEST_CASE(
    "old segments go by size and by age, the newest stay, and another life goes on behind them") {
    Memory disk;
    disk.files["notes.txt"] = "not ours";
    RetentionPolicy retention;
    retention.segment_bytes = 3'000;
    retention.total_bytes = 12'000;
    {
        Day day(disk, 3, retention);
        day.run(60);
        day.recorder.close();
        CHECK(day.recorder.counts().segments > 8);
    }
    std::uint64_t all = 0;
    for (const auto& entry : disk.list()) {
        all += entry.bytes;
    }
    CHECK(all <= 12'000 + 3'000);
    CHECK(disk.files.contains("notes.txt"));
    const std::string last = std::prev(disk.files.end(), 2)->first;
    {
        Day day(disk, 4, retention);
        day.run(3);
        day.recorder.close();
    }
    CHECK(disk.files.contains(last));
    ReadSummary summary;
    turns_in(disk, &summary);
    CHECK((summary.headers == 1 &&
           summary.faults.empty()));  // the first life's head went with its segment
    const ReplayResult result = replay(disk);
    CHECK((result.matches() && result.skipped_turns > 0 && result.replayed_turns > 30));

    Memory aged;
    retention.total_bytes = 1 << 20;
    retention.max_age = s(10);
    retention.segment_age = s(2);
    Day day(aged, 5, retention);
    day.run(40);
    day.recorder.close();
    CHECK((aged.files.size() >= 4 && aged.files.size() <= 8));
}

TEST_CASE("a newer schema is rejected, and segment names hold sequence numbers") {
    Memory disk;
    Day day(disk, 2);
    day.recorder.close();
    records::Record record;
    *record.mutable_head() =
        make_header(test::sample_settings(), test::names(), 1, "n", "b", TimePoint{});
    record.mutable_head()->set_schema(kSchemaVersion + 1);
    Memory newer;
    newer.files[segment_name(0)] = encode_block({record.SerializeAsString()}, 0);
    CHECK(fault_text(replay(newer)).find("schema 2") != std::string::npos);
    CHECK(!replay(newer).matches());
    CHECK(parse_segment_name(segment_name(77)) == 77u);
    for (const char* odd :
         {"", "x", "0000000000000042.mre", "000000000000004.mrec", "zz00000000000042.mrec"}) {
        CHECK(!parse_segment_name(odd));
    }
    // The system's own folder.
    const auto path =
        std::filesystem::temp_directory_path() / ("micaroad-record-" + std::to_string(::getpid()));
    {
        const auto real = open_directory(path.string());
        Day kept(*real, 2);
        kept.run(3);
        kept.recorder.close();
        CHECK((replay(*real).matches() && replay(*real).replayed_turns > 30));
        CHECK(!real->create(real->list().at(0).name));
    }
    std::filesystem::remove_all(path);
}

TEST_CASE("background work keeps to its budget, the more urgent first, and nobody waits for good") {
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
        now);  // a second of the core: ten seconds of the budget, less what had gathered
    now += s(4);
    CHECK(!scheduler.next(now));
    now += s(6);
    CHECK(scheduler.next(now) == low);
    // One that is always there does not keep the other out for ever.
    Duration longest{};
    TimePoint since = now;
    for (int i = 0; i < 2'000; ++i, now += s(0.1)) {
        scheduler.wake(high, now), scheduler.wake(low, now);
        const auto job = scheduler.next(now);
        if (!job) {
            continue;
        }
        if (*job == low) {
            longest = std::max(longest, now - since);
            since = now;
        }
        scheduler.charge(*job, {50, 0.001, true}, now);
    }
    CHECK((longest > s(20) && longest < s(35)));
    // Over a long time the bytes keep to the budget.
    double bytes = 0;
    const TimePoint begun = now;
    for (; now < begun + s(100); now += s(0.01)) {
        scheduler.wake(high, now);
        if (scheduler.next(now)) {
            bytes += 700;
            scheduler.charge(high, {700, 0, true}, now);
        }
    }
    CHECK(bytes < 103'000);
    CHECK(bytes > 95'000);
}
