/// The operator's file: protobuf text format by proto/operators.proto, to a routing::Plan and back.
///
///     const Reading reading = read_file("deploy/operator.txtpb");
///     if (!reading.faults.empty()) ...
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::operators {

/// Something in the file that can't be used.
struct Fault {
    std::string file;
    int line = 0;         ///< from 1; 0: no place in the file
    int column = 0;       ///< from 1, in bytes
    std::string value;    ///< the offending word or value; may be empty
    std::string message;  ///< what is wrong with it
    std::string allowed;  ///< what would be right; may be empty

    /// "file:line:column: 'value': says; allowed: ..."
    [[nodiscard]] std::string text() const;
    bool operator==(const Fault&) const = default;
};

/// What a file holds. All faults are reported at once; a plan with faults is not to be used.
struct ReadResult {
    routing::Plan plan;
    std::vector<Fault> faults;         ///< by place, kMostFaults at most
    std::vector<std::string> notices;  ///< what is valid and yet worth a look
};

/// More faults are not reported.
constexpr std::size_t kMaxFaults = 200;
/// Bytes of a file, at most.
constexpr std::size_t kMaxFileBytes = std::size_t{64} << 20;

/// Reads a text; `name` is the file's in its faults.
[[nodiscard]] ReadResult read_text(std::string_view text, const std::string& name);
/// Reads a file. One that can't be read, or is too long, is a fault without a place.
[[nodiscard]] ReadResult read_file(const std::string& path);

/// Text that reads back as the same plan. The lines of `heading` become comments at its top.
[[nodiscard]] std::string write_text(const routing::Plan& plan, std::string_view heading = "");

}  // namespace micaroad::operators
