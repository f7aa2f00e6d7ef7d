// What an import has to tell, for a person and for a program.
#pragma once

#include <string>
#include <vector>

#include "haproxy/translate.hpp"

namespace micaroad::haproxy {

// A line for each finding of a verdict other than translated without words, by file and line; then
// the counts.
std::string text_report(const Import& import);

// {"file":..., "findings":[{"file","line","keyword","verdict","says"}],
//  "pools":[{"name","servers":[{"name","address","share","tier","state"}]}],
//  "counts":{"translated":...}}
// Shares are those of the server's tier in the normal state, 0 for draining and disabled. Bytes
// that are no UTF-8 are replaced.
std::string json_report(const Import& import, const std::vector<std::string>& files);

}  // namespace micaroad::haproxy
