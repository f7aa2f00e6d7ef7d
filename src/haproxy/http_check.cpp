#include "haproxy/http_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "haproxy/units.hpp"

namespace micaroad::haproxy {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

CheckResult refuse(std::string message) {
    return tl::make_unexpected(CheckError{Verdict::refused, std::move(message)});
}

// Returns the host of a version such as "HTTP/1.1\r\nHost:\ www", which is how older configurations
// set the Host header, or an empty string.
std::string host_in_version(const std::string& version) {
    static constexpr std::string_view kHeader = "Host:";
    const std::size_t header = version.find(kHeader);
    if (header == std::string::npos) {
        return "";
    }
    std::string host = version.substr(header + kHeader.size());
    host.erase(0, std::min(host.find_first_not_of(" \t"), host.size()));
    return host.substr(0, host.find_first_of("\r\n"));
}

// Returns the index of the first word of `http-check expect` after its options.
std::size_t skip_expect_options(const Statement& statement) {
    static const std::set<std::string> kOptionsWithValue{
        "min-recv",    "comment",    "ok-status", "error-status",
        "tout-status", "on-success", "on-error",  "status-code"};
    std::size_t index = 2;
    while (kOptionsWithValue.contains(statement.word(index))) {
        index += 2;
    }
    return index;
}

CheckResult read_expect(const Statement& statement, Check check) {
    const std::size_t index = skip_expect_options(statement);
    if (statement.word(index) != "status") {
        return refuse(
            fmt::format("http-check expect {}: only 'status' is supported", statement.word(index)));
    }
    const std::string& range = statement.word(index + 1);
    const std::size_t dash = range.find('-');
    const auto low = parse_number(range.substr(0, dash), kMinStatus, kMaxStatus);
    const auto high = dash == std::string::npos
                          ? low
                          : parse_number(range.substr(dash + 1), kMinStatus, kMaxStatus);
    if (!low || !high || *low > *high) {
        return refuse(fmt::format("'{}' is not a valid status or range of statuses", range));
    }
    check.min_status = static_cast<int>(*low);
    check.max_status = static_cast<int>(*high);
    return check;
}

CheckResult read_send(const Statement& statement, Check check) {
    std::size_t index = 2;
    while (index < statement.size()) {
        const std::string& word = statement.word(index);
        const std::string& value = statement.word(index + 1);
        if (word == "meth") {
            check.method = value;
            index += 2;
        } else if (word == "uri") {
            check.path = value;
            index += 2;
        } else if (word == "hdr" && (value == "Host" || value == "host")) {
            check.host = statement.word(index + 2);
            index += 3;
        } else if (word == "ver") {
            index += 2;
        } else {
            return refuse(fmt::format(
                "http-check send {}: probes have only a method, a path and a host", word));
        }
    }
    return check;
}

}  // namespace

Check read_option_httpchk(const Statement& statement) {
    Check check;
    check.http = true;
    if (statement.size() == 3) {
        check.path = statement.word(2);
    }
    if (statement.size() > 3) {
        check.method = statement.word(2);
        check.path = statement.word(3);
    }
    check.host = host_in_version(statement.word(4));
    return check;
}

CheckResult read_http_check(const Statement& statement, Check check) {
    const std::string& action = statement.word(1);
    if (action == "expect") {
        return read_expect(statement, std::move(check));
    }
    if (action == "send") {
        return read_send(statement, std::move(check));
    }
    if (action == "disable-on-404") {
        return refuse("servers are drained by the operator's file, not by the answer to a probe");
    }
    if (action == "send-state") {
        return tl::make_unexpected(
            CheckError{Verdict::no_effect, "probes do not tell servers their state"});
    }
    return refuse(
        fmt::format("http-check {}: a probe is one request and one expected status", action));
}

}  // namespace micaroad::haproxy
