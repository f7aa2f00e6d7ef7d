// Lists of 56,000 servers: whole, in pieces of any size, cut off, twice and over the bound; as
// bytes and over loopback. What a list takes while it is read is counted by the allocator's own
// figures.
#include <malloc.h>

#include <catch2/catch.hpp>
#include <thread>

#include "daemon/limits.hpp"
#include "net_helpers.hpp"
#include "protocol/endpoint_list.hpp"

using namespace micaroad;
using namespace micaroad::test;
using protocol::EndpointListError;
using protocol::EndpointListFraming;
using protocol::EndpointListMessage;
using protocol::EndpointListParser;

namespace {

constexpr int kServers = 56'000;
constexpr std::size_t kPlannerMemoryMb = 128;

// One line, entries of the usual length: some 130 bytes each.
std::string list_line(int version, int servers) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":true,\"servers\":[";
    char entry[256];
    for (int i = 0; i < servers; ++i) {
        std::snprintf(entry, sizeof entry,
                      "%s{\"id\":\"s-%08x\",\"addr\":\"10.%d.%d.%d:3000\",\"zone\":\"%s\",\"kind\":"
                      "\"m%d\",\"cell\":%d,"
                      "\"state\":\"up\",\"weight\":1.0,\"started_ms\":1700000000123}",
                      i > 0 ? "," : "", static_cast<unsigned>(i) * 2'654'435'761u, i / 65'536,
                      i / 256 % 256, i % 256, i % 2 ? "a" : "b", 1 + i % 2, i % 64);
        text += entry;
    }
    return text + "]}\n";
}

const std::string& whole_list() {
    static const std::string text = list_line(43, kServers);
    return text;
}

