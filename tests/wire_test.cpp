// Tests the planner host on the wire of the simulator.
#include "simhost/wire.hpp"

#include <catch2/catch.hpp>

#include "simhost/planner_host.hpp"

using micaroad::simhost::PlannerHost;
using nlohmann::json;

namespace {

json run_batch(PlannerHost& host, std::int64_t t_us, json inbox) {
    const auto reply = host.answer(json{{"t_us", t_us}, {"inbox", std::move(inbox)}}.dump());
    return json::parse(reply.value()).at("do");
}

json launch(const char* instance) {
    const json profile{
        {"classes",
         {{{"name", "look"}, {"aim_us", 1'000'000}, {"semantics", "safe"}, {"unheard_of", 1}}}},
        {"family_info", {{"channel_rate", 1000}, {"queue_cap", 1000}, {"data_plane_size", 2}}},
        {"rules", {{"stop_sending_within_us", 2000000}}},
        {"zones", {"a"}}};
    return {"launch", instance, 5, profile};
}

json list(const char* instance) {
    return json::parse(R"(["directory_update","W","restored",1,[["server.a",0,0,0,"Ready",1,null],
        ["server.b",0,0,0,"Ready",1]]])")
        .patch(json{{{"op", "replace"}, {"path", "/1"}, {"value", instance}}});
}

std::size_t count(const json& actions, const std::string& name, const std::string& instance) {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [&](const json& action) { return action.at(0) == name && action.at(1) == instance; }));
}

}  // namespace

TEST_CASE("an event reaches the planner instance that it names and no other") {
    PlannerHost host;
    const json first = run_batch(host, 1000,
                                 {launch("planner/0"),
                                  list("planner/0"),
                                  launch("planner/1"),
                                  list("planner/1"),
                                  {"stream_up", "planner/1", 0, 2.5, 4, true}});
    CHECK(count(first, "set_line", "planner/0") == 2);
    CHECK(count(first, "pin", "planner/0") == 0);
    CHECK(count(first, "pin", "planner/1") == 1);
    CHECK(first.back() == json{"seal", "planner/1", 0, false});
    CHECK(first[first.size() - 2] == json{"pin", "planner/1", 1, 1, 4});
    CHECK(run_batch(host, 3000, json::array()).empty());
}

TEST_CASE("a kill discards all state, and a launch in the same batch starts without any") {
    PlannerHost host;
    run_batch(
        host, 1000,
        {launch("planner/0"), list("planner/0"), {"stream_up", "planner/0", 0, 2.5, 4, true}});
    const json again =
        run_batch(host, 9000, {{"kill", "planner/0"}, launch("planner/0"), list("planner/0")});
    CHECK(count(again, "set_line", "planner/0") == 2);
    CHECK(count(again, "pin", "planner/0") == 0);
    CHECK(run_batch(host, 9500, json::array({{"kill", "planner/0"}})).empty());
    CHECK(run_batch(host, 9900, json::array({{"dropped_off", "planner/0", 4}})).empty());
}

TEST_CASE("absent and null values stand for the default of their type") {
    PlannerHost host;
    run_batch(host, 1000, {launch("planner/0"), list("planner/0")});
    CHECK_NOTHROW(
        run_batch(host, 2000,
                  {{"roundup", "planner/0", 1, 3, nullptr, nullptr, "server.a", 2000, nullptr},
                   {"in_force", "planner/0"}}));
}

TEST_CASE("an unreadable line gives an error message and no answer") {
    PlannerHost host;
    const auto line = GENERATE("nonsense", "[]", R"({"t_us":1})", R"({"t_us":1,"inbox":[7]})",
                               R"({"t_us":1,"inbox":[["no_such_event","planner/0"]]})",
                               R"({"t_us":1,"inbox":[["kill"]]})",
                               R"({"t_us":1,"inbox":[["stream_up","planner/0","zero"]]})");
    const auto reply = host.answer(line);
    REQUIRE(!reply);
    CHECK(!reply.error().message.empty());
}
