/// @file
/// Reads `option httpchk` and `http-check`: the request and the answer of a health check.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "haproxy/findings.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// `option httpchk` with what `http-check` adds to it.
struct Check {
    bool http = false;  ///< false: a connection is enough
    std::string method = "OPTIONS";
    std::string path = "/";
    std::string host;
    int min_status = 200;
    int max_status = 399;
};

/// Why a line does not count, and its verdict.
struct CheckError {
    Verdict verdict = Verdict::refused;
    std::string message;
};

using CheckResult = tl::expected<Check, CheckError>;

/// Reads `option httpchk [METHOD] [PATH] [VERSION]`.
[[nodiscard]] Check read_option_httpchk(const Statement& statement);

/// Reads an `http-check` statement on top of the check that is held so far.
[[nodiscard]] CheckResult read_http_check(const Statement& statement, Check check);

}  // namespace micaroad::haproxy
