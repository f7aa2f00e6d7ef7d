/// @file
/// Reads `option httpchk` and `http-check`, which define the request of a health check and the
/// expected response.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "haproxy/findings.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// A health check as set by `option httpchk` and `http-check`.
struct Check {
    bool http = false;  ///< false: a successful connection is enough
    std::string method = "OPTIONS";
    std::string path = "/";
    std::string host;
    int min_status = 200;
    int max_status = 399;
};

/// Why a line is not translated, and its verdict.
struct CheckError {
    Verdict verdict = Verdict::refused;
    std::string message;
};

using CheckResult = tl::expected<Check, CheckError>;

/// Reads `option httpchk [METHOD] [PATH] [VERSION]`.
[[nodiscard]] Check read_option_httpchk(const Statement& statement);

/// Applies an `http-check` statement to a check.
[[nodiscard]] CheckResult read_http_check(const Statement& statement, Check check);

}  // namespace micaroad::haproxy
