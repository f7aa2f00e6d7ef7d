/// \file
/// Formats the findings of an import as text or JSON.
#pragma once

#include <string>
#include <vector>

#include "haproxy/translate.hpp"

namespace micaroad::haproxy {

/// Formats one line for each finding, in input order, followed by the number of lines by verdict.
/// Findings that are `translated` without a message are omitted.
std::string text_report(const Import& import);

/// {"file":..., "findings":[{"file","line","keyword","verdict","says"}],
///  "pools":[{"name","servers":[{"name","address","share","tier","state"}]}],
///  "counts":{"translated":...}}
/// A server's share is its part of its tier when all ready servers are up; draining and disabled
/// servers have 0. Bytes that are not valid UTF-8 are replaced.
/// `files` are the names of the input files.
std::string json_report(const Import& import, const std::vector<std::string>& files);

}  // namespace micaroad::haproxy
