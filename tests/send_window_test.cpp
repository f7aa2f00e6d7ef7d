// What may still be pending in the channel, against what a channel of either kind could hold.
#include "decision/send_window.hpp"

#include <catch2/catch.hpp>

using namespace micaroad;
using namespace micaroad::decision;

namespace {

constexpr ProxyId kFirstProxy{1};
constexpr ProxyId kSecondProxy{2};
constexpr ProxyId kThirdProxy{3};

constexpr ElapsedSending kStep{1'900, 1'140, false};

}  // namespace

TEST_CASE("an acknowledgement credits its own message and all before it, no more") {
    SendWindow window;
    window.charge(kFirstProxy, 200);
    const Nonce first = window.next_nonce().value();
    window.charge(kFirstProxy, 5);
    window.charge(kSecondProxy, 100);  // unlike: a mean would credit 52 for either
    const Nonce second = window.next_nonce().value();
    CHECK(!window.next_nonce());
    window.advance({1e6, 0, false});  // time alone would have let all of it go
    CHECK(window.pending() == 305);
    REQUIRE(window.on_acknowledgement(kFirstProxy, second));
    CHECK(window.pending() == 100);
    CHECK(window.on_acknowledgement(kFirstProxy, first));  // late: it tells nothing new
    CHECK(window.pending() == 100);
    window.on_acknowledgement(kSecondProxy, second);
    CHECK(window.pending() == 0);
    CHECK(!window.on_acknowledgement(kSecondProxy, Nonce{second.value + 1}));
}

TEST_CASE("an acknowledgement that overtakes messages to dead proxies frees no more than time") {
    SendWindow window;
    window.charge(kFirstProxy, 25'000);
    CHECK(window.next_nonce());
    window.on_proxy_left(kFirstProxy);
    window.charge(kSecondProxy, 100);
    const Nonce second = window.next_nonce().value();
    window.advance(kStep);
    REQUIRE(window.on_acknowledgement(kSecondProxy, second));
    CHECK(window.pending() == 25'100 - 1'140);  // lines to the dead leave at the lower pace
    for (int i = 0; i < 21; ++i) {
        window.advance(kStep);
    }
    CHECK(window.pending() < 25'100 - 21 * 1'140);
    window.advance(kStep);
    CHECK(window.pending() == 0);
}

TEST_CASE("where no acknowledgement comes any more the lower pace frees the window") {
    SendWindow window;
    window.charge(kFirstProxy, 1'000);
    CHECK(window.next_nonce());
    window.advance({1'000, 600, false});
    CHECK(window.pending() == 1'000);
    window.advance({1'000, 600, true});
    CHECK(window.pending() == 400);
    window.advance({1'000, 600, true});
    CHECK(window.pending() == 0);
    CHECK(!window.next_nonce());
}

TEST_CASE("nonces are told apart when their numbers wrap, and of lost ones nothing is kept") {
    SendWindow window;
    Nonce last{};
    for (int i = 0; i < 70'000; ++i) {
        window.charge(kThirdProxy, 1);
        last = window.next_nonce().value();
        if (i % 3 > 0) {
            continue;
        }
        REQUIRE(window.on_acknowledgement(kThirdProxy, last));
        window.advance({1'000, 600, false});
        REQUIRE(window.pending() == 0);
    }
    CHECK(last.value == 69'999 - 65'536);
    window.charge(kThirdProxy, 7);
    CHECK(window.next_nonce().value().value == last.value + 1);
    CHECK(window.pending() == 7);
}
