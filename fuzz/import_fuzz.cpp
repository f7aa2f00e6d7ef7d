// What arrives from outside as text: an input whose first byte is even is a configuration for the
// importer, in pieces of a size that the byte tells; an odd one is an operator's file. Beside not
// crashing: every line has one verdict and words, what is written reads back without a fault and
// alike, and faults have places.
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

void must(bool holds) {
    if (!holds) {
        std::abort();
    }
}

void decide(const routing::Plan& plan) {
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
        must(decision.split.shares.empty() || (sum > 0.999999 && sum < 1.000001));
        must(!decision.explanation.empty());
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
            must(!fault.message.empty() && fault.line > 0 && fault.column > 0);
        }
        if (!reading.faults.empty()) {
            return 0;
        }
        const operators::ReadResult back =
            operators::read_text(operators::write_text(reading.plan), "back");
        must(back.faults.empty() && back.plan == reading.plan);
        decide(reading.plan);
        return 0;
    }
    // Lexed in pieces, the lines are those of the whole.
    const haproxy::Environment environment{{"A", "x y"}, {"B", ""}};
    std::size_t whole = 0, pieces = 0;
    haproxy::Lexer at_once("f", environment,
                           [&](haproxy::Line&& line) { whole += 1 + line.words.size(); });
    at_once.feed(text), at_once.finish();
    haproxy::Lexer by_pieces("f", environment,
                             [&](haproxy::Line&& line) { pieces += 1 + line.words.size(); });
    const std::size_t piece = 1 + data[0] / 2 % 16;
    for (std::size_t at = 0; at < text.size(); at += piece) {
        by_pieces.feed(std::string_view(text).substr(at, piece));
    }
    by_pieces.finish();
    must(whole == pieces);

    haproxy::TreeBuilder builder(environment);
    builder.add("f", text);
    const haproxy::Import import = haproxy::translate(builder.finish());
    for (const auto& finding : import.findings) {
        must(finding.line > 0);
        must(finding.verdict != haproxy::Verdict::refused || !finding.message.empty());
    }
    (void)haproxy::json_report(import, {"f"});
    if (!import.faults.empty()) {
        must(import.plan.pools.empty() && import.plan.listeners.empty());
        return 0;
    }
    const operators::ReadResult back =
        operators::read_text(operators::write_text(import.plan), "back");
    must(back.faults.empty() && back.plan == import.plan);
    decide(import.plan);
    return 0;
}
