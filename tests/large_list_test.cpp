// Tests endpoint lists of 56,000 servers: complete, in pieces of any size, truncated, twice in a
// row and over the size bound, both in the parser alone and over loopback. The memory that parsing
// takes is measured with the allocator's own statistics.
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

// A list in one line, with entries of the usual length of some 130 bytes.
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

const std::string& complete_list() {
    static const std::string text = list_line(43, kServers);
    return text;
}

std::size_t bytes_allocated() {
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct ParseResult {
    EndpointListError error = EndpointListError::none;
    std::vector<EndpointListMessage> lists;
};

ParseResult parse_in_pieces(EndpointListParser& parser, std::string_view text,
                            const std::vector<std::size_t>& sizes) {
    ParseResult result;
    const auto on_message = [&result](std::optional<EndpointListMessage> message) {
        if (message) {
            result.lists.push_back(std::move(*message));
        }
    };
    for (std::size_t n = 0; !text.empty() && result.error == EndpointListError::none; ++n) {
        const std::size_t size = std::min(sizes[n % sizes.size()], text.size());
        result.error = parser.feed(text.substr(0, size), on_message);
        text.remove_prefix(size);
    }
    return result;
}

std::size_t max_list_bytes_at(std::size_t memory_mb) {
    return Limits::of(memory_mb, 1'024, 16, 2).max_list_bytes;
}

// Discovery's response to a fetch.
std::string list_response(const std::string& list) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

// A watch of a fake discovery with the list bound of a planner with kPlannerMemoryMb.
struct LargeListFixture : NetFixture {
    WatchTimeouts timeouts;
    std::size_t max_list_bytes = max_list_bytes_at(kPlannerMemoryMb);
    LargeListFixture() { timeouts.initial_backoff = 1ms, timeouts.max_backoff = 2ms; }
    std::unique_ptr<DiscoveryWatch> make_watch(FakeHttpServer& discovery) {
        return std::make_unique<DiscoveryWatch>("d", discovery.listener.local(), names, 41,
                                                max_list_bytes, read_buffers, inbox, quiet.log,
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
                if (auto* update = std::get_if<core_event::EndpointListReceived>(&first)) {
                    return std::move(update->message);
                }
            }
        }
    }
};

bool is_complete(const EndpointListMessage& message) {
    return message.list.form == event::EndpointListUpdate::Form::complete &&
           std::ssize(message.list.servers) == kServers &&
           std::ssize(message.addresses) == kServers && message.dropped.empty();
}

}  // namespace

TEST_CASE("the size bound of a list follows the memory limit") {
    CHECK(max_list_bytes_at(32) == 4 * 1024 * 1024);
    CHECK(max_list_bytes_at(kPlannerMemoryMb) == 16 * 1024 * 1024);
    CHECK(max_list_bytes_at(192) == 24 * 1024 * 1024);
    CHECK(complete_list().size() > max_list_bytes_at(32));
    CHECK(complete_list().size() < max_list_bytes_at(kPlannerMemoryMb));
}

