/// Reads the operator's file, in protobuf text format by proto/operators.proto, as a routing::Plan,
/// and writes it.
///
///     const ReadResult result = read_file("deploy/operator.txtpb");
///     if (!result.faults.empty()) ...
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::operators {

/// An error in the file.
struct Fault {
    std::string file;
    int line = 0;         ///< from 1; 0: the fault has no place in the file
    int column = 0;       ///< from 1, in bytes
    std::string value;    ///< the invalid word or value; may be empty
    std::string message;  ///< what is wrong
    std::string allowed;  ///< the allowed values; may be empty

    /// Formats the fault as "file:line:column: 'value': message; allowed: ...".
    [[nodiscard]] std::string text() const;
    bool operator==(const Fault&) const = default;
};

/// The result of reading a file. All faults are reported at once. If there are any, the plan must
/// not be used.
struct ReadResult {
    routing::Plan plan;
    std::vector<Fault> faults;         ///< by place, kMostFaults at most
    std::vector<std::string> notices;  ///< warnings about valid but unusual content
};

/// Maximum number of faults that are reported.
constexpr std::size_t kMaxFaults = 200;
/// Maximum size of a file.
constexpr std::size_t kMaxFileBytes = std::size_t{64} << 20;

/// Reads a text. Faults give `name` as their file.
[[nodiscard]] ReadResult read_text(std::string_view text, const std::string& name);
/// Reads a file. If it can't be read or is too large, the result has one fault without a place.
[[nodiscard]] ReadResult read_file(const std::string& path);

/// Writes a plan as text that reads back as the same plan. The lines of `heading` become comments
/// at the top.
[[nodiscard]] std::string write_text(const routing::Plan& plan, std::string_view heading = "");

}  // namespace micaroad::operators
