// What may still wait in the channel, against what a channel of either kind could hold.
#include <catch2/catch.hpp>

#include "decision/send_window.hpp"

using namespace micaroad;
using namespace micaroad::decision;

namespace {

constexpr ProxyId kOne{1}, kTwo{2}, kThree{3};

}  // namespace

TEST_CASE("an answer credits its own message and all before it, no more") {
    SendWindow window;
    window.charge(kOne, 200);
    const Nonce first = window.mark().value();
    window.charge(kOne, 5), window.charge(kTwo, 100);  // unlike: a mean would credit 52 for either
    const Nonce second = window.mark().value();
    CHECK(!window.mark());
    window.pass(1e6, 0, false);  // time alone would have let all of it go
    CHECK(window.waiting() == 305);
    REQUIRE(window.answered(kOne, second));
    CHECK(window.waiting() == 100);
    CHECK(window.answered(kOne, first));  // late: it tells nothing new
    CHECK(window.waiting() == 100);
    window.answered(kTwo, second);
    CHECK(window.waiting() == 0);
    CHECK(!window.answered(kTwo, Nonce{second.value + 1}));
}

TEST_CASE("an answer that comes past what went to the dead frees no more than the pace does") {
    SendWindow window;
    window.charge(kOne, 25'000);
    window.mark();
    window.left(kOne);
    window.charge(kTwo, 100);
    const Nonce second = window.mark().value();
    window.pass(1'900, 1'140, false);
    REQUIRE(window.answered(kTwo, second));
    CHECK(window.waiting() == 25'100 - 1'140);  // the dead are counted as leaving at what is sure
    for (int i = 0; i < 21; ++i) {
        window.pass(1'900, 1'140, false);
    }
    CHECK(window.waiting() < 25'100 - 21 * 1'140);
    window.pass(1'900, 1'140, false);
    CHECK(window.waiting() == 0);
}

TEST_CASE("where no answer comes any more the sure pace frees room") {
    SendWindow window;
    window.charge(kOne, 1'000);
    window.mark();
    window.pass(1'000, 600, false);
    CHECK(window.waiting() == 1'000);
    window.pass(1'000, 600, true);
    CHECK(window.waiting() == 400);
    window.pass(1'000, 600, true);
    CHECK(window.waiting() == 0);
    CHECK(!window.mark());
}

TEST_CASE("marks are told apart when their numbers begin again, and of lost ones nothing is kept") {
    SendWindow window;
    Nonce last{};
    for (int i = 0; i < 70'000; ++i) {
        window.charge(kThree, 1);
        last = window.mark().value();
        if (i % 3 > 0) {
            continue;
        }
        REQUIRE(window.answered(kThree, last));
        window.pass(1'000, 600, false);
        REQUIRE(window.waiting() == 0);
    }
    CHECK(last.value == 69'999 - 65'536);
    window.charge(kThree, 7);
    CHECK(window.mark().value().value == last.value + 1);
    CHECK(window.waiting() == 7);
}
