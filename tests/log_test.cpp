// Tests the limits of the log and the lines that the core and the process write. Each line has the
// form `component: event key=value ...` and names the proxy, server or planner that it is about.
#include "log/log.hpp"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <regex>
#include <sstream>

#include "planner/core.hpp"
#include "program_helpers.hpp"

using namespace micaroad;
using namespace micaroad::test;

namespace {

// A log in memory whose lines can be read after it has been closed.
class CapturedLog {
 public:
    CapturedLog() : fd_(::memfd_create("log", 0)), log_(std::make_unique<Log>(fd_)) {}
    ~CapturedLog() {
        log_.reset();
        ::close(fd_);
    }
    CapturedLog(const CapturedLog&) = delete;
    CapturedLog& operator=(const CapturedLog&) = delete;

    Log& log() { return *log_; }

    // Closes the log and returns its lines without timestamps, as in "info core: proxy left ...".
    // Checks the form of each timestamp.
    std::vector<std::string> close_and_read() {
        log_.reset();
        const auto size = static_cast<std::size_t>(::lseek(fd_, 0, SEEK_END));
        std::string text(size, '\0');
        REQUIRE(::pread(fd_, text.data(), size, 0) == static_cast<ssize_t>(size));
        static const std::regex timestamp(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z )");
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            std::smatch match;
            REQUIRE(std::regex_search(line, match, timestamp));
            REQUIRE(match.position() == 0);
            lines.push_back(line.substr(static_cast<std::size_t>(match.length())));
        }
        return lines;
    }

 private:
    int fd_;
    std::unique_ptr<Log> log_;
};

bool contains(const std::vector<std::string>& lines, const std::string& line) {
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

bool has_log_form(const std::string& line) {
    static const std::regex form(
        R"((info|warn|error) [a-z]+: [a-z]+( [a-z]+)*( [a-z_]+=([^ "=]+|"([^"\\]|\\.)*"))+)");
    return std::regex_match(line, form);
}

struct NoTransport : Transport {
    void write(StreamId, std::string_view) override {}
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}
};

CoreEvent list_received(const std::string& text) {
    return core_event::EndpointListReceived{
        protocol::EndpointListReader(names()).read(text).value()};
}

CoreEvent stream_opened(std::uint64_t stream, int proxy) {
    return core_event::StreamOpened{{stream}, {{proxy}, {0}, 5, true}};
}

}  // namespace

TEST_CASE(
    "log: each format string has its own limit, and the destructor writes all accepted lines") {
    CapturedLog captured;
    for (int n = 0; n < 250; ++n) {
        captured.log().info("test: repeated number={}", n);
        if (n % 5 == 0) {
            captured.log().warn("test: other number={}", n);
        }
    }
    const std::vector<std::string> lines = captured.close_and_read();
    CHECK(lines.size() == 150);
    CHECK(contains(lines, "info test: repeated number=99"));
    CHECK(!contains(lines, "info test: repeated number=100"));
    CHECK(contains(lines, "warn test: other number=245"));
}

