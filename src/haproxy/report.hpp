/// \file
/// Writes the findings of an import, for a person and for a program.
#pragma once

#include <string>
#include <vector>

#include "haproxy/translate.hpp"

namespace micaroad::haproxy {

/// Has a line for each finding, in the order of the input, except for translated ones without a
/// remark; then the counts by verdict.
std::string text_report(const Import& import);

/// {"file":..., "findings":[{"file","line","keyword","verdict","says"}],
///  "pools":[{"name","servers":[{"name","address","share","tier","state"}]}],
///  "counts":{"translated":...}}
/// Shares are those of the server's tier in the normal state, 0 for draining and disabled. Bytes
/// that are no UTF-8 are replaced.
std::string json_report(const Import& import, const std::vector<std::string>& files);

}  // namespace micaroad::haproxy
