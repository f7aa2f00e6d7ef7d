/// @file
/// Reads `balance` statements, which determine how the RPCs of a backend are spread over its
/// servers.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "haproxy/findings.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// A `balance` algorithm with its arguments.
struct Balance {
    std::string kind = "roundrobin";
    std::string argument;    ///< the name of a header or parameter; empty if none
    int depth = 0;           ///< uri: number of directory levels in the key; 0: all
    int length = 0;          ///< uri: number of bytes in the key; 0: all
    int draws = 2;           ///< random: number of servers drawn at a time
    bool whole = false;      ///< uri: the key includes the query
    bool path_only = false;  ///< uri: the key excludes scheme and host
};

/// A `balance` statement with the verdict on its line.
struct BalanceReading {
    Balance balance;
    Verdict verdict = Verdict::translated;
    std::string message;
};

/// Why a `balance` line is refused.
struct BalanceError {
    std::string message;
};

using BalanceResult = tl::expected<BalanceReading, BalanceError>;

/// Reads a `balance` statement. `balance hash EXPRESSION` results in the kind with the same key,
/// for example "source" for `hash src`.
[[nodiscard]] BalanceResult read_balance(const Statement& statement);

}  // namespace micaroad::haproxy