TEST_CASE("a list of 56,000 servers is parsed in pieces of any size, and twice in a row") {
    const auto sizes =
        GENERATE(std::vector<std::size_t>{1}, std::vector<std::size_t>{7, 1, 4'096, 64},
                 std::vector<std::size_t>{64 * 1024 * 1024});
    SymbolTable names = test::names();
    EndpointListParser parser(names, EndpointListFraming::line,
                              max_list_bytes_at(kPlannerMemoryMb));
    for (int round = 0; round < 2; ++round) {
        const ParseResult result = parse_in_pieces(parser, complete_list(), sizes);
        REQUIRE(result.error == EndpointListError::none);
        REQUIRE(result.lists.size() == 1);
        CHECK(is_complete(result.lists[0]));
        CHECK(std::is_sorted(result.lists[0].list.servers.begin(),
                             result.lists[0].list.servers.end(),
                             [](const auto& a, const auto& b) { return a.server < b.server; }));
        CHECK(parser.size() == 0);
    }
    CHECK(names.zones.size() == 2);
}

TEST_CASE(
    "a list's text is not kept in memory while it is parsed, and nothing is kept after that") {
    SymbolTable names = test::names();
    std::string_view unread = complete_list();
    const std::size_t before = bytes_allocated();
    EndpointListParser parser(names, EndpointListFraming::line,
                              max_list_bytes_at(kPlannerMemoryMb));
    std::size_t peak = 0, after = 0;
    const auto on_message = [&](std::optional<EndpointListMessage> message) {
        after = bytes_allocated() - before;
        CHECK(is_complete(*message));
    };
    while (!unread.empty()) {
        const std::string_view piece = unread.substr(0, 4'096);
        REQUIRE(parser.feed(piece, on_message) == EndpointListError::none);
        peak = std::max(peak, bytes_allocated() - before);
        unread.remove_prefix(piece.size());
    }
    INFO("text of " << complete_list().size() << " bytes, peak while parsing " << peak
                    << " bytes, parsed list " << after << " bytes");
    CHECK(after < 16 * 1024 * 1024);
    CHECK(peak < after + complete_list().size() / 4);
    CHECK(bytes_allocated() < before + 1024 * 1024);
}

TEST_CASE(
    "a list over the bound is rejected in pieces too, and short entries count with a minimum "
    "size") {
    SymbolTable names = test::names();
    EndpointListParser small(names, EndpointListFraming::line, max_list_bytes_at(32));
    const ParseResult result = parse_in_pieces(small, complete_list(), {4'096});
    CHECK(result.error == EndpointListError::too_long);
    CHECK(result.lists.empty());
    // The text alone would be within the bound.
    constexpr int kEntries = 40'000;
    std::string text = R"({"version":1,"servers":[{"id":"x","state":"removed"})";
    for (int i = 1; i < kEntries; ++i) {
        text += R"(,{"id":"x","state":"removed"})";
    }
    REQUIRE(text.size() < kEntries * EndpointListParser::kMinEntryBytes / 2);
    EndpointListParser short_entries(names, EndpointListFraming::line,
                                     kEntries * EndpointListParser::kMinEntryBytes / 2);
    CHECK(parse_in_pieces(short_entries, text, {4'096}).error == EndpointListError::too_long);
}

TEST_CASE_METHOD(
    LargeListFixture,
    "a complete list of 56,000 servers arrives by watch and by fetch, and twice in a row") {
    const std::string on_watch = kWatchHeader + chunk(complete_list());
    FakeHttpServer discovery({on_watch, list_response(complete_list()),
                              kWatchHeader + chunk(empty_update(44)) + chunk(complete_list())});
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    CHECK(is_complete(next_list()));
    watch->fetch();
    CHECK(is_complete(next_list()));
    CHECK(next_list().version == 44);
    CHECK(is_complete(next_list()));
    watch->stop();
    CHECK(discovery.stop_and_get_requests().at(1) == "GET /catalog/members HTTP/1.1");
}

TEST_CASE_METHOD(LargeListFixture,
                 "a complete list that breaks off midway is requested again and then arrives") {
    const std::string half = complete_list().substr(0, complete_list().size() / 2);
    const std::string update = kWatchHeader + chunk(empty_update(42));
    const bool by_fetch = GENERATE(false, true);
    const std::string cut = by_fetch ? list_response(complete_list()).substr(0, half.size()) + "!"
                                     : kWatchHeader + chunk(half) + "!";
    FakeHttpServer discovery(
        {update + (by_fetch ? "" : "!"), cut,
         by_fetch ? list_response(complete_list()) : kWatchHeader + chunk(complete_list()),
         kWatchHeader});
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    CHECK(next_list().version == 42);
    if (by_fetch) {
        watch->fetch();
    }
    CHECK(is_complete(next_list()));  // and no part of the truncated list before it
    watch->stop();
    const std::string request = by_fetch ? "GET /catalog/members HTTP/1.1"
                                         : "GET /catalog/members?stream=1&index=42 HTTP/1.1";
    CHECK(discovery.stop_and_get_requests().at(1) == request);
    CHECK(discovery.requests.at(2) == request);
}

TEST_CASE_METHOD(LargeListFixture, "the time allowed for a complete list grows with its length") {
    // The list arrives within twice this time. All times are long compared with the delays of
    // threads on a busy machine.
    timeouts.line = 1'500ms;
    constexpr auto kPieceInterval = 150ms;
    constexpr std::size_t kPieces = 20;  // some 0.4 MB each; 512 KiB may take a second
    const std::string text = chunk(complete_list());
    FakeHttpServer discovery({kWatchHeader, kWatchHeader});
    const auto watch = make_watch(discovery);
    discovery.start();
    REQUIRE(watch->start());
    const Socket& connection = discovery.connection(0);
    for (std::size_t n = 0; n <= kPieces; ++n) {
        const std::size_t size = text.size() / kPieces;
        REQUIRE(connection.send_all(
            std::string_view(text).substr(std::min(n * size, text.size()), size)));
        std::this_thread::sleep_for(kPieceInterval);
    }
    CHECK(is_complete(next_list()));
    watch->stop();
}

TEST_CASE(
    "a list over the bound is rejected with one log line, and updates before and after it count") {
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
        DiscoveryWatch watch("d", discovery.listener.local(), fixture.names, 41,
                             max_list_bytes_at(32), fixture.read_buffers, fixture.inbox, log,
                             timeouts);
        discovery.start();
        REQUIRE(watch.start());
        CHECK(fixture.expect_next<core_event::EndpointListReceived>().message.version == 42);
        fixture.expect_next<core_event::WatchLost>();
        CHECK(fixture.expect_next<core_event::EndpointListReceived>().message.version == 43);
        watch.stop();
        const auto& requests = discovery.stop_and_get_requests();
        REQUIRE(requests.size() == 4);
        for (int n = 1; n < 4; ++n) {
            CHECK(requests[n] == "GET /catalog/members?stream=1&index=42 HTTP/1.1");
        }
    }
    ::close(ends[1]);
    char bytes[4'096];
    for (ssize_t size; (size = ::read(ends[0], bytes, sizeof bytes)) > 0;) {
        written.append(bytes, static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    const std::string message = "discovery: watch lost server=d reason=\"list over 4194304 bytes";
    REQUIRE(written.find(message) != std::string::npos);
    CHECK(written.find(message, written.find(message) + 1) == std::string::npos);
    CHECK(written.size() < 512);
}