TEST_CASE("log: lines dropped because the queue is full are counted") {
    int ends[2] = {-1, -1};
    REQUIRE(::pipe(ends) == 0);
    std::string text;
    {
        Log log(ends[1]);
        // Each of the 22 format strings may write 100 lines. Together that is more than the pipe,
        // one batch of the writer and the queue can hold, which are at most 1,000 lines each.
        std::vector<std::string> formats;
        for (int n = 0; n < 22; ++n) {
            formats.push_back("test: line kind=" + std::to_string(n) + " value={}");
        }
        const std::string long_value(4'000, 'x');
        for (const std::string& format : formats) {
            for (int n = 0; n < 100; ++n) {
                log.info(fmt::runtime(format), long_value);
            }
        }
        std::string piece(65'536, '\0');
        ssize_t size = 1;
        while (size > 0 && text.find("the output was too slow\"\n") == std::string::npos) {
            size = ::read(ends[0], piece.data(), piece.size());
            text.append(piece, 0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
    }
    ::close(ends[0]);
    ::close(ends[1]);
    REQUIRE(text.find("warn log: ") != std::string::npos);
    const std::string lost = text.substr(text.find("warn log: "));
    CHECK(std::regex_match(
        lost.substr(0, lost.find('\n')),
        std::regex(R"(warn log: lines lost count=\d+ reason="the output was too slow")")));
}

TEST_CASE("log: each line of the core names the proxy, server or list that it is about") {
    CapturedLog captured;
    {
        ManualClock clock;
        NoTransport transport;
        Core core(sample_settings(), names(), 7, transport, captured.log());
        std::vector<Inbox::Item> items;
        const auto add = [&](CoreEvent event) { items.push_back({clock.now(), std::move(event)}); };
        add(list_received(kTwoServerList));
        add(stream_opened(1, 3));
        add(stream_opened(2, 3));
        add(core_event::StreamAcknowledged{{2}, {{3}, {17}}});
        add(core_event::ReportReceived{
            event::EndpointLoadReport{{"s-9"}, {0}, 3, 0, Duration{300}, Duration{5'000}}});
        add(list_received(R"({"version":42,"full":false,"servers":[{"id":"s-1","addr":"h:1",)"
                          R"("zone":"a","kind":"m1","state":"draining"}]})"));
        add(list_received(R"({"version":40,"full":false,"servers":[{"id":"s-1","addr":"h:1",)"
                          R"("zone":"a","kind":"m1","state":"up"}]})"));
        add(list_received(R"({"version":43,"full":true,"servers":[{"id":"x-1","addr":"h:1",)"
                          R"("zone":"hall","kind":"m1","state":"up"}]})"));
        add(core_event::ConfigurationReloaded{{"127.0.0.1:9", {"limits"}}});
        add(core_event::StreamClosed{{2}, "reset by \"peer\""});
        core.process(items, clock.now());
        core.record_lag(items, clock.now());
        items.clear();
        clock.ticks += 150'000;
        core.process(items, clock.now());
        core.record_lag(items, clock.now());
    }
    const std::vector<std::string> lines = captured.close_and_read();
    for (const std::string line : {
             "info discovery: endpoint list applied version=41 form=complete entries=2 "
             "known_endpoints=2",
             "info core: proxy joined proxy=3 zone=a rpcs_per_second=5 initial_table_only=true",
             "info core: stream replaced proxy=3 stream=2 old_stream=1",
             "warn core: acknowledgement dropped proxy=3 nonce=17 reason=\"not pending on its "
             "stream\"",
             "warn core: load report dropped server=s-9 reason=\"never listed\"",
             "info discovery: endpoint changed server=s-1 state=draining",
             "info discovery: endpoint list applied version=42 form=incremental entries=1 "
             "known_endpoints=2",
             "warn discovery: changes dropped version=40 current_version=42",
             "error discovery: list rejected version=43 reason=\"no server of a known zone "
             "and kind\"",
             "info configuration: reloaded discovery=127.0.0.1:9",
             "warn configuration: change needs a restart key=limits",
             R"(info core: proxy left proxy=3 reason="reset by \"peer\"")",
             "info core: server withdrawn server=s-1",
             "info core: decision lag mean_ms=0.0 longest_ms=0.0 events=0 updates=0 "
             "update_lines=0 proxies=0",
         }) {
        INFO(line);
        CHECK(contains(lines, line));
    }
    for (const std::string& line : lines) {
        INFO(line);
        CHECK(has_log_form(line));
    }
}

TEST_CASE("log: a process logs its state changes and why it could not start") {
    CapturedLog captured;
    const net::Address taken = [&] {
        PlannerProcess process(start_configuration(""), clock_now(), captured.log());
        process.stop();
        CHECK(process.run() == 0);
        return process.address();
    }();
    const auto listening = Socket::listen(taken);
    REQUIRE(listening);
    const Socket& listener = *listening;
    StartConfiguration start = start_configuration("");
    start.name = "n2";
    start.listen = text_of(listener.local());
    const std::string listen = start.listen;
    PlannerProcess second(std::move(start), clock_now(), captured.log());
    CHECK(second.run() == 1);
    CHECK(second.state() == LifecycleState::failed);
    second.reload([](const char*) -> const char* { return nullptr; });

    std::vector<std::string> states;
    const std::vector<std::string> lines = captured.close_and_read();
    for (const std::string& line : lines) {
        INFO(line);
        CHECK(has_log_form(line));
        const std::string prefix = "info process: state changed ";
        if (line.starts_with(prefix)) {
            states.push_back(line.substr(prefix.size()));
        }
    }
    CHECK(states == std::vector<std::string>{
                        "planner=n1 state=applying_initial_list", "planner=n1 state=serving",
                        "planner=n1 state=stopping", "planner=n1 state=stopped",
                        "planner=n2 state=applying_initial_list", "planner=n2 state=failed"});
    const auto names_address = [&listen](const std::string& line) {
        return line.starts_with("error process: start failed planner=n2 listen=" + listen +
                                " reason=\"");
    };
    CHECK(std::count_if(lines.begin(), lines.end(), names_address) == 1);
    CHECK(contains(lines,
                   "error configuration: reload rejected planner=n2 reason=\"LB_CONFIG is not "
                   "set\""));
}
