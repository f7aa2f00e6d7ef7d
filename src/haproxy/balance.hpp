/// @file
/// Reads `balance` statements: how the RPCs of a backend are spread over its servers.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "haproxy/findings.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// `balance`: how the RPCs of a backend are spread over its servers.
struct Balance {
    std::string kind = "roundrobin";
    std::string argument;    ///< the name of a header or parameter; empty if none
    int depth = 0;           ///< uri: directories that count; 0: all
    int length = 0;          ///< uri: bytes that count; 0: all
    int draws = 2;           ///< random: servers drawn at a time
    bool whole = false;      ///< uri: with the query
    bool path_only = false;  ///< uri: without scheme and host
};

/// A balance with what is to be said of its line.
struct BalanceReading {
    Balance balance;
    Verdict verdict = Verdict::translated;
    std::string message;
};

/// Why a line is refused.
struct BalanceError {
    std::string message;
};

using BalanceResult = tl::expected<BalanceReading, BalanceError>;

/// Reads a `balance` statement. `balance hash EXPRESSION` becomes the kind that has the same key,
/// such as "source" for `hash src`.
[[nodiscard]] BalanceResult read_balance(const Statement& statement);

}  // namespace micaroad::haproxy
