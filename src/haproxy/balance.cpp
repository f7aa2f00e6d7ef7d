#include "haproxy/balance.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

constexpr std::int64_t kMaxDraws = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxUriLimit = 65'536;  // directory levels or bytes

constexpr const char* kByWeight =
    "shares begin at the weights; the planner adjusts them as it learns, none below a twentieth of "
    "its listed share";
constexpr const char* kByHash =
    "a key stays with one server while that may be used, and keys are spread by weight; the server "
    "of a key differs from HAProxy's";

// "NAME(ARGUMENT)" or "NAME".
struct Call {
    std::string name;
    std::string argument;  // empty if there is none or its parenthesis is not closed
};

Call split_call(const std::string& text) {
    const std::size_t open = text.find('(');
    Call call{text.substr(0, open), ""};
    if (open != std::string::npos && text.ends_with(')')) {
        call.argument = text.substr(open + 1, text.size() - open - 2);
    }
    return call;
}

BalanceResult refuse(std::string message) {
    return tl::make_unexpected(BalanceError{std::move(message)});
}

BalanceResult changed(Balance balance, std::string message) {
    return BalanceReading{std::move(balance), Verdict::changed, std::move(message)};
}

BalanceResult read_random(Balance balance) {
    if (!balance.argument.empty()) {
        const auto draws = parse_number(balance.argument, 1, kMaxDraws);
        if (!draws) {
            return refuse(draws.error);
        }
        balance.draws = static_cast<int>(*draws);
    }
    if (balance.draws > 1) {
        return changed(std::move(balance),
                       "one server is drawn by weight, not the least busy of several; under even "
                       "load the shares are the same");
    }
    return BalanceReading{std::move(balance), Verdict::translated, kByWeight};
}

BalanceResult read_uri(const Statement& statement, Balance balance) {
    for (std::size_t index = 2; index < statement.size(); ++index) {
        const std::string& word = statement.word(index);
        if (word == "whole") {
            balance.whole = true;
        } else if (word == "path-only") {
            balance.path_only = true;
        } else if (word == "depth" || word == "len") {
            ++index;
            const auto value = parse_number(statement.word(index), 1, kMaxUriLimit);
            if (!value) {
                return refuse(value.error);
            }
            int& limit = word == "depth" ? balance.depth : balance.length;
            limit = static_cast<int>(*value);
        } else {
            return refuse(fmt::format("balance uri: '{}' is not known", word));
        }
    }
    return changed(std::move(balance), kByHash);
}

BalanceResult read_url_parameter(const Statement& statement, Balance balance) {
    balance.argument = statement.word(2);
    if (balance.argument.empty()) {
        return refuse("balance url_param lacks the parameter's name");
    }
    std::string message = kByHash;
    if (statement.word(3) == "check_post") {
        message += "; bodies are not searched for it";
    }
    return changed(std::move(balance), std::move(message));
}

BalanceResult read_header(const Statement& statement, Balance balance) {
    if (balance.argument.empty()) {
        return refuse("balance hdr() lacks the header's name");
    }
    std::string message = kByHash;
    if (statement.word(2) == "use_domain_only") {
        message += "; the whole value counts";
    }
    return changed(std::move(balance), std::move(message));
}

// In HAProxy, `hash` takes any expression. Expressions with the key of another kind are read as
// that kind; converters, which follow a comma, are ignored.
BalanceResult read_hash(const Statement& statement, Balance balance) {
    const std::string& expression = statement.word(2);
    const Call call = split_call(expression.substr(0, expression.find(',')));
    const bool has_argument = !call.argument.empty();
    balance.argument.clear();
    if (call.name == "src") {
        balance.kind = "source";
    } else if (call.name == "path") {
        balance.kind = "uri";
    } else if (call.name == "pathq" || call.name == "url") {
        balance.kind = "uri";
        balance.whole = true;
    } else if ((call.name == "url_param" || call.name == "urlp") && has_argument) {
        balance.kind = "url_param";
        balance.argument = call.argument;
    } else if ((call.name == "hdr" || call.name == "req.hdr" || call.name == "req.fhdr") &&
               has_argument) {
        balance.kind = "hdr";
        balance.argument = call.argument;
    } else {
        return refuse(fmt::format("balance hash: '{}' is not supported", expression));
    }
    return changed(std::move(balance), kByHash);
}

}  // namespace

BalanceResult read_balance(const Statement& statement) {
    const Call call = split_call(statement.word(1));
    Balance balance;
    balance.kind = call.name;
    balance.argument = call.argument;
    if (call.name == "roundrobin") {
        return BalanceReading{std::move(balance), Verdict::translated, kByWeight};
    }
    if (call.name == "static-rr") {
        return BalanceReading{
            std::move(balance), Verdict::translated,
            std::string(kByWeight) + "; slow starts have no effect, as in HAProxy"};
    }
    if (call.name == "random") {
        return read_random(std::move(balance));
    }
    if (call.name == "leastconn") {
        return changed(std::move(balance),
                       "shares begin at the weights and follow answer times, not open connections; "
                       "servers of equal speed get equal shares within a tenth");
    }
    if (call.name == "first") {
        return changed(std::move(balance),
                       "all servers share the RPCs by weight at once; they are not filled one "
                       "after the other");
    }
    if (call.name == "source") {
        return changed(std::move(balance), kByHash);
    }
    if (call.name == "uri") {
        return read_uri(statement, std::move(balance));
    }
    if (call.name == "url_param") {
        return read_url_parameter(statement, std::move(balance));
    }
    if (call.name == "hdr") {
        return read_header(statement, std::move(balance));
    }
    if (call.name == "hash") {
        return read_hash(statement, std::move(balance));
    }
    return refuse(
        fmt::format("balance {} is not supported; the pool spreads by weight", call.name));
}

}  // namespace micaroad::haproxy