std::size_t bytes_allocated() {
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct Read {
    EndpointListError fault = EndpointListError::none;
    std::vector<EndpointListMessage> lists;
};

Read read_in_pieces(EndpointListParser& feed, std::string_view text,
                    const std::vector<std::size_t>& sizes) {
    Read read;
    const auto take = [&read](std::optional<EndpointListMessage> said) {
        if (said) {
            read.lists.push_back(std::move(*said));
        }
    };
    for (std::size_t n = 0; !text.empty() && read.fault == EndpointListError::none; ++n) {
        const std::size_t size = std::min(sizes[n % sizes.size()], text.size());
        read.fault = feed.feed(text.substr(0, size), take);
        text.remove_prefix(size);
    }
    return read;
}

std::size_t bound_at(std::size_t memory_mb) {
    return Limits::of(memory_mb, 1'024, 16, 2).max_list_bytes;
}

// Discovery's answers to a fetch and to a watch.
std::string answer_of(const std::string& list) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

struct LargeWatch : NetFixture {
    WatchTimeouts timeouts;
    std::size_t list_bytes = bound_at(kPlannerMemoryMb);
    LargeWatch() { timeouts.initial_backoff = 1ms, timeouts.max_backoff = 2ms; }
    std::unique_ptr<DiscoveryWatch> watch(FakeHttpServer& discovery) {
        return std::make_unique<DiscoveryWatch>("d", discovery.listener.local(), names, 41,
                                                list_bytes, read_buffers, inbox, quiet.log,
                                                timeouts);
    }
    EndpointListMessage next_list() {
        for (;;) {
            for (auto& item : inbox.wait(clock_now()() + Duration{200'000})) {
                pending.push_back(std::move(item.event));
            }
            REQUIRE(!pending.empty());
            while (!pending.empty()) {
                CoreEvent first = std::move(pending.front());
                pending.erase(pending.begin());
                if (auto* told = std::get_if<core_event::EndpointListReceived>(&first)) {
                    return std::move(told->message);
                }
            }
        }
    }
};

bool is_whole(const EndpointListMessage& said) {
    return said.list.form == event::EndpointListUpdate::Form::complete &&
           std::ssize(said.list.servers) == kServers && std::ssize(said.addresses) == kServers &&
           said.dropped.empty();
}

}  // namespace

TEST_CASE("the bound of a list follows the memory limit") {
    CHECK(bound_at(32) == 4 * 1024 * 1024);  // as it was
    CHECK(bound_at(kPlannerMemoryMb) == 16 * 1024 * 1024);
    CHECK(bound_at(192) == 24 * 1024 * 1024);
    CHECK(whole_list().size() > bound_at(32));
    CHECK(whole_list().size() < bound_at(kPlannerMemoryMb));
}

TEST_CASE("a list of 56,000 servers is taken in pieces of any size, and twice") {
    const auto sizes =
        GENERATE(std::vector<std::size_t>{1}, std::vector<std::size_t>{7, 1, 4'096, 64},
                 std::vector<std::size_t>{64 * 1024 * 1024});
    SymbolTable names = test::names();
    EndpointListParser feed(names, EndpointListFraming::line, bound_at(kPlannerMemoryMb));
    for (int twice = 0; twice < 2; ++twice) {
        const Read read = read_in_pieces(feed, whole_list(), sizes);
        REQUIRE(read.fault == EndpointListError::none);
        REQUIRE(read.lists.size() == 1);
        CHECK(is_whole(read.lists[0]));
        CHECK(std::is_sorted(read.lists[0].list.servers.begin(), read.lists[0].list.servers.end(),
                             [](const auto& a, const auto& b) { return a.server < b.server; }));
        CHECK(feed.size() == 0);
    }
    CHECK(names.zones.size() == 2);
}

TEST_CASE("a list's text is not held while it is read, and nothing is after it has been taken") {
    SymbolTable names = test::names();
    std::string_view rest = whole_list();
    const std::size_t before = bytes_allocated();
    EndpointListParser feed(names, EndpointListFraming::line, bound_at(kPlannerMemoryMb));
    std::size_t most = 0, kept = 0;
    const auto take = [&](std::optional<EndpointListMessage> said) {
        kept = bytes_allocated() - before;
        CHECK(is_whole(*said));
    };
    while (!rest.empty()) {
        const std::string_view piece = rest.substr(0, 4'096);
        REQUIRE(feed.feed(piece, take) == EndpointListError::none);
        most = std::max(most, bytes_allocated() - before);
        rest.remove_prefix(piece.size());
    }
    INFO("text " << whole_list().size() << ", while it is read " << most << ", as a list " << kept
                 << " bytes");
    CHECK(kept < 16 * 1024 * 1024);
    CHECK(most < kept + whole_list().size() / 4);
    CHECK(bytes_allocated() < before + 1024 * 1024);
}

TEST_CASE(
    "a list over the bound is refused wherever its bytes are cut, short entries by what they "
    "take") {
    SymbolTable names = test::names();
    EndpointListParser narrow(names, EndpointListFraming::line, bound_at(32));
    const Read read = read_in_pieces(narrow, whole_list(), {4'096});
    CHECK(read.fault == EndpointListError::too_long);
    CHECK(read.lists.empty());
    // The text alone would fit.
    constexpr int kMany = 40'000;
    std::string text = R"({"version":1,"servers":[{"id":"x","state":"removed"})";
    for (int i = 1; i < kMany; ++i) {
        text += R"(,{"id":"x","state":"removed"})";
    }
    REQUIRE(text.size() < kMany * EndpointListParser::kMinEntryBytes / 2);
    EndpointListParser short_entries(names, EndpointListFraming::line,
                                     kMany * EndpointListParser::kMinEntryBytes / 2);
    CHECK(read_in_pieces(short_entries, text, {4'096}).fault == EndpointListError::too_long);
}

TEST_CASE_METHOD(LargeWatch,
                 "a whole list of 56,000 is taken from the watch and from a fetch, and twice") {
    const std::string on_watch = kWatchHeader + chunk(whole_list());
    FakeHttpServer discovery({on_watch, answer_of(whole_list()),
                              kWatchHeader + chunk(empty_update(44)) + chunk(whole_list())});
    const auto watching = watch(discovery);
    discovery.start();
    REQUIRE(watching->start());
    CHECK(is_whole(next_list()));
    watching->fetch();
    CHECK(is_whole(next_list()));
    CHECK(next_list().version == 44);
    CHECK(is_whole(next_list()));
    watching->stop();
    CHECK(discovery.stop_and_get_requests().at(1) == "GET /catalog/members HTTP/1.1");
}

TEST_CASE_METHOD(LargeWatch,
                 "a whole list that breaks off midway is asked for again, and is then whole") {
    const std::string half = whole_list().substr(0, whole_list().size() / 2);
    const std::string told = kWatchHeader + chunk(empty_update(42));
    const bool by_fetch = GENERATE(false, true);
    const std::string cut = by_fetch ? answer_of(whole_list()).substr(0, half.size()) + "!"
                                     : kWatchHeader + chunk(half) + "!";
    FakeHttpServer discovery(
        {told + (by_fetch ? "" : "!"), cut,
         by_fetch ? answer_of(whole_list()) : kWatchHeader + chunk(whole_list()), kWatchHeader});
    const auto watching = watch(discovery);
    discovery.start();
    REQUIRE(watching->start());
    CHECK(next_list().version == 42);
    if (by_fetch) {
        watching->fetch();
    }
    CHECK(is_whole(next_list()));  // and nothing of the half before it
    watching->stop();
    const std::string again = by_fetch ? "GET /catalog/members HTTP/1.1"
                                       : "GET /catalog/members?stream=1&index=42 HTTP/1.1";
    CHECK(discovery.stop_and_get_requests().at(1) == again);
    CHECK(discovery.requests.at(2) == again);
}

TEST_CASE_METHOD(LargeWatch, "a whole list that comes slowly is waited for by its length") {
    // The list comes within twice this time. All times are long beside what a busy machine may keep
    // a thread waiting.
    timeouts.line = 1'500ms;
    constexpr auto kPieceInterval = 150ms;
    constexpr std::size_t kPieces = 20;  // of some 0.4 MB; 512 KiB may take a second
    const std::string text = chunk(whole_list());
    FakeHttpServer discovery({kWatchHeader, kWatchHeader});
    const auto watching = watch(discovery);
    discovery.start();
    REQUIRE(watching->start());
    const Socket& connection = discovery.connection(0);
    for (std::size_t n = 0; n <= kPieces; ++n) {
        const std::size_t size = text.size() / kPieces;
        REQUIRE(connection.send_all(
            std::string_view(text).substr(std::min(n * size, text.size()), size)));
        std::this_thread::sleep_for(kPieceInterval);
    }
    CHECK(is_whole(next_list()));
    watching->stop();
}

TEST_CASE(
    "a list over the bound is refused with one line in the log, and what came before and after it "
    "counts") {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    std::string written;
    const std::string too_long = kWatchHeader + chunk("\n") + chunk(list_line(50, 40'000));
    {
        Log log(ends[1]);
        NetFixture fixture;
        WatchTimeouts timeouts;
        timeouts.oversized_list_backoff = 20ms;
        FakeHttpServer discovery(
            {kWatchHeader + chunk(empty_update(42)) + chunk("\n") + chunk(list_line(50, 40'000)),
             too_long, too_long, kWatchHeader + chunk(empty_update(43))});
        DiscoveryWatch watching("d", discovery.listener.local(), fixture.names, 41, bound_at(32),
                                fixture.read_buffers, fixture.inbox, log, timeouts);
        discovery.start();
        REQUIRE(watching.start());
        CHECK(fixture.expect_next<core_event::EndpointListReceived>().message.version == 42);
        fixture.expect_next<core_event::WatchLost>();
        CHECK(fixture.expect_next<core_event::EndpointListReceived>().message.version == 43);
        watching.stop();
        const auto& requests = discovery.stop_and_get_requests();
        REQUIRE(requests.size() == 4);
        for (int n = 1; n < 4; ++n) {
            CHECK(requests[n] == "GET /catalog/members?stream=1&index=42 HTTP/1.1");
        }
    }
    ::close(ends[1]);
    char bytes[4'096];
    for (ssize_t got; (got = ::read(ends[0], bytes, sizeof bytes)) > 0;) {
        written.append(bytes, static_cast<std::size_t>(got));
    }
    ::close(ends[0]);
    const std::string said = "discovery: watch lost server=d reason=\"list over 4194304 bytes";
    REQUIRE(written.find(said) != std::string::npos);
    CHECK(written.find(said, written.find(said) + 1) == std::string::npos);
    CHECK(written.size() < 512);
}
