// Fuzz target for the text formats that are read from outside. If the first byte is even, the rest
// is an HAProxy configuration, which is also lexed in pieces whose size depends on that byte; if it
// is odd, the rest is an operator's file. Besides not crashing, the target checks that lines have a
// position and refused lines a message, that a written plan reads back without faults and
// unchanged, that the shares of a decision add up to 1, and that faults have a position.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "haproxy/report.hpp"
#include "haproxy/translate.hpp"
#include "operators/file.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/router.hpp"

using namespace micaroad;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void check_decisions(const routing::Plan& plan) {
    const routing::Router router(plan);
    routing::Rpc rpc;
    rpc.path = "/img/a.png", rpc.host = "shop.example:80", rpc.cookies["SRV"] = "a";
    rpc.source = *routing::parse_address("10.1.2.3");
    for (const auto& listener : plan.listeners) {
        const auto decision = router.decide(listener.name, rpc, {});
        double sum = 0;
        for (const auto& part : decision.split.shares) {
            sum += part.share;
        }
        require(decision.split.shares.empty() || (sum > 0.999999 && sum < 1.000001));
        require(!decision.explanation.empty());
    }
    (void)routing::EndpointRegistry(plan).list({});
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    if (data[0] % 2 == 1) {
        const operators::ReadResult reading = operators::read_text(text, "f");
        for (const auto& fault : reading.faults) {
            require(!fault.message.empty() && fault.line > 0 && fault.column > 0);
        }
        if (!reading.faults.empty()) {
            return 0;
        }
        const operators::ReadResult read_back =
            operators::read_text(operators::write_text(reading.plan), "back");
        require(read_back.faults.empty() && read_back.plan == reading.plan);
        check_decisions(reading.plan);
        return 0;
    }
    // Lexing in pieces results in the same lines as lexing the whole text.
    const haproxy::Environment environment{{"A", "x y"}, {"B", ""}};
    std::size_t whole_count = 0, piecewise_count = 0;
    haproxy::Lexer whole_lexer("f", environment,
                               [&](haproxy::Line&& line) { whole_count += 1 + line.words.size(); });
    whole_lexer.feed(text), whole_lexer.finish();
    haproxy::Lexer piecewise_lexer(
        "f", environment, [&](haproxy::Line&& line) { piecewise_count += 1 + line.words.size(); });
    const std::size_t piece_size = 1 + data[0] / 2 % 16;
    for (std::size_t offset = 0; offset < text.size(); offset += piece_size) {
        piecewise_lexer.feed(std::string_view(text).substr(offset, piece_size));
    }
    piecewise_lexer.finish();
    require(whole_count == piecewise_count);

    haproxy::TreeBuilder builder(environment);
    builder.add("f", text);
    const haproxy::Import import = haproxy::translate(builder.finish());
    for (const auto& finding : import.findings) {
        require(finding.line > 0);
        require(finding.verdict != haproxy::Verdict::refused || !finding.message.empty());
    }
    (void)haproxy::json_report(import, {"f"});
    if (!import.faults.empty()) {
        require(import.plan.pools.empty() && import.plan.listeners.empty());
        return 0;
    }
    const operators::ReadResult read_back =
        operators::read_text(operators::write_text(import.plan), "back");
    require(read_back.faults.empty() && read_back.plan == import.plan);
    check_decisions(import.plan);
    return 0;
}
