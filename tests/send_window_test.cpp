// Tests that the send window never counts fewer lines as pending than the channel can still hold,
// with and without acknowledgements.
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

TEST_CASE("an acknowledgement credits its own message and all earlier ones, no more") {
    SendWindow window;
    window.charge(kFirstProxy, 200);
    const Nonce first_nonce = window.next_nonce().value();
    window.charge(kFirstProxy, 5);
    window.charge(kSecondProxy, 100);  // sizes differ: a mean would credit 52 for each
    const Nonce second_nonce = window.next_nonce().value();
    CHECK(!window.next_nonce());
    window.advance({1e6, 0, false});  // by time alone, all lines would have been sent
    CHECK(window.pending() == 305);
    REQUIRE(window.on_acknowledgement(kFirstProxy, second_nonce));
    CHECK(window.pending() == 100);
    CHECK(window.on_acknowledgement(kFirstProxy, first_nonce));  // out of order, credits nothing
    CHECK(window.pending() == 100);
    window.on_acknowledgement(kSecondProxy, second_nonce);
    CHECK(window.pending() == 0);
    CHECK(!window.on_acknowledgement(kSecondProxy, Nonce{second_nonce.value + 1}));
}

TEST_CASE(
    "an acknowledgement that overtakes messages to proxies that left frees no more lines than "
    "time does") {
    SendWindow window;
    window.charge(kFirstProxy, 25'000);
    CHECK(window.next_nonce());
    window.on_proxy_left(kFirstProxy);
    window.charge(kSecondProxy, 100);
    const Nonce second_nonce = window.next_nonce().value();
    window.advance(kStep);
    REQUIRE(window.on_acknowledgement(kSecondProxy, second_nonce));
    CHECK(window.pending() == 25'100 - 1'140);  // lines to proxies that left go at the lower pace
    for (int i = 0; i < 21; ++i) {
        window.advance(kStep);
    }
    CHECK(window.pending() < 25'100 - 21 * 1'140);
    window.advance(kStep);
    CHECK(window.pending() == 0);
}

TEST_CASE("the lower pace frees the window once acknowledgements are no longer expected") {
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

TEST_CASE("nonces stay distinct when their numbers wrap around, and lost ones are not kept") {
    SendWindow window;
    Nonce last_nonce{};
    for (int i = 0; i < 70'000; ++i) {
        window.charge(kThirdProxy, 1);
        last_nonce = window.next_nonce().value();
        if (i % 3 > 0) {
            continue;
        }
        REQUIRE(window.on_acknowledgement(kThirdProxy, last_nonce));
        window.advance({1'000, 600, false});
        REQUIRE(window.pending() == 0);
    }
    CHECK(last_nonce.value == 69'999 - 65'536);
    window.charge(kThirdProxy, 7);
    CHECK(window.next_nonce().value().value == last_nonce.value + 1);
    CHECK(window.pending() == 7);
}
